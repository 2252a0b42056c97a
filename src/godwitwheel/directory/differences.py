"""Differences between two versions of a dictionary, and their application."""

from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


def changed_items(base: dict[Key, Value], new: dict[Key, Value]) -> dict[Key, Value]:
    """Returns the items of ``new`` that are missing or different in ``base``."""
    if base is new:
        return {}
    return {key: value for key, value in new.items() if base.get(key) != value}


def removed_keys(base: dict[Key, Value], new: dict[Key, Value]) -> list[Key]:
    """Returns the keys of ``base`` that are missing in ``new``, sorted."""
    return [] if base is new else sorted(base.keys() - new.keys())


def apply_difference(
    base: dict[Key, Value], changed: dict[Key, Value], removed: list[Key]
) -> dict[Key, Value]:
    """Returns ``base`` with a difference applied; ``base`` itself if that is empty."""
    if not changed and not removed:
        return base
    result = {**base, **changed}
    for key in removed:
        result.pop(key, None)
    return result

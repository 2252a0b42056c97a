"""Sentinel values: ``not_set`` for arguments, ``Refusal`` for errors."""

import enum


class NotSet(enum.Enum):
    """The type of :data:`not_set`, told apart from ``None`` by type checkers."""

    not_set = "not_set"

    def __repr__(self) -> str:
        return "not_set"

    def __bool__(self) -> bool:
        return False


not_set = NotSet.not_set


class Refusal:
    """A falsy result that says why there is no value.

    Decision functions return it where a value may be missing for a reason that
    the caller has to act on; exceptions are for failures that it can't anticipate.
    """

    __slots__ = ("reason", "detail")

    def __init__(self, reason: enum.Enum, detail: str = ""):
        self.reason = reason
        self.detail = detail

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Refusal({self.reason.name}, {self.detail!r})"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Refusal):
            return NotImplemented
        return self.reason is other.reason

    def __hash__(self) -> int:
        return hash(self.reason)

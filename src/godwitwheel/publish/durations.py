"""Parses durations such as ``500ms``, ``2s``, ``15m``, ``24h`` and ``7d``."""

import re

from ..internal.errors import InvalidValue

_FORM = re.compile(r"([0-9]{1,9})(ms|s|m|h|d)")
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}


def parse_duration_ms(text: str, lowest: str, highest: str) -> int:
    """Returns a duration in milliseconds.

    :param lowest: the shortest duration allowed, in the same form.
    :param highest: the longest duration allowed, in the same form.
    :raises InvalidValue: if the text has another form or is out of range.
    """
    value = _to_ms(text)
    if value is None or not _to_ms(lowest) <= value <= _to_ms(highest):
        raise InvalidValue(f"expected a duration from {lowest} to {highest}")
    return value


def _to_ms(text: str) -> int | None:
    match = _FORM.fullmatch(text)
    if match is None:
        return None
    return int(match[1]) * _UNIT_MS[match[2]]

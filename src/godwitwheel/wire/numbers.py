"""Ranges of the numbers in messages; a peer may send any JSON number."""

from typing import Annotated

import msgspec

MAX_NUMBER = 2**62
# Most statements that a target may run concurrently.
MAX_SLOTS = 10_000
# The last millisecond of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Age = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Number = Integer | Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
SqlInteger = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
SqlValue = str | SqlInteger | float | bool | None

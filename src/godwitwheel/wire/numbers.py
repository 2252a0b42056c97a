"""Ranges of the numbers in messages; a peer may send any JSON number."""

from typing import Annotated

import msgspec

MAX_NUMBER = 2**62

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Age = Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
SqlInteger = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
SqlValue = str | SqlInteger | float | bool | None

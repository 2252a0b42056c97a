"""What the soak has a process's clock and disk do."""

import enum
from pathlib import Path

import msgspec


class DiskState(enum.StrEnum):
    """How a disk answers a sync."""

    good = "good"
    slow = "slow"
    full = "full"


class Mischief(msgspec.Struct, frozen=True):
    """The present disturbance of one host.

    :ivar clock_offset_s: what its time of day is off by, in seconds.
    """

    clock_offset_s: float = 0.0
    disk: DiskState = DiskState.good


def write_mischief(path: Path, mischief: Mischief) -> None:
    """Replaces the file at once, so that it is never seen half written."""
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.encode(mischief))
    new.replace(path)

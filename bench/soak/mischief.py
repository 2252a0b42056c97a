"""The file ``mischief.json``: faults to inject into a process's clock and disk."""

import enum
from pathlib import Path

import msgspec


class DiskState(enum.StrEnum):
    """How a disk handles a sync: normally, slowly, or failing for lack of space."""

    good = "good"
    slow = "slow"
    full = "full"


class InjectedFaults(msgspec.Struct, frozen=True):
    """The faults that are injected into one host now.

    :ivar clock_offset_s: offset of its wall clock, in seconds.
    """

    clock_offset_s: float = 0.0
    disk: DiskState = DiskState.good


def write_injected_faults(path: Path, faults: InjectedFaults) -> None:
    """Replaces the file atomically, so that it is never read half written."""
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.encode(faults))
    new.replace(path)

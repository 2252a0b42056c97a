"""Writes results together with the command, revision and machine behind them."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec

ROOT = Path(__file__).parent.parent
FOLDER = ROOT / "docs" / "measurements"
_GIB_BYTES = 1 << 30


class Measurement(msgspec.Struct):
    """One experiment's result.

    :ivar command: command line that repeats it.
    :ivar commit: measured revision, with ``+`` if the checkout had local changes.
    :ivar load_average: of the last minute before it began; other work on the
        machine lengthens every figure.
    :ivar faults: wrong answers found; the run failed if there are any.
    :ivar rows: the figures; units are in the names.
    """

    name: str
    command: str
    commit: str
    machine: str
    load_average: float
    faults: dict[str, list[str]]
    rows: list[dict[str, float | int | str | None]]


def machine() -> str:
    """Describes the machine: processors, memory, Python."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    python = ".".join(str(part) for part in sys.version_info[:3])
    return f"{os.cpu_count()} cores, {pages / _GIB_BYTES:.0f} GiB, Python {python}"


def commit() -> str:
    """Returns the checked-out revision."""
    command = ["git", "describe", "--always", "--dirty=+", "--abbrev=10"]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return found.stdout.strip() or "unknown"


def save(measurement: Measurement, folder: Path = FOLDER) -> Path:
    """Writes the measurement as JSON and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{measurement.name}.json"
    body = msgspec.json.format(msgspec.json.encode(measurement), indent=1)
    path.write_bytes(body + b"\n")
    return path

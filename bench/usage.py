"""Reads a process's processor time and memory from ``/proc``."""

from pathlib import Path

_KB_BYTES = 1024


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KB_BYTES
    raise ValueError(f"/proc/{pid}/status has no VmRSS line")

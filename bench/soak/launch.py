"""Runs one role of the platform adapter as one host of the soak.

``python -m bench.soak.launch HOST MISCHIEF ROLE``: every connection that the program
opens comes from ``HOST`` and goes through the relay. The file ``MISCHIEF`` says what
its clock and its disk do; the program itself is unchanged.
"""

import errno
import os
import runpy
import sys
import time
from pathlib import Path

import msgspec
from eventlet.greenio.base import GreenSocket

from .mischief import DiskState, Mischief
from .relay import PORT_OFFSET

IP_BIND_ADDRESS_NO_PORT = 24
ENTRY_SCRIPT = Path(__file__).parent.parent.parent / "platform" / "run.py"
SLOW_SYNC_S = 0.2


def redirect_connections(host: str) -> None:
    """Sends every connection of the loop through the relay."""
    connect = GreenSocket.connect

    def relayed_connect(self: GreenSocket, address: tuple[str, int]) -> object:
        ip, port = address
        self.fd.setsockopt(0, IP_BIND_ADDRESS_NO_PORT, 1)
        self.fd.bind((host, 0))
        return connect(self, (ip, port + PORT_OFFSET))

    GreenSocket.connect = relayed_connect


class MischiefFile:
    """Reads what the soak has written last."""

    def __init__(self, path: str):
        self.path = path
        self.read_at = 0.0
        self.mischief = Mischief()

    def current(self) -> Mischief:
        """Returns what the clock and the disk are to do."""
        stamp = os.stat(self.path).st_mtime
        if stamp != self.read_at:
            self.read_at = stamp
            content = Path(self.path).read_bytes()
            self.mischief = msgspec.json.decode(content, type=Mischief)
        return self.mischief


def disturb(file: MischiefFile) -> None:
    """Lets the time of day and syncs do what the file says."""
    wall = time.time

    def moved_wall() -> float:
        return wall() + file.current().clock_offset_s

    def disturbed(sync):
        def run(descriptor: int) -> None:
            state = file.current().disk
            if state is DiskState.full:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if state is DiskState.slow:
                # A disk that is slow holds up the whole process.
                _blocking_sleep(SLOW_SYNC_S)
            sync(descriptor)

        return run

    time.time = moved_wall
    os.fsync = disturbed(os.fsync)
    os.fdatasync = disturbed(os.fdatasync)


# Taken before the adapter replaces it by one that yields to the loop.
_blocking_sleep = time.sleep


def main() -> None:
    """Hands over to the adapter's entry script."""
    host, mischief, role = sys.argv[1:4]
    redirect_connections(host)
    disturb(MischiefFile(mischief))
    sys.argv = [str(ENTRY_SCRIPT), role]
    sys.path.insert(0, str(ENTRY_SCRIPT.parent))
    runpy.run_path(str(ENTRY_SCRIPT), run_name="__main__")


if __name__ == "__main__":
    main()

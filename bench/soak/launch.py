"""Runs one role of the platform adapter as one host of the soak.

``python -m bench.soak.launch HOST MISCHIEF ROLE``: every connection that the program
opens comes from ``HOST`` and goes through the relay. The file ``MISCHIEF`` states the
faults to inject into its clock and its disk; the program itself is unchanged.
"""

import errno
import os
import runpy
import stat
import sys
import time
from pathlib import Path

import msgspec
from eventlet.greenio.base import GreenSocket

from .mischief import DiskState, InjectedFaults
from .relay import PORT_OFFSET

IP_BIND_ADDRESS_NO_PORT = 24
ENTRY_SCRIPT = Path(__file__).parent.parent.parent / "platform" / "run.py"
SLOW_SYNC_S = 0.2


def redirect_connections(host: str) -> None:
    """Patches the loop's sockets to connect from ``host`` and through the relay."""
    connect = GreenSocket.connect

    def relayed_connect(self: GreenSocket, address: tuple[str, int]) -> object:
        ip, port = address
        self.fd.setsockopt(0, IP_BIND_ADDRESS_NO_PORT, 1)
        self.fd.bind((host, 0))
        return connect(self, (ip, port + PORT_OFFSET))

    GreenSocket.connect = relayed_connect


class InjectedFaultsFile:
    """Reads the file that the soak writes, again after each change."""

    def __init__(self, path: str):
        self.path = path
        self.modified_at = 0.0
        self.faults = InjectedFaults()

    def current(self) -> InjectedFaults:
        """Returns the faults that are to be injected now."""
        mtime = os.stat(self.path).st_mtime
        if mtime != self.modified_at:
            self.modified_at = mtime
            content = Path(self.path).read_bytes()
            self.faults = msgspec.json.decode(content, type=InjectedFaults)
        return self.faults


def install_faults(file: InjectedFaultsFile) -> None:
    """Replaces the wall clock, writes to files and syncs by ones with faults."""
    real_time = time.time

    def shifted_time() -> float:
        return real_time() + file.current().clock_offset_s

    def refuse_if_full() -> None:
        if file.current().disk is DiskState.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def with_disk_faults(sync):
        def run(descriptor: int) -> None:
            refuse_if_full()
            if file.current().disk is DiskState.slow:
                # A slow disk blocks the whole process, not only the task that syncs.
                _blocking_sleep(SLOW_SYNC_S)
            sync(descriptor)

        return run

    real_write = os.write

    def limited_write(descriptor: int, data: bytes) -> int:
        if stat.S_ISREG(os.fstat(descriptor).st_mode):
            refuse_if_full()
        return real_write(descriptor, data)

    os.write = limited_write
    time.time = shifted_time
    os.fsync = with_disk_faults(os.fsync)
    os.fdatasync = with_disk_faults(os.fdatasync)


# Saved before the adapter replaces time.sleep by one that yields to the loop.
_blocking_sleep = time.sleep


def main() -> None:
    """Installs the relay and the faults, then runs the adapter's entry script."""
    host, faults_path, role = sys.argv[1:4]
    redirect_connections(host)
    install_faults(InjectedFaultsFile(faults_path))
    sys.argv = [str(ENTRY_SCRIPT), role]
    sys.path.insert(0, str(ENTRY_SCRIPT.parent))
    runpy.run_path(str(ENTRY_SCRIPT), run_name="__main__")


if __name__ == "__main__":
    main()

"""Writes a process's events as JSON lines, one write call each.

Each line goes to the kernel at once, so the last lines of a killed process are in
the file. The event loop never waits for a slow reader of a pipe: data that the
kernel does not accept stays in a bounded buffer.
"""

import contextlib
import os
import sys
import time
from collections import deque
from collections.abc import Iterator

import eliot
import msgspec

from .errors import LogUnavailable

MAX_PENDING_BYTES = 1 << 20
FLUSH_LIMIT_S = 1.0
FLUSH_POLL_S = 0.01
FILE_MODE = 0o644
# Means standard output where the path of a log file is expected.
STANDARD_OUTPUT = "-"
# Standard streams, descriptors 0 to 2, are not closed with the log.
_LAST_STANDARD_DESCRIPTOR = 2
_OPEN_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_NONBLOCK | os.O_CLOEXEC


def reopen(descriptor: int) -> int:
    """Returns a new non-blocking descriptor of an open file, which the caller owns.

    Opening the file again does not change the mode of the given descriptor, which
    other processes may share. A socket or another user's file can't be opened
    again; then the descriptor is duplicated, which makes the shared one
    non-blocking too.
    """
    try:
        return os.open(f"/proc/self/fd/{descriptor}", _OPEN_FLAGS)
    except OSError:
        duplicate = os.dup(descriptor)
        os.set_blocking(duplicate, False)
        return duplicate


def unblock_standard_output() -> int:
    """Makes standard output itself non-blocking and returns its descriptor.

    A new descriptor isn't enough, because a collector of the process's output may
    watch only this one.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return descriptor


def open_log(path: str) -> int:
    """Opens a log file to append to, or standard error if ``path`` is empty.

    :param path: ``-`` for standard output.
    :returns: a non-blocking descriptor that the caller owns.
    :raises LogUnavailable: if it can't be opened.
    """
    try:
        if not path:
            return reopen(sys.stderr.fileno())
        if path == STANDARD_OUTPUT:
            return unblock_standard_output()
        return os.open(path, _OPEN_FLAGS | os.O_CREAT, FILE_MODE)
    except OSError as error:
        raise LogUnavailable(f"log file {path!r}: {error.strerror}") from error


class LineWriter:
    """Writes whole lines without blocking.

    :ivar pending: lines that the kernel has not accepted yet, oldest first.
    :ivar dropped: number of lines lost because the buffer was full or a write failed.
    """

    __slots__ = ("descriptor", "pending", "pending_bytes", "dropped")

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0

    def __enter__(self) -> "LineWriter":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.flush(FLUSH_LIMIT_S)
        if self.descriptor > _LAST_STANDARD_DESCRIPTOR:
            os.close(self.descriptor)

    def write(self, line: bytes) -> None:
        """Writes a line, or buffers it while the kernel accepts no more."""
        if self.pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self.pending.append(line)
            self.pending_bytes += len(line)
        self.write_pending()

    def write_pending(self) -> None:
        """Writes as much as the kernel accepts without blocking."""
        while self.pending:
            line = self.pending[0]
            try:
                # The patched os.write would yield to the event loop, which callers
                # don't expect.
                written = os.writev(self.descriptor, [line])
            except BlockingIOError:
                return
            except OSError:
                written = len(line)
                self.dropped += 1
            self.pending_bytes -= written
            if written == len(line):
                self.pending.popleft()
            else:
                self.pending[0] = line[written:]

    def flush(self, limit_s: float) -> None:
        """Waits until nothing is pending, for at most ``limit_s`` seconds."""
        deadline = time.monotonic() + limit_s
        self.write_pending()
        while self.pending and time.monotonic() < deadline:
            time.sleep(FLUSH_POLL_S)
            self.write_pending()


class LogDestination:
    """An eliot destination that adds the process's identity to each message.

    :ivar sequence: lines written so far; a gap in a log shows lost lines.
    """

    __slots__ = ("writer", "identity", "sequence")

    def __init__(self, writer: LineWriter, identity: dict[str, object]):
        self.writer = writer
        self.identity = identity
        self.sequence = 0

    def __call__(self, message: dict) -> None:
        self.sequence += 1
        line = {**message, **self.identity, "sequence": self.sequence}
        if self.writer.dropped:
            line["dropped_lines"] = self.writer.dropped
        self.writer.write(msgspec.json.encode(line, enc_hook=repr) + b"\n")


@contextlib.contextmanager
def process_log(
    path: str, process_id: str, role: str, data_centre: str
) -> Iterator[LogDestination]:
    """Records events of this process inside the block.

    :param path: file to append to; empty for standard error, ``-`` for standard output.
    :raises LogUnavailable: if the file can't be opened.
    """
    identity = {
        "process_id": process_id,
        "role": role,
        "data_centre": data_centre,
        "pid": os.getpid(),
    }
    with LineWriter(open_log(path)) as writer:
        destination = LogDestination(writer, identity)
        eliot.add_destinations(destination)
        try:
            yield destination
        finally:
            eliot.remove_destination(destination)

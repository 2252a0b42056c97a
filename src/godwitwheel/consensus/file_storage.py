"""Stores a member's state in its data folder.

=============  ==========================================================
file           content
=============  ==========================================================
``identity``   random identity of this folder, one record
``log``        write-ahead log of hard states and entries
``snapshot``   the latest snapshot, one record
``lock``       empty; locked by the process that uses the folder
``*.tmp``      a file that is being written, dropped when opened
=============  ==========================================================
"""

import fcntl
import os
import secrets
from pathlib import Path

import msgspec

from .errors import CorruptLog, StorageError
from .messages import Entry, HardState, Snapshot
from .records import (
    BatchStart,
    EntryRecord,
    HardStateRecord,
    LogStart,
    Record,
    encode_record,
    frame,
    read_records,
    unframe,
)
from .replay import conflicts_with_snapshot, replay, reset_to_snapshot
from .storage import Storage
from .work import SavedState

IDENTITY_BYTES = 8
IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"


class FileStorage(Storage):
    """Holds an exclusive lock on a data folder while its ``with`` block is active.

    :ivar size: length of the log file, in bytes.
    :ivar pending: encoded records that are not written yet.
    """

    __slots__ = ("folder", "folder_fd", "lock_fd", "log_fd", "size", "pending")

    def __init__(self, folder: str | os.PathLike):
        self.folder = Path(folder)
        self.folder_fd = -1
        self.lock_fd = -1
        self.log_fd = -1
        self.size = 0
        self.pending: list[bytes] = []

    def __enter__(self) -> "FileStorage":
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.folder_fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            self.lock_fd = os.open(
                self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600
            )
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.__exit__()
            raise StorageError(f"{self.folder}: {error}") from error
        return self

    def __exit__(self, *exc_info: object) -> None:
        for fd in (self.log_fd, self.lock_fd, self.folder_fd):
            if fd >= 0:
                os.close(fd)
        self.log_fd = self.lock_fd = self.folder_fd = -1

    def load(self) -> SavedState:
        for leftover in self.folder.glob("*.tmp"):
            leftover.unlink()
        try:
            identity = self._load_identity()
            snapshot = self._load_snapshot()
            saved = self._load_log(identity, snapshot)
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error
        return saved

    def write(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        if hard_state is not None:
            self.pending.append(encode_record(HardStateRecord(hard_state)))
        for entry in entries:
            self.pending.append(encode_record(EntryRecord(entry)))

    def sync(self) -> None:
        if not self.pending:
            return
        batch = encode_record(BatchStart(self.size)) + b"".join(self.pending)
        self.pending.clear()
        try:
            _write_all(self.log_fd, batch)
            os.fdatasync(self.log_fd)
        except OSError as error:
            raise StorageError(f"{self.folder / LOG_FILE}: {error}") from error
        self.size += len(batch)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        base_index: int,
        base_term: int,
        entries: list[Entry],
    ) -> None:
        records: list[Record] = [HardStateRecord(hard_state)]
        records += [EntryRecord(entry) for entry in entries]
        self.pending.clear()
        try:
            # The snapshot is replaced first: after a crash in between, a log that
            # begins after a snapshot that does not exist would have a gap.
            self._replace(SNAPSHOT_FILE, frame(msgspec.msgpack.encode(snapshot)))
            self._replace_log(LogStart(base_index, base_term), records)
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error

    def _load_identity(self) -> str:
        path = self.folder / IDENTITY_FILE
        if not path.exists():
            self._initialize()
        payload = unframe(path.read_bytes(), 0)
        if payload is None:
            raise CorruptLog(f"{path} is truncated or fails its checksum")
        return payload.hex()

    def _initialize(self) -> None:
        """Creates an empty log and then, as the last step, an identity.

        An identity without a log is therefore never an interrupted creation but
        means that the log was lost, so the member must not vote again.
        """
        for name in (LOG_FILE, SNAPSHOT_FILE):
            path = self.folder / name
            if path.exists() and not _is_empty_log(path):
                raise CorruptLog(f"{path} exists without an identity file")
        self._replace_log(LogStart(0, 0), [])
        self._replace(IDENTITY_FILE, frame(secrets.token_bytes(IDENTITY_BYTES)))

    def _load_snapshot(self) -> Snapshot | None:
        path = self.folder / SNAPSHOT_FILE
        if not path.exists():
            return None
        payload = unframe(path.read_bytes(), 0)
        if payload is None:
            raise CorruptLog(f"{path} is truncated or fails its checksum")
        return msgspec.msgpack.decode(payload, type=Snapshot)

    def _load_log(self, identity: str, snapshot: Snapshot | None) -> SavedState:
        path = self.folder / LOG_FILE
        if not path.exists():
            raise CorruptLog(f"{path} is missing, but an identity file exists")
        data = path.read_bytes()
        records, intact_bytes = read_records(data)
        saved = replay(identity, snapshot, records)
        self._open_log(intact_bytes)
        if intact_bytes < len(data):
            os.ftruncate(self.log_fd, intact_bytes)
        # A process that was killed while it synced may have left its last batch in
        # memory, and what was read counts as synced from now on.
        os.fsync(self.log_fd)
        if conflicts_with_snapshot(saved):
            reset_to_snapshot(saved)
            start = LogStart(saved.base_index, saved.base_term)
            self._replace_log(start, [HardStateRecord(saved.hard_state)])
        return saved

    def _open_log(self, size: int) -> None:
        if self.log_fd >= 0:
            os.close(self.log_fd)
        self.log_fd = os.open(self.folder / LOG_FILE, os.O_RDWR)
        self.size = size
        os.lseek(self.log_fd, size, os.SEEK_SET)

    def _replace_log(self, start: LogStart, records: list[Record]) -> None:
        content = b"".join(encode_record(record) for record in [start, *records])
        # The rename makes the whole content durable at once, so damage in it is
        # never a torn write. The batch start at the end marks it as synced.
        content += encode_record(BatchStart(len(content)))
        self._replace(LOG_FILE, content)
        self._open_log(len(content))

    def _replace(self, name: str, content: bytes) -> None:
        temporary = self.folder / f"{name}.tmp"
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, content)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temporary, self.folder / name)
        os.fsync(self.folder_fd)


def _write_all(fd: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(fd, view) :]


def _is_empty_log(path: Path) -> bool:
    """Whether a file is the empty log of an interrupted creation."""
    records, _ = read_records(path.read_bytes())
    return all(
        isinstance(record, BatchStart) or record == LogStart(0, 0) for record in records
    )

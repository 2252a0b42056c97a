"""SQLite files of the stand-in: one store, and one session per connection."""

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .log import LogEntry

_CREATE = """
PRAGMA journal_mode = WAL;
PRAGMA synchronous = OFF;
CREATE TABLE IF NOT EXISTS bench_log (
    position INTEGER PRIMARY KEY, term INTEGER, made_at REAL, statements BLOB
);
CREATE TABLE IF NOT EXISTS bench_meta (name TEXT PRIMARY KEY, value);
"""
_ADD_ENTRY = "INSERT INTO bench_log VALUES (?, ?, ?, ?)"
_READ_LOG = "SELECT term, position, made_at, statements FROM bench_log ORDER BY 2"
_SAVE_META = "INSERT OR REPLACE INTO bench_meta VALUES (?, ?)"
_FILE_NAMES = ("target.db", "target.db-wal", "target.db-shm")


def add_entry(connection: sqlite3.Connection, entry: LogEntry) -> None:
    """Writes an entry into the log table, in the open transaction."""
    statements = msgspec.json.encode(entry.statements)
    row = (entry.position, entry.term, entry.made_at, statements)
    connection.execute(_ADD_ENTRY, row)


class Database:
    """The store: tables, replication log, and the target's role and term."""

    __slots__ = ("folder", "connection")

    def __init__(self, folder: Path):
        self.folder = folder
        self.connection = self._create()

    def _create(self) -> sqlite3.Connection:
        connection = self.open_session()
        connection.executescript(_CREATE)
        return connection

    def open_session(self) -> sqlite3.Connection:
        """Opens another connection to the same file."""
        path = self.folder / _FILE_NAMES[0]
        return sqlite3.connect(path, isolation_level=None, timeout=0.0)

    def close(self) -> None:
        """Closes the store's own connection."""
        self.connection.close()

    def read_log(self) -> list[LogEntry]:
        """Returns the log as stored in the file."""
        rows = self.connection.execute(_READ_LOG).fetchall()
        kind = list[tuple[str, list]]
        return [
            LogEntry(term, position, made_at, msgspec.json.decode(body, type=kind))
            for term, position, made_at, body in rows
        ]

    def read_meta(self) -> dict[str, object]:
        """Returns the values stored with :meth:`save_meta`."""
        return dict(self.connection.execute("SELECT name, value FROM bench_meta"))

    def save_meta(self, values: dict[str, object]) -> None:
        """Stores ``values`` so that they survive a restart."""
        with self._transaction():
            self.connection.executemany(_SAVE_META, values.items())

    def apply(self, entries: list[LogEntry]) -> None:
        """Applies replicated entries and logs them, all in one transaction."""
        with self._transaction():
            for entry in entries:
                for sql, parameters in entry.statements:
                    self.connection.execute(sql, parameters)
                add_entry(self.connection, entry)

    def rebuild(self, entries: list[LogEntry]) -> None:
        """Replaces the store by a new one that contains ``entries``.

        Open sessions still use the deleted file and must be closed.
        """
        meta = self.read_meta()
        self.connection.close()
        for name in _FILE_NAMES:
            (self.folder / name).unlink(missing_ok=True)
        self.connection = self._create()
        self.save_meta(meta)
        self.apply(entries)

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        self.connection.execute("BEGIN IMMEDIATE")
        try:
            yield
        except BaseException:
            self.connection.execute("ROLLBACK")
            raise
        self.connection.execute("COMMIT")

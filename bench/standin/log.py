"""The stand-in's replication log, and the messages that replicate it."""

import msgspec


class LogEntry(msgspec.Struct, frozen=True):
    """One committed transaction.

    :ivar made_at: ``CLOCK_MONOTONIC`` of the primary's commit, in seconds; comparable
        between the processes of a deployment, which share one machine.
    :ivar statements: SQL and parameters, in order.
    """

    term: int
    position: int
    made_at: float
    statements: list[tuple[str, list]]


class PullLog(msgspec.Struct, frozen=True):
    """Requests the entries that follow the replica's log from its primary.

    :ivar runs: ``(term, last position)`` of each run of entries of one term.
    :ivar wait_ms: how long to wait for a new entry, in milliseconds.
    """

    runs: list[tuple[int, int]]
    wait_ms: int


class LogPage(msgspec.Struct, frozen=True):
    """Entries after ``common``, the end of the prefix that both logs share."""

    term: int
    term_start: int
    is_primary: bool
    common: int
    entries: list[LogEntry]


class ReplicationLog:
    """Entries from position 1 on, in memory."""

    __slots__ = ("entries",)

    def __init__(self, entries: list[LogEntry]):
        self.entries = entries

    def position(self) -> int:
        """Returns the position of the last entry."""
        return len(self.entries)

    def after(self, position: int, limit: int) -> list[LogEntry]:
        """Returns up to ``limit`` entries that follow ``position``."""
        return self.entries[position : position + limit]

    def runs(self) -> list[tuple[int, int]]:
        """Returns ``(term, last position)`` of each run of entries of one term."""
        runs: list[tuple[int, int]] = []
        position = len(self.entries)
        while position:
            term = self.entries[position - 1].term
            runs.append((term, position))
            position = self._first_of_term(term, position) - 1
        return runs[::-1]

    def common_prefix(self, runs: list[tuple[int, int]]) -> int:
        """Returns the last position up to which this log and ``runs`` agree.

        A term has one primary, so equal terms at a position mean equal entries.
        """
        common = 0
        for (own_term, own_last), (term, last) in zip(self.runs(), runs, strict=False):
            if own_term != term:
                break
            common = min(own_last, last)
            if own_last != last:
                break
        return common

    def _first_of_term(self, term: int, upper: int) -> int:
        low, high = 1, upper
        while low < high:
            middle = (low + high) // 2
            if self.entries[middle - 1].term < term:
                low = middle + 1
            else:
                high = middle
        return low

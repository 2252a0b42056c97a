"""Current state of a stand-in target: role, term, log, sessions."""

import time

from godwitwheel.internal.loop import Event, Semaphore
from godwitwheel.wire.target import ProblemCode, Role, TargetStatus

from .database import Database
from .errors import TargetRefusal
from .log import LogEntry, LogPage, PullLog, ReplicationLog
from .settings import TargetSettings

PAGE_LIMIT = 500


class Counters:
    """Counters of the target, for checks after a run.

    :ivar left_at: ``CLOCK_MONOTONIC`` of the first announcement that it leaves, in
        seconds.
    """

    __slots__ = (
        "statements",
        "sessions",
        "refused_over_cap",
        "most_connections",
        "left_at",
        "last_work_after_leaving_s",
    )

    def __init__(self):
        self.statements = 0
        self.sessions = 0
        self.refused_over_cap = 0
        self.most_connections = 0
        self.left_at: float | None = None
        self.last_work_after_leaving_s = 0.0

    def count_work(self) -> None:
        """Counts a statement or the start of a transaction."""
        self.statements += 1
        if self.left_at is not None:
            self.last_work_after_leaving_s = time.monotonic() - self.left_at


class TargetState:
    """Role, term and log of the target; sessions and handlers share it.

    :ivar write_lock: held by the one transaction that may write.
    :ivar appended: event of the next append; triggered and replaced by each append.
    """

    __slots__ = (
        "settings",
        "database",
        "log",
        "role",
        "term",
        "term_start",
        "lag_s",
        "leaving",
        "sessions",
        "slots",
        "write_lock",
        "appended",
        "counters",
    )

    def __init__(self, settings: TargetSettings):
        self.settings = settings
        self.database = Database(settings.folder)
        self.log = ReplicationLog(self.database.read_log())
        meta = self.database.read_meta()
        self.role = Role(meta.get("role", settings.role))
        self.term = int(meta.get("term", 0))
        self.term_start = int(meta.get("term_start", 0))
        self.lag_s = settings.lag_s
        self.leaving = False
        self.sessions: set = set()
        self.slots = Semaphore(settings.slots)
        self.write_lock = Semaphore(1)
        self.appended = Event()
        self.counters = Counters()

    def status(self) -> TargetStatus:
        """Returns the target's status."""
        settings = self.settings
        return TargetStatus(
            target_id=settings.target_id,
            group=settings.group,
            data_centre=settings.data_centre,
            address=settings.advertise,
            role=self.role,
            term=self.term,
            position=self.log.position(),
            term_start=self.term_start,
            slots=settings.slots,
            connection_cap=settings.connection_cap,
            connections_open=len(self.sessions),
            leaving=self.leaving,
        )

    def next_entry(self, statements: list[tuple[str, list]]) -> LogEntry:
        """Returns the entry that a commit made now would append."""
        position = self.log.position() + 1
        return LogEntry(self.term, position, time.monotonic(), statements)

    def append(self, entries: list[LogEntry]) -> None:
        """Adds committed entries to the log and wakes waiting replicas."""
        self.log.entries.extend(entries)
        appended, self.appended = self.appended, Event()
        appended.send()

    def apply(self, entries: list[LogEntry]) -> None:
        """Applies replicated entries."""
        self.database.apply(entries)
        self.append(entries)

    def create_schema(self, sql_script: str) -> None:
        """Creates the schema in a new primary's empty store, as the first log entry."""
        if self.role is Role.primary and not self.log.position():
            statements = [part.strip() for part in sql_script.split(";")]
            entry = self.next_entry([(part, []) for part in statements if part])
            self.apply([entry])

    def check_writable(self) -> None:
        """Refuses a write at a replica.

        :raises TargetRefusal: unless this target's role is primary.
        """
        if self.role is not Role.primary:
            raise TargetRefusal(ProblemCode.not_primary, f"role is {self.role}")

    def promote(self, term: int) -> None:
        """Becomes primary of ``term``.

        :raises TargetRefusal: if the target's own term is not lower than ``term``,
            unless it is already the primary of ``term``.
        """
        if term == self.term and self.role is Role.primary:
            return
        if term <= self.term:
            raise TargetRefusal(ProblemCode.stale_term, f"term is {self.term}")
        self._change_role(Role.primary, term, self.log.position())

    def follow(self, term: int, page: LogPage) -> None:
        """Becomes a replica of ``term`` and drops entries that its primary lacks."""
        self.end_write_transactions()
        if page.common < self.log.position():
            self.truncate(page.common)
        self._change_role(Role.replica, term, page.term_start)

    def truncate(self, position: int) -> None:
        """Drops the entries after ``position``; every session is closed."""
        for session in list(self.sessions):
            session.abort()
        del self.log.entries[position:]
        self.database.rebuild(self.log.entries)

    def end_write_transactions(self) -> None:
        """Rolls back the transactions that may write."""
        for session in list(self.sessions):
            if session.holds_write_lock:
                session.roll_back()

    def page_after(self, pull: PullLog) -> LogPage:
        """Returns the reply to a replica's pull request."""
        common = self.log.common_prefix(pull.runs)
        return LogPage(
            term=self.term,
            term_start=self.term_start,
            is_primary=self.role is Role.primary,
            common=common,
            entries=self.log.after(common, PAGE_LIMIT),
        )

    def _change_role(self, role: Role, term: int, term_start: int) -> None:
        self.role = role
        self.term = term
        self.term_start = term_start
        self.database.save_meta(
            {"role": str(role), "term": term, "term_start": term_start}
        )

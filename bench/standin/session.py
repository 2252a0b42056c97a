"""One database connection of the stand-in and its transaction."""

import contextlib
import sqlite3
from collections.abc import Iterator

from godwitwheel.internal.loop import LoopTimeout, sleep
from godwitwheel.wire.target import (
    ProblemCode,
    Statement,
    StatementReply,
    StepReply,
    TransactionStep,
)

from .database import add_entry
from .errors import TargetRefusal
from .state import TargetState

LOCK_WAIT_S = 5.0


class Session:
    """A database connection; it belongs to one TCP connection.

    :ivar statements: write statements of the open transaction.
    :ivar snapshot_position: log position of the read-only transaction's snapshot;
        ``None`` without one.
    """

    __slots__ = (
        "state",
        "sqlite",
        "in_transaction",
        "holds_write_lock",
        "statements",
        "snapshot_position",
    )

    def __init__(self, state: TargetState):
        self.state = state
        self.sqlite = state.database.open_session()
        self.in_transaction = False
        self.holds_write_lock = False
        self.statements: list[tuple[str, list]] = []
        self.snapshot_position: int | None = None
        state.sessions.add(self)

    def close(self) -> None:
        """Rolls back and removes the connection from the open ones."""
        self.abort()
        self.state.sessions.discard(self)

    def abort(self) -> None:
        """Rolls back and closes the connection; every later use fails."""
        if self.sqlite is not None:
            self.roll_back()
            self.sqlite.close()
            self.sqlite = None

    def roll_back(self) -> None:
        """Rolls back the open transaction, if there is one."""
        if self.in_transaction:
            self.sqlite.execute("ROLLBACK")
        self._reset_transaction()

    def run(self, statement: Statement) -> StatementReply:
        """Runs one statement; outside a transaction it autocommits.

        :raises TargetRefusal: if it was not run or failed without effect.
        """
        self._check_open()
        if not (self.in_transaction or statement.read_only):
            self.state.check_writable()
        with self.state.slots:
            sleep(self.state.settings.statement_s)
        if self.in_transaction or statement.read_only:
            return self._run_checked(statement)
        # The simulated work is done in the slot; only the commit waits for the write
        # lock, which a transaction may hold.
        self._acquire_write_lock()
        try:
            return self._run_checked(statement)
        finally:
            if not self.in_transaction:
                self._release_write_lock()

    def begin(self, step: TransactionStep) -> StepReply:
        """Begins a transaction; one that may write waits for the write lock."""
        self._check_open()
        if self.in_transaction:
            raise TargetRefusal(ProblemCode.bad_request, "already in a transaction")
        if step.read_only:
            self._execute("BEGIN", [], read_only=True)
            # SQLite takes its snapshot at the first read.
            self._execute("SELECT 1 FROM bench_meta", [], read_only=True)
            self.snapshot_position = self.state.log.position()
        else:
            self._begin_writing()
        self.in_transaction = True
        return self._step_reply(step)

    def commit(self, step: TransactionStep) -> StepReply:
        """Commits the transaction and logs its writes as one entry."""
        self._check_transaction()
        if self.statements:
            self.state.check_writable()
            self._commit_writes()
        else:
            self.sqlite.execute("COMMIT")
        reply = self._step_reply(step)
        self._reset_transaction()
        return reply

    def rollback(self, step: TransactionStep) -> StepReply:
        """Rolls back the open transaction, which must exist."""
        self._check_transaction()
        self.roll_back()
        return self._step_reply(step)

    def _begin_writing(self) -> None:
        self.state.check_writable()
        self._acquire_write_lock()
        try:
            self._check_open()
            self.state.check_writable()
            self._execute("BEGIN IMMEDIATE", [], read_only=False)
        except BaseException:
            self._release_write_lock()
            raise

    def _run_checked(self, statement: Statement) -> StatementReply:
        self._check_open()
        read_only = statement.read_only or self.snapshot_position is not None
        if not read_only:
            self.state.check_writable()
        return self._run_now(statement, read_only)

    def _run_now(self, statement: Statement, read_only: bool) -> StatementReply:
        if read_only or self.in_transaction:
            cursor, rows = self._execute(statement.sql, statement.parameters, read_only)
            if not read_only:
                self._collect_write(statement)
        else:
            cursor, rows = self._run_in_own_transaction(statement)
        return StatementReply(
            request_id=statement.request_id,
            term=self.state.term,
            position=self._position(),
            columns=[column[0] for column in cursor.description or []],
            rows=[list(row) for row in rows],
            row_count=max(cursor.rowcount, 0) or len(rows),
        )

    def _run_in_own_transaction(
        self, statement: Statement
    ) -> tuple[sqlite3.Cursor, list]:
        with self._own_transaction():
            result = self._execute(statement.sql, statement.parameters, False)
            self._collect_write(statement)
        return result

    @contextlib.contextmanager
    def _own_transaction(self) -> Iterator[None]:
        self._execute("BEGIN IMMEDIATE", [], read_only=False)
        try:
            yield
        except BaseException:
            self.sqlite.execute("ROLLBACK")
            self.statements = []
            raise
        self._commit_writes()
        self.statements = []

    def _commit_writes(self) -> None:
        if not self.statements:
            self.sqlite.execute("COMMIT")
            return
        entry = self.state.next_entry(self.statements)
        add_entry(self.sqlite, entry)
        self.sqlite.execute("COMMIT")
        self.state.append([entry])

    def _collect_write(self, statement: Statement) -> None:
        if statement.sql.lstrip()[:6].upper() != "SELECT":
            self.statements.append((statement.sql, statement.parameters))

    def _execute(
        self, sql: str, parameters: list, read_only: bool
    ) -> tuple[sqlite3.Cursor, list]:
        try:
            self.sqlite.execute(f"PRAGMA query_only = {int(read_only)}")
            cursor = self.sqlite.execute(sql, parameters)
            return cursor, cursor.fetchall()
        except (sqlite3.Error, sqlite3.Warning) as error:
            code = ProblemCode.statement_failed
            raise TargetRefusal(code, str(error), status=422) from error

    def _position(self) -> int:
        return (
            self.state.log.position()
            if self.snapshot_position is None
            else self.snapshot_position
        )

    def _step_reply(self, step: TransactionStep) -> StepReply:
        return StepReply(step.request_id, self.state.term, self._position())

    def _reset_transaction(self) -> None:
        self.in_transaction = False
        self.statements = []
        self.snapshot_position = None
        self._release_write_lock()

    def _acquire_write_lock(self) -> None:
        try:
            with LoopTimeout(LOCK_WAIT_S):
                self.state.write_lock.acquire()
        except LoopTimeout as error:
            code = ProblemCode.statement_failed
            raise TargetRefusal(code, "lock wait timed out", 422) from error
        self.holds_write_lock = True

    def _release_write_lock(self) -> None:
        if self.holds_write_lock:
            self.holds_write_lock = False
            self.state.write_lock.release()

    def _check_open(self) -> None:
        if self.sqlite is None:
            raise TargetRefusal(ProblemCode.no_session, "the connection was ended")

    def _check_transaction(self) -> None:
        self._check_open()
        if not self.in_transaction:
            raise TargetRefusal(ProblemCode.no_transaction, "no open transaction")

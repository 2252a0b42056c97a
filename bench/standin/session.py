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

    :ivar statements: what the open transaction wrote.
    :ivar pinned: position that a read-only transaction sees; ``None`` without one.
    """

    __slots__ = (
        "state",
        "sqlite",
        "in_transaction",
        "holds_writer",
        "statements",
        "pinned",
    )

    def __init__(self, state: TargetState):
        self.state = state
        self.sqlite = state.database.open_session()
        self.in_transaction = False
        self.holds_writer = False
        self.statements: list[tuple[str, list]] = []
        self.pinned: int | None = None
        state.sessions.add(self)

    def close(self) -> None:
        """Rolls back and frees the connection."""
        self.abort()
        self.state.sessions.discard(self)

    def abort(self) -> None:
        """Rolls back and makes every later use fail."""
        if self.sqlite is not None:
            self.roll_back()
            self.sqlite.close()
            self.sqlite = None

    def roll_back(self) -> None:
        """Ends the open transaction, if there is one, without a trace."""
        if self.in_transaction:
            self.sqlite.execute("ROLLBACK")
        self._forget_transaction()

    def run(self, statement: Statement) -> StatementReply:
        """Runs one statement; outside a transaction it commits by itself.

        :raises TargetRefusal: if it was not run or failed without effect.
        """
        self._check_open()
        if not (self.in_transaction or statement.read_only):
            self.state.check_writable()
        with self.state.slots:
            sleep(self.state.settings.statement_s)
        if self.in_transaction or statement.read_only:
            return self._run_checked(statement)
        # The statement's work is done in its slot; only its commit waits for a
        # transaction that may write.
        self._take_writer()
        try:
            return self._run_checked(statement)
        finally:
            if not self.in_transaction:
                self._release_writer()

    def begin(self, step: TransactionStep) -> StepReply:
        """Begins a transaction; one that may write waits for the writer's turn."""
        self._check_open()
        if self.in_transaction:
            raise TargetRefusal(ProblemCode.bad_request, "already in a transaction")
        if step.read_only:
            self._execute("BEGIN", [], read_only=True)
            # SQLite takes its snapshot at the first read.
            self._execute("SELECT 1 FROM bench_meta", [], read_only=True)
            self.pinned = self.state.log.position()
        else:
            self._begin_writing()
        self.in_transaction = True
        return self._step_reply(step)

    def commit(self, step: TransactionStep) -> StepReply:
        """Commits and logs the transaction's writes as one entry."""
        self._check_transaction()
        if self.statements:
            self.state.check_writable()
            self._commit_writes()
        else:
            self.sqlite.execute("COMMIT")
        reply = self._step_reply(step)
        self._forget_transaction()
        return reply

    def rollback(self, step: TransactionStep) -> StepReply:
        """Ends the transaction without a trace."""
        self._check_transaction()
        self.roll_back()
        return self._step_reply(step)

    def _begin_writing(self) -> None:
        self.state.check_writable()
        self._take_writer()
        try:
            self._check_open()
            self.state.check_writable()
            self._execute("BEGIN IMMEDIATE", [], read_only=False)
        except BaseException:
            self._release_writer()
            raise

    def _run_checked(self, statement: Statement) -> StatementReply:
        self._check_open()
        read_only = statement.read_only or self.pinned is not None
        if not read_only:
            self.state.check_writable()
        return self._run_now(statement, read_only)

    def _run_now(self, statement: Statement, read_only: bool) -> StatementReply:
        if read_only or self.in_transaction:
            cursor, rows = self._execute(statement.sql, statement.parameters, read_only)
            if not read_only:
                self._remember(statement)
        else:
            cursor, rows = self._run_alone(statement)
        return StatementReply(
            request_id=statement.request_id,
            term=self.state.term,
            position=self._position(),
            columns=[column[0] for column in cursor.description or []],
            rows=[list(row) for row in rows],
            row_count=max(cursor.rowcount, 0) or len(rows),
        )

    def _run_alone(self, statement: Statement) -> tuple[sqlite3.Cursor, list]:
        with self._own_transaction():
            result = self._execute(statement.sql, statement.parameters, False)
            self._remember(statement)
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

    def _remember(self, statement: Statement) -> None:
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
        return self.state.log.position() if self.pinned is None else self.pinned

    def _step_reply(self, step: TransactionStep) -> StepReply:
        return StepReply(step.request_id, self.state.term, self._position())

    def _forget_transaction(self) -> None:
        self.in_transaction = False
        self.statements = []
        self.pinned = None
        self._release_writer()

    def _take_writer(self) -> None:
        try:
            with LoopTimeout(LOCK_WAIT_S):
                self.state.writer.acquire()
        except LoopTimeout as error:
            code = ProblemCode.statement_failed
            raise TargetRefusal(code, "lock wait timed out", 422) from error
        self.holds_writer = True

    def _release_writer(self) -> None:
        if self.holds_writer:
            self.holds_writer = False
            self.state.writer.release()

    def _check_open(self) -> None:
        if self.sqlite is None:
            raise TargetRefusal(ProblemCode.no_session, "the connection was ended")

    def _check_transaction(self) -> None:
        self._check_open()
        if not self.in_transaction:
            raise TargetRefusal(ProblemCode.no_transaction, "no open transaction")

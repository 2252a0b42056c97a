"""Runs the statements of one request on one connection."""

from ..decisions.admission import AdmissionController
from ..decisions.sessions import LogPosition
from ..internal.clock import Clock
from ..targets.base import TargetConnection
from ..targets.errors import MayHaveRun, Refused, TargetError
from ..wire.caller import CallerStatement
from ..wire.target import StatementReply, StepReply
from .work import Work


class ExecutedStatements:
    """The replies to all statements of a request.

    :ivar seen: log position in the reply to the last statement or the commit.
    :ivar sent_at: when the first step was sent, in seconds of the clock; ``seen``
        is at least as new.
    """

    __slots__ = ("replies", "seen", "sent_at")

    def __init__(
        self, replies: list[StatementReply], seen: LogPosition, sent_at: float
    ):
        self.replies = replies
        self.seen = seen
        self.sent_at = sent_at


class StatementRunner:
    """Runs a request's statements, several of them as one transaction.

    :ivar admission: admission control of the target; records each statement's latency.
    """

    __slots__ = ("work", "connection", "admission", "clock")

    def __init__(
        self,
        work: Work,
        connection: TargetConnection,
        admission: AdmissionController,
        clock: Clock,
    ):
        self.work = work
        self.connection = connection
        self.admission = admission
        self.clock = clock

    def run(self) -> ExecutedStatements:
        """Runs all statements.

        :raises NotRun: if nothing was sent.
        :raises MayHaveRun: if a reply was lost.
        :raises Refused: if the target refused; a transaction is rolled back.
        """
        statements = self.work.request.statements
        if len(statements) == 1:
            sent_at = self.clock.now()
            reply = self._run_statement(statements[0])
            return ExecutedStatements(
                [reply], LogPosition(reply.term, reply.position), sent_at
            )
        return self._run_transaction(statements)

    def _run_transaction(self, statements: list[CallerStatement]) -> ExecutedStatements:
        # A transaction may read a snapshot as old as its beginning.
        sent_at = self.clock.now()
        self.connection.begin(self.work.is_read, self._remaining_s())
        try:
            replies = [self._run_statement(statement) for statement in statements]
        except Refused:
            self._roll_back()
            raise
        reply = self._commit()
        seen = LogPosition(reply.term, reply.position)
        return ExecutedStatements(replies, seen, sent_at)

    def _commit(self) -> StepReply:
        try:
            return self.connection.commit(self._remaining_s())
        except Refused as error:
            if error.ran:
                self.connection.close()
            else:
                self._roll_back()
            raise

    def _run_statement(self, statement: CallerStatement) -> StatementReply:
        started_at = self.clock.now()
        before = self.work.may_have_run
        # Set before sending: if the task is killed meanwhile, the statement must
        # count as possibly sent.
        self.work.may_have_run = True
        try:
            reply = self.connection.run(
                statement.sql,
                statement.parameters,
                self.work.is_read,
                self.work.remaining_s(started_at),
            )
        except MayHaveRun:
            self.admission.record_timeout()
            raise
        except Refused as error:
            if not error.ran:
                self.work.may_have_run = before
            raise
        except TargetError:
            self.work.may_have_run = before
            raise
        self.admission.record_latency(self.clock.now() - started_at)
        return reply

    def _roll_back(self) -> None:
        """Ends a transaction whose commit was not sent or was refused."""
        try:
            self.connection.rollback(self._remaining_s())
        except Refused:
            # The target has already ended the transaction without a commit.
            self.connection.close()
        except TargetError:
            self.connection.close()
            return
        self.work.may_have_run = False

    def _remaining_s(self) -> float:
        return self.work.remaining_s(self.clock.now())

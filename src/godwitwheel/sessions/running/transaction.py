"""A caller's transaction, which runs on one connection from its first statement on."""

from ...directory.records import Route
from ...internal.loop import sleep
from ...wire.service import Access
from ..connections.connection import Rollback
from ..connections.pool import PooledConnection
from ..context import SessionContext, SessionState
from ..errors import ConnectionLost, TurnRefused
from ..queueing.turns import TurnRequest
from ..queueing.waiting import RETRY_DELAY_S, Deadlines
from ..statements import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    TransactionState,
    error_answer,
)
from .admission import admit
from .attempts import (
    commands_to_run,
    exchange,
    is_covered_now,
    mark_primary,
    release_connection,
    turn,
)
from .open_transaction import OpenTransaction
from .opening import TransactionOpener
from .outcomes import Attempts, record_outcome

ROLLBACK_TIMEOUT_S = 0.5
# Precedes the priority of every route; lower numbers go first.
TRANSACTION_PRIORITY = -1


class Transaction(OpenTransaction):
    """A transaction that begins at a target with its first statement.

    :ivar opener: selects the target and begins the transaction there.
    :ivar pooled: the connection, from the first statement on.
    :ivar has_written: whether a write has run.
    :ivar turns: number of its statements that got a turn at the target.
    :ivar turn_kind: kind of statement under which the turns are measured.
    """

    __slots__ = (
        "context",
        "state",
        "route",
        "read_only",
        "opener",
        "pooled",
        "has_written",
        "attempts",
        "turns",
        "turn_kind",
    )

    def __init__(
        self,
        context: SessionContext,
        state: SessionState,
        route: Route,
        read_only: bool,
    ):
        super().__init__()
        self.context = context
        self.state = state
        self.route = route
        self.read_only = read_only
        self.attempts = Attempts()
        self.opener = TransactionOpener(context, state, route, read_only, self.attempts)
        self.pooled: PooledConnection | None = None
        self.has_written = False
        self.turns = 0
        self.turn_kind = f"{route.database}, in a transaction"

    def run(self, statement: Statement) -> Answer:
        """Runs a statement, and first begins the transaction if it has not begun."""
        now = self.context.now()
        deadlines = Deadlines(self.route, now)
        self.context.board.retry_budget(self.route.service).record_statement(now)
        is_write = self.state.access_of(statement) is Access.write
        if is_write and self.read_only:
            self.fail("the transaction only reads")
            return self._finish(
                statement,
                error_answer(ErrorCode.aborted, "the transaction only reads"),
                deadlines,
            )
        refusal = self._open(statement, deadlines)
        if refusal is not None:
            return self._finish(statement, refusal, deadlines)
        answer = self._run(statement, deadlines)
        if answer.error is None:
            self.has_written = self.has_written or is_write
        else:
            self.fail(f"a statement failed: {answer.error.value}")
        return self._finish(statement, answer, deadlines)

    def commit(self, statement: Statement) -> Answer:
        deadlines = Deadlines(self.route, self.context.now())
        if self.has_failed:
            text = "the transaction had failed; nothing is kept"
            return error_answer(ErrorCode.aborted, text)
        refusal = self._open(statement, deadlines)
        if refusal is None:
            refusal = self._commit(statement, deadlines)
        return self._finish(statement, refusal, deadlines)

    def fail(self, reason: str) -> None:
        self.attempts.reason = reason
        self.abandon(reason)

    def abandon(self, reason: str) -> None:
        """Rolls back what is open, and returns the connection to its pool."""
        # Set first: the rollback waits for the target, and no statement of the
        # transaction may run meanwhile.
        self.has_failed = True
        pooled, self.pooled = self.pooled, None
        if pooled is None:
            return
        self._record_turns(pooled)
        try:
            if not pooled.is_broken:
                exchange(self.context, pooled, [Rollback()], ROLLBACK_TIMEOUT_S)
        except ConnectionLost as error:
            # Closing the connection rolls back as well.
            reason = f"{reason}; {error}"
        finally:
            release_connection(pooled)

    def _open(self, statement: Statement, deadlines: Deadlines) -> Answer | None:
        """Begins the transaction at a target if it has not begun.

        :returns: ``None`` if it is open, else the refusal that answers the statement.
        """
        if self.pooled is not None:
            return None
        admission = admit(self.context, self.state, statement)
        if isinstance(admission, Answer):
            self.attempts.reason = "rate limit"
            self.has_failed = True
            return admission
        try:
            opened = self.opener.open(deadlines)
        finally:
            admission.end(self.attempts.has_reached_target)
        if isinstance(opened, Answer):
            self.has_failed = True
            return opened
        self.pooled = opened
        return None

    def _run(self, statement: Statement, deadlines: Deadlines) -> Answer:
        """Runs a statement, and repeats it while the target reports it as not run."""
        while True:
            pooled = self.pooled
            sent_at = self.context.now()
            try:
                timeout_s = deadlines.attempt_s(sent_at)
                answer = self._exchange(statement, timeout_s)
            except ConnectionLost as error:
                # No commit was sent, so closing the connection rolls back, and the
                # caller still has time to begin the transaction again.
                return error_answer(ErrorCode.aborted, str(error))
            if answer.error is None and self.opener.is_read_write:
                target = pooled.pool.target
                mark_primary(self.context, target, sent_at, answer.position)
            if self.pooled is not pooled or not self._may_repeat(answer, deadlines):
                return answer
            pooled.connection_state.prepared.clear()
            sleep(RETRY_DELAY_S)

    def _exchange(self, statement: Statement, timeout_s: float) -> Answer:
        """Runs a statement on the connection once it gets a turn."""
        pooled = self.pooled
        target = pooled.pool.target
        try:
            request = self._turn_request(timeout_s)
            if statement.kind is not StatementKind.commit:
                request.presence = self.state.presence
            with turn(self.context, target, request):
                self.turns += 1
                if self.has_failed or self.pooled is not pooled:
                    # The connection may serve another transaction by now.
                    return error_answer(ErrorCode.aborted, "the transaction has ended")
                if not self._may_use_target():
                    reason = f"no lease on {target.target_id}"
                    return error_answer(
                        ErrorCode.aborted, reason, TransactionState.open
                    )
                commands = commands_to_run(pooled, self.state, statement)
                kind = f"{self.turn_kind}, {statement.kind.value}"
                return exchange(self.context, pooled, commands, timeout_s, kind)[-1]
        except TurnRefused as error:
            return error_answer(ErrorCode.overloaded, str(error))

    def _may_use_target(self) -> bool:
        """Whether the target may still be the primary, if it has to be."""
        if not self.opener.is_read_write:
            return True
        target = self.pooled.pool.target
        now = self.context.now()
        authority = self.context.board.authority
        return authority.may_use(target.service, target.target_id, now)

    def _turn_request(self, timeout_s: float) -> TurnRequest:
        """Returns the turn request of the next statement.

        A transaction that has run a statement goes first: while it waits it holds a
        connection, and if it is refused its work so far is lost.
        """
        start_deadline = self.context.now() + timeout_s
        account = self.state.account
        if self.turns:
            return TurnRequest(
                self.turn_kind, account, TRANSACTION_PRIORITY, start_deadline
            )
        priority = self.route.priority
        return TurnRequest(
            self.turn_kind, account, priority, start_deadline, opens_transaction=True
        )

    def _record_turns(self, pooled: PooledConnection) -> None:
        """Reports the number of turns of the transaction to the target's queue."""
        target = pooled.pool.target
        if self.turns and self.context.board.owns(target.service):
            limiter = self.context.board.limiter(target)
            limiter.queue.record_transaction(self.turn_kind, self.turns)

    def _may_repeat(self, answer: Answer, deadlines: Deadlines) -> bool:
        is_open = answer.state is TransactionState.open
        return (
            answer.was_not_run()
            and is_open
            and not self.pooled.is_broken
            and self.context.now() < deadlines.start_deadline
        )

    def _commit(self, statement: Statement, deadlines: Deadlines) -> Answer:
        pooled = self.pooled
        target = pooled.pool.target
        while True:
            sent_at = self.context.now()
            try:
                with self.context.board.authority.in_flight(target.service):
                    answer = self._exchange(statement, deadlines.left_s(sent_at))
                    is_covered = is_covered_now(self.context, target, sent_at)
            except ConnectionLost as error:
                self.abandon("the commit was not answered")
                if not self.has_written:
                    return error_answer(ErrorCode.aborted, str(error))
                return error_answer(ErrorCode.in_doubt, str(error))
            if self.pooled is not pooled:
                return answer
            if not self._may_repeat(answer, deadlines):
                break
            sleep(RETRY_DELAY_S)
        if answer.error is None and self.has_written and is_covered:
            mark_primary(self.context, target, sent_at, answer.position)
            self.state.record_commit(self.route.service, answer.position)
        if answer.state is TransactionState.idle:
            self.pooled = None
            self._record_turns(pooled)
            release_connection(pooled)
        else:
            self.abandon("the commit was refused")
        if answer.error is None and self.has_written and not is_covered:
            self.attempts.reason = f"the lease on {target.target_id} has ended"
            return error_answer(ErrorCode.in_doubt, self.attempts.reason)
        return answer

    def _finish(
        self, statement: Statement, answer: Answer, deadlines: Deadlines
    ) -> Answer:
        record_outcome(
            self.context,
            self.state,
            self.route,
            statement,
            answer,
            self.attempts,
            deadlines,
            in_transaction=True,
        )
        return answer

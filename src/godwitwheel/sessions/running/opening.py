"""Selects a target for a transaction and begins the transaction there."""

from ...directory.records import Consistency, Route, TargetEntry
from ...internal.loop import sleep
from ...internal.sentinel import Refusal
from ..connections.carrying import commands_for_values
from ..connections.connection import Begin
from ..connections.pool import PooledConnection
from ..context import SessionContext, SessionState
from ..errors import ConnectionLost
from ..queueing.choosing import choose_primary, choose_reader
from ..queueing.waiting import RETRY_DELAY_S, Deadlines, refusal_text
from ..statements import Answer, ErrorCode, Position, error_answer
from .attempts import (
    acquire_connection,
    exchange,
    floor_of,
    is_wait_exhausted,
    mark_not_primary,
    mark_primary,
    release_connection,
)
from .outcomes import Attempts
from .single_run import RETRY_BUSY_MS


class TransactionOpener:
    """Tries targets until a transaction has begun, or its deadline has passed.

    :ivar runs_at_primary: whether the transaction may write, or must see every commit.
    :ivar is_read_write: whether it began as read-write, so that the target refuses its
        statements once it is no longer the primary.
    :ivar excluded: targets that could not begin the transaction.
    :ivar attempts: the attempts so far.
    """

    __slots__ = (
        "context",
        "state",
        "route",
        "runs_at_primary",
        "is_read_write",
        "excluded",
        "attempts",
    )

    def __init__(
        self,
        context: SessionContext,
        state: SessionState,
        route: Route,
        read_only: bool,
        attempts: Attempts,
    ):
        self.context = context
        self.state = state
        self.route = route
        is_primary_route = route.consistency is Consistency.primary
        self.runs_at_primary = is_primary_route or not read_only
        self.is_read_write = False
        self.excluded: set[str] = set()
        self.attempts = attempts

    def open(self, deadlines: Deadlines) -> PooledConnection | Answer:
        """Begins the transaction at a target.

        :returns: the connection inside the transaction, or the refusal that answers
            the statement which needed the transaction.
        """
        while True:
            floor = self._floor()
            target = self._choose(floor)
            is_lagging = target is None and isinstance(floor, Refusal)
            if target is not None:
                begun = self._begin(target, floor, deadlines)
                if isinstance(begun, PooledConnection):
                    return begun
                is_lagging = begun is ErrorCode.lagging
            if is_wait_exhausted(self.context, self.route, deadlines):
                code = ErrorCode.lagging if is_lagging else ErrorCode.overloaded
                text = refusal_text(
                    self.attempts.reason or "no target is free", RETRY_BUSY_MS
                )
                return error_answer(code, text)
            sleep(RETRY_DELAY_S)

    def _floor(self) -> Position | Refusal | None:
        if self.runs_at_primary:
            return None
        return floor_of(self.context, self.state, self.route)

    def _choose(self, floor: Position | Refusal | None) -> TargetEntry | None:
        board, service = self.context.board, self.route.service
        now = self.context.now()
        if not self.runs_at_primary and not isinstance(floor, Refusal):
            reader = choose_reader(
                board, service, self.state.account, self.excluded, floor, now
            )
            if not isinstance(reader, Refusal):
                return reader
            self.excluded.clear()
        # Without a floor, the transaction begins as read-write, which only a primary
        # accepts.
        target = choose_primary(board, service, now)
        if isinstance(target, Refusal):
            self.attempts.reason = f"no primary: {target.detail}"
            return None
        return target

    def _begin(
        self,
        target: TargetEntry,
        floor: Position | Refusal | None,
        deadlines: Deadlines,
    ) -> PooledConnection | ErrorCode | None:
        """Tries to begin the transaction at a target.

        :returns: the connection, or the error code if the target refused, or ``None``
            if no connection was available or the target did not answer.
        """
        now = self.context.now()
        timeout_s = max(deadlines.start_deadline - now, 0.0)
        pooled = acquire_connection(
            self.context, target, self.state, self.route.priority, timeout_s
        )
        if isinstance(pooled, Refusal):
            self.attempts.record_no_connection(target, pooled)
            self.excluded.add(target.target_id)
            return None
        self.attempts.target_id = target.target_id
        self.attempts.count += 1
        self.attempts.has_reached_target = True
        sent_at = self.context.now()
        answer = self._send_begin(pooled, target, floor, deadlines)
        if answer is None or answer.error is not None:
            self.excluded.add(target.target_id)
            return None if answer is None else answer.error
        if self.is_read_write:
            mark_primary(self.context, target, sent_at, answer.position)
        return pooled

    def _send_begin(
        self,
        pooled: PooledConnection,
        target: TargetEntry,
        floor: Position | Refusal | None,
        deadlines: Deadlines,
    ) -> Answer | None:
        commands = commands_for_values(pooled.connection_state, self.state.values)
        needs_floor = not self.runs_at_primary and isinstance(floor, Position)
        # Recorded here, since the known primary may change during the exchange.
        self.is_read_write = not needs_floor
        begin = Begin(read_only=True, floor=floor) if needs_floor else Begin()
        try:
            timeout_s = deadlines.attempt_s(self.context.now())
            kind = f"{self.route.database}, begin"
            commands.append(begin)
            answer = exchange(self.context, pooled, commands, timeout_s, kind)[-1]
        except ConnectionLost as error:
            self.attempts.reason = f"{target.target_id}: {error}"
            release_connection(pooled)
            return None
        if answer.error is not None:
            self.attempts.reason = f"{target.target_id} answered {answer.error.value}"
            if answer.error is ErrorCode.read_only:
                mark_not_primary(self.context, target)
            release_connection(pooled)
        return answer

"""Base class of statements outside a transaction: attempts until a final answer."""

import contextlib
from abc import ABC, abstractmethod
from collections.abc import Iterator

from ...directory.records import Route, TargetEntry
from ...internal.loop import sleep
from ...internal.sentinel import Refusal
from ..connections.pool import PooledConnection
from ..context import SessionContext, SessionState
from ..errors import TurnRefused
from ..queueing.choosing import choose_primary
from ..queueing.turns import TurnRequest
from ..queueing.waiting import RETRY_DELAY_S, Deadlines, refusal_text
from ..statements import Answer, ErrorCode, Statement, error_answer
from .attempts import acquired_connection, is_wait_exhausted, mark_not_primary
from .outcomes import Attempts, record_outcome

# Retry delays that refused callers are given, in milliseconds.
RETRY_BUSY_MS = 50
RETRY_NO_PRIMARY_MS = 300
RETRY_LAGGING_MS = 100


class SingleRun(ABC):
    """Tries targets until one has answered, or the statement's deadline has passed.

    :ivar refusal: the last refusal by a target, or ``None``.
    :ivar attempts: the attempts so far.
    :ivar was_sent: whether a target was sent the statement and did not answer.
    """

    __slots__ = (
        "context",
        "state",
        "route",
        "statement",
        "deadlines",
        "refusal",
        "attempts",
        "was_sent",
    )

    def __init__(
        self,
        context: SessionContext,
        state: SessionState,
        route: Route,
        statement: Statement,
    ):
        self.context = context
        self.state = state
        self.route = route
        self.statement = statement
        self.deadlines = Deadlines(route, context.now())
        self.refusal: Answer | None = None
        self.attempts = Attempts()
        self.was_sent = False

    def run(self) -> Answer:
        """Returns the final answer."""
        while True:
            try:
                answer = self.attempt()
            except TurnRefused as error:
                return self._finish(self._refuse(error))
            if answer is not None:
                return self._finish(answer)
            if self.is_past_deadline():
                return self._finish(self.failure_answer())
            sleep(RETRY_DELAY_S)

    @abstractmethod
    def attempt(self) -> Answer | None:
        """Makes one attempt; returns ``None`` if it brought no final answer."""

    def is_past_deadline(self) -> bool:
        """Whether no further attempt is made."""
        if self.was_sent:
            # A target was sent the statement, so attempts go on until its timeout.
            return self.context.now() >= self.deadlines.expires_at
        if self._is_overloaded():
            return self.context.now() >= self.deadlines.start_deadline
        return is_wait_exhausted(self.context, self.route, self.deadlines)

    def failure_answer(self) -> Answer:
        """Returns the final answer to a statement that no target has answered."""
        if self.was_sent:
            return error_answer(ErrorCode.timed_out, self.attempts.reason)
        known_primary = self.context.board.known_primary(self.route.service)
        if known_primary.confirmed_at is None and not self._is_overloaded():
            text = refusal_text(
                self.attempts.reason or "no primary", RETRY_NO_PRIMARY_MS
            )
            return error_answer(ErrorCode.overloaded, text)
        text = refusal_text(self.attempts.reason or "no target is free", RETRY_BUSY_MS)
        return error_answer(ErrorCode.overloaded, text)

    def _refuse(self, error: TurnRefused) -> Answer:
        """Returns the answer to a statement that was refused a turn."""
        self.attempts.reason = f"{self.attempts.target_id}: {error}"
        if self.was_sent:
            return error_answer(ErrorCode.timed_out, self.attempts.reason)
        retry_after_ms = max(round(1000 * error.retry_after_s), RETRY_BUSY_MS)
        text = refusal_text(self.attempts.reason, retry_after_ms)
        return error_answer(ErrorCode.overloaded, text)

    def _is_overloaded(self) -> bool:
        """Whether the last refusal came from an overloaded target."""
        return self.refusal is not None and self.refusal.error is ErrorCode.overloaded

    def primary(self) -> TargetEntry | None:
        """Returns the known primary, or ``None`` if there is none to try."""
        service = self.route.service
        target = choose_primary(self.context.board, service, self.context.now())
        if isinstance(target, Refusal):
            self.attempts.reason = f"no primary: {target.detail}"
            return None
        return target

    @contextlib.contextmanager
    def acquired_connection(
        self, target: TargetEntry
    ) -> Iterator[PooledConnection | None]:
        """Provides a connection to a target, or ``None`` if none is available in time.

        :raises TurnRefused: if the statement gets no turn there in time.
        """
        self.attempts.count += 1
        self.attempts.target_id = target.target_id
        request = TurnRequest(
            self.route.database,
            self.state.account,
            self.route.priority,
            self.deadlines.start_deadline,
            presence=self.state.presence,
        )
        with acquired_connection(self.context, target, self.state, request) as pooled:
            if isinstance(pooled, Refusal):
                self.attempts.record_no_connection(target, pooled)
                yield None
                return
            self.attempts.has_reached_target = True
            yield pooled

    def record_refusal(self, target: TargetEntry, answer: Answer) -> None:
        """Records that a target has not run the statement."""
        self.refusal = answer
        self.attempts.reason = f"{target.target_id} answered {answer.error.value}"
        if answer.error is ErrorCode.read_only:
            mark_not_primary(self.context, target)

    def _finish(self, answer: Answer) -> Answer:
        record_outcome(
            self.context,
            self.state,
            self.route,
            self.statement,
            answer,
            self.attempts,
            self.deadlines,
            in_transaction=False,
        )
        return answer

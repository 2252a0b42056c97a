"""Refuses at a proxy what an owner has just refused for an account's rate limit."""

from ...directory.records import NO_ACCOUNT, Route
from ...observe.events import EventName
from ..context import SessionContext, SessionState
from ..running.admission import limit_answer
from ..statements import Answer, Statement


class OwnerLimits:
    """The accounts that owners refuse now, so that a flood costs the owners nothing.

    :ivar until: end of the refusal by account and service, in seconds of the clock.
    """

    __slots__ = ("context", "until")

    def __init__(self, context: SessionContext):
        self.context = context
        self.until: dict[tuple[str, str], float] = {}

    def record(self, state: SessionState, route: Route, retry_ms: int) -> None:
        """Records an owner's answer.

        :param retry_ms: time for which it refuses the account, in milliseconds; 0 if it
            doesn't.
        """
        if not retry_ms:
            return
        now = self.context.now()
        self.until = {key: until for key, until in self.until.items() if now < until}
        self.until[(state.account, route.service)] = now + retry_ms / 1000.0

    def refusal(
        self, state: SessionState, route: Route, statement: Statement
    ) -> Answer | None:
        """Returns the refusal of an operation, or ``None`` to ask the owner."""
        if state.account == NO_ACCOUNT:
            return None
        now = self.context.now()
        left_s = self.until.get((state.account, route.service), now) - now
        if left_s <= 0.0:
            return None
        retry_ms = max(round(1000 * left_s), 1)
        self.context.metrics.limit_refusals.record(state.account)
        self.context.log.record(
            EventName.statement_refused,
            now,
            request_id=statement.request_id,
            database=state.database,
            account=state.account,
            reason="rate limit, refused by the owner before",
            retry_ms=retry_ms,
            table_version=self.context.board.view.table.version,
        )
        return limit_answer(retry_ms)

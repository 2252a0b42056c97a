"""Admits operations within the rate limits of their client accounts.

An operation is a statement outside a transaction, or a whole transaction. It is
admitted by the process that connects to the targets, before it waits for one.
"""

from ...accounts.limiter import RETRY_NO_SHARE_S, LimitRefusal
from ...directory.records import NO_ACCOUNT
from ...observe.events import EventName
from ..context import SessionContext, SessionState
from ..queueing.waiting import refusal_text
from ..statements import Answer, ErrorCode, Statement, error_answer


class Admission:
    """An admitted operation.

    :ivar account: the account whose limit it counts for, or :data:`NO_ACCOUNT`.
    :ivar admitted_at: in seconds of the clock.
    """

    __slots__ = ("context", "account", "admitted_at")

    def __init__(self, context: SessionContext, account: str, admitted_at: float):
        self.context = context
        self.account = account
        self.admitted_at = admitted_at

    def end(self, has_reached_target: bool) -> None:
        """Records whether the operation has reached a target."""
        if self.account == NO_ACCOUNT:
            return
        limiter = self.context.board.account_limiter
        if has_reached_target:
            limiter.end(self.account, self.admitted_at, self.context.now())
        else:
            limiter.put_back(self.account, self.admitted_at)


def admit(
    context: SessionContext, state: SessionState, statement: Statement
) -> Admission | Answer:
    """Admits an operation, or returns the refusal that answers it.

    :param statement: the first statement of the operation.
    """
    board = context.board
    now = context.now()
    if state.account == NO_ACCOUNT:
        return Admission(context, NO_ACCOUNT, now)
    policy = board.view.table.accounts.get(state.account)
    if policy is None:
        # The account is known to the proxy that sent the statement, which holds a newer
        # or an older table.
        refusal = LimitRefusal(RETRY_NO_SHARE_S, 0.0, 0)
        return _refuse(context, state, statement, refusal, "unknown account")
    if policy.rate_per_s is None:
        return Admission(context, NO_ACCOUNT, now)
    refusal = board.account_limiter.take(policy, now)
    if board.account_limiter.is_report_due:
        board.changed.notify()
    if refusal is None:
        return Admission(context, policy.name, now)
    return _refuse(context, state, statement, refusal, "rate limit")


def limit_answer(retry_ms: int, reason: str = "rate limit") -> Answer:
    """Returns the answer to an operation that its account's limit does not admit."""
    text = refusal_text(f"not admitted: {reason}", retry_ms)
    answer = error_answer(ErrorCode.overloaded, text)
    answer.account_retry_ms = retry_ms
    return answer


def _refuse(
    context: SessionContext,
    state: SessionState,
    statement: Statement,
    refusal: LimitRefusal,
    reason: str,
) -> Answer:
    retry_ms = max(round(1000 * refusal.retry_s), 1)
    context.metrics.limit_refusals.record(state.account)
    context.log.record(
        EventName.statement_refused,
        context.now(),
        request_id=statement.request_id,
        database=state.database,
        account=state.account,
        reason=reason,
        retry_ms=retry_ms,
        share=round(refusal.share, 1),
        used=refusal.used,
        table_version=context.board.view.table.version,
    )
    return limit_answer(retry_ms, reason)

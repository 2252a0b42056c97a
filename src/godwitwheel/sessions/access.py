"""Decides for which client account a session's statement runs, if it may run."""

from ..directory.records import NO_ACCOUNT, Route
from ..observe.events import EventName
from .context import SessionContext, SessionState
from .queueing.waiting import refusal_text
from .statements import Answer, ErrorCode, Statement, error_answer

# Retry delay for callers whose proxy can't rely on its keys, in milliseconds; by then
# the balancer may have led them to another proxy.
RETRY_NO_KEY_LEASE_MS = 500


def authorize(
    context: SessionContext, state: SessionState, route: Route, now: float
) -> Answer | None:
    """Resolves the session's key for a statement and records its account.

    The key is resolved for each statement, since the configuration may withdraw it or
    give it to another account while the session is open.

    :returns: ``None`` if the statement may run, else the refusal; nothing has run.
    """
    if route.public:
        state.account = NO_ACCOUNT
        return None
    board = context.board
    if not board.key_authority.may_serve(now):
        text = refusal_text("the keys are not confirmed", RETRY_NO_KEY_LEASE_MS)
        return error_answer(ErrorCode.overloaded, text)
    account = board.key_ring().account_of(state.key_digest)
    if account is None:
        return error_answer(ErrorCode.unauthorized, "unknown key")
    state.account = account
    return None


def authorize_in_transaction(
    context: SessionContext, state: SessionState, route: Route, now: float
) -> Answer | None:
    """Resolves the session's key for a statement of an open transaction.

    :returns: ``None`` if the statement may run, else the refusal; the transaction must
        then be rolled back.
    """
    account = state.account
    refusal = authorize(context, state, route, now)
    if refusal is None and state.account != account:
        state.account = account
        text = "the key names another account now; nothing is kept"
        return error_answer(ErrorCode.aborted, text)
    if refusal is not None and refusal.error is ErrorCode.overloaded:
        return error_answer(ErrorCode.aborted, refusal.detail)
    return refusal


def record_refusal(
    context: SessionContext, state: SessionState, statement: Statement, answer: Answer
) -> None:
    """Logs a statement that was refused for its key."""
    board = context.board
    context.metrics.statements.inc(
        {"kind": statement.kind.value, "outcome": answer.error.value}
    )
    context.log.record(
        EventName.statement_refused,
        context.now(),
        request_id=statement.request_id,
        database=state.database,
        key=state.key_digest,
        reason=answer.detail,
        table_version=board.view.table.version,
    )

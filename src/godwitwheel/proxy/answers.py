"""Builds the answers to callers."""

import msgspec

from ..blackboard import Blackboard
from ..decisions.routing import RouteProblem
from ..decisions.sessions import Session, encode_token
from ..wire.caller import CallerAnswer, Outcome, Reason, StatementResult
from ..wire.target import StatementReply

DEFAULT_RETRY_AFTER_S = 0.2

CALLER_ERROR_STATUSES = {
    Reason.bad_request: 400,
    Reason.bad_session: 400,
    Reason.key_required: 400,
    Reason.unknown_service: 404,
    Reason.unknown_request: 404,
    Reason.key_reused: 409,
    Reason.key_expired: 410,
    Reason.statement_failed: 422,
}

ROUTE_REASONS = {
    RouteProblem.unknown_group: Reason.no_primary,
    RouteProblem.no_lease: Reason.no_lease,
    RouteProblem.no_primary: Reason.no_primary,
    RouteProblem.no_fresh_replica: Reason.no_fresh_replica,
}


def http_status(answer: CallerAnswer) -> int:
    """Returns the HTTP status of an answer."""
    if answer.outcome is Outcome.done:
        return 200
    if answer.outcome is Outcome.unknown:
        return 504
    return CALLER_ERROR_STATUSES.get(answer.reason, 503)


def not_run(
    reason: Reason, message: str = "", retry_after_s: float = DEFAULT_RETRY_AFTER_S
) -> CallerAnswer:
    """Returns an answer for a request that was not run and never will be."""
    retry_after_ms = (
        0 if reason in CALLER_ERROR_STATUSES else max(1, round(retry_after_s * 1000))
    )
    return CallerAnswer(
        Outcome.not_run,
        reason=reason,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def unknown(
    reason: Reason, message: str = "", retry_after_s: float = 0.0
) -> CallerAnswer:
    """Returns an answer for a request that may or may not have run."""
    return CallerAnswer(
        Outcome.unknown,
        reason=reason,
        message=message,
        retry_after_ms=round(retry_after_s * 1000),
    )


def done(
    replies: list[StatementReply], served_by: str, from_replica: bool
) -> CallerAnswer:
    """Returns an answer with the results of all statements."""
    return CallerAnswer(
        Outcome.done,
        results=[statement_result(reply) for reply in replies],
        served_by=served_by,
        from_replica=from_replica,
    )


def statement_result(reply: StatementReply) -> StatementResult:
    """Converts a target's reply into the result that the caller receives."""
    return StatementResult(reply.columns, reply.rows, reply.row_count)


def with_session(
    answer: CallerAnswer, session: Session, blackboard: Blackboard
) -> CallerAnswer:
    """Adds the token that the caller sends to any proxy with its next request."""
    token = encode_token(session, blackboard.view.token_key)
    return msgspec.structs.replace(answer, session=token)

"""Records the outcome of a statement in metrics and the log."""

from ...directory.records import Route, TargetEntry
from ...internal.sentinel import Refusal
from ...observe.events import EventName
from ..context import SessionContext, SessionState
from ..queueing.waiting import Deadlines
from ..statements import Answer, Statement


class Attempts:
    """The attempts made for a statement.

    :ivar target_id: target of the last attempt, or empty.
    :ivar count: attempts made so far.
    :ivar reason: why the last attempt failed.
    :ivar has_reached_target: whether anything may have been sent to a target.
    """

    __slots__ = ("target_id", "count", "reason", "has_reached_target")

    def __init__(self):
        self.target_id = ""
        self.count = 0
        self.reason = ""
        self.has_reached_target = False

    def record_no_connection(self, target: TargetEntry, refusal: Refusal) -> None:
        """Records why an attempt got no connection to its target."""
        self.reason = (
            f"no connection to {target.target_id}: "
            f"{refusal.reason.value}, {refusal.detail}"
        )


def record_outcome(
    context: SessionContext,
    state: SessionState,
    route: Route,
    statement: Statement,
    answer: Answer,
    attempts: Attempts,
    deadlines: Deadlines,
    in_transaction: bool,
) -> None:
    """Records a statement's answer and how it came about."""
    now = context.now()
    held_s = now - deadlines.started_at
    is_done = answer.error is None
    outcome = "done" if is_done else answer.error.value
    labels = {"kind": statement.kind.value, "outcome": outcome}
    context.metrics.statements.inc(labels)
    if is_done:
        context.metrics.latency.observe({}, held_s)
    context.log.record(
        EventName.statement_done if is_done else EventName.statement_failed,
        now,
        routine=is_done,
        request_id=statement.request_id,
        kind=statement.kind.value,
        in_transaction=in_transaction,
        database=state.database,
        consistency=route.consistency.value,
        target_id=attempts.target_id,
        attempts=attempts.count,
        outcome=outcome,
        reason="" if is_done else attempts.reason,
        held_ms=round(1000 * held_s),
        view_version=context.board.view.version,
    )

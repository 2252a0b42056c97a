"""Records exchanges for the detection of outliers, and logs its decisions."""

from ...decisions.exchanges import Exchange, Outcome
from ...decisions.outlier_evidence import Ejection
from ...directory.records import Route, TargetEntry
from ...observe.events import EventName
from ...observe.metrics import label_value
from ...wire.service import Access
from ..connections.connection import Command, Run
from ..context import SessionContext
from ..errors import ConnectionLost
from ..queueing.choosing import OTHER_DATA_CENTRE_PENALTY_S
from ..statements import Answer, ErrorCode

# An exchange that was given less time than this may time out at a healthy target. In
# seconds.
MIN_TIMEOUT_S = 0.05
# What an error of a target says about its health; all others say nothing, such as
# those of a replica that lags or of a statement that is wrong.
OUTCOMES = {
    ErrorCode.failed: Outcome.failed,
    ErrorCode.overloaded: Outcome.busy,
    ErrorCode.timed_out: Outcome.timed_out,
}


def kind_of(route: Route, access: Access) -> str:
    """Returns the kind of a statement, within which durations are compared."""
    return f"{route.database}, {access.value}"


def outcome_of(commands: list[Command], answers: list[Answer]) -> Outcome | None:
    """Returns what the answers to an exchange say about the target's health.

    Only a statement that ran shows that a target serves statements; it may answer
    everything else at once and still fail them.
    """
    for command, answer in zip(commands, answers, strict=True):
        if answer.error is not None:
            return OUTCOMES.get(answer.error)
        if isinstance(command, Run):
            return Outcome.answered
    return None


def outcome_of_loss(error: ConnectionLost, timeout_s: float) -> Outcome | None:
    """Returns what a lost connection says about the target's health."""
    if not error.timed_out:
        return Outcome.lost
    return Outcome.timed_out if timeout_s >= MIN_TIMEOUT_S else None


def begin_exchange(
    context: SessionContext, target: TargetEntry, kind: str
) -> Exchange | None:
    """Records that an exchange with a target begins.

    :param kind: kind of the statement; empty for a probe, which is not recorded.
    """
    if not kind:
        return None
    board = context.board
    is_near = target.data_centre == board.data_centre
    travel_s = 0.0 if is_near else OTHER_DATA_CENTRE_PENALTY_S
    return board.outliers(target.service).begin(
        target.target_id, kind, target.slots, travel_s, context.now()
    )


def end_exchange(
    context: SessionContext,
    target: TargetEntry,
    exchange: Exchange | None,
    outcome: Outcome | None,
) -> None:
    """Records how an exchange ended, and ejects or restores the target if due.

    :param outcome: ``None`` if it says nothing about the target's health.
    """
    if exchange is None:
        return
    board, now = context.board, context.now()
    members = board.members_of(target.service)
    decision = board.outliers(target.service).end(exchange, outcome, members, now)
    if decision is None:
        return
    is_primary = members.primary_id == target.target_id
    labels = {"target": label_value(target.target_id)}
    if isinstance(decision, Ejection):
        context.metrics.ejections.inc({**labels, "reason": decision.reason.value})
        context.log.record(
            EventName.target_ejected,
            now,
            service=target.service,
            target_id=target.target_id,
            is_primary=is_primary,
            reason=decision.reason.value,
            samples=decision.samples,
            failure_rate=round(decision.failure_rate, 2),
            others_failure_rate=round(decision.others_failure_rate, 2),
            slowdown=round(decision.slowdown, 1),
            ejected_ms=round(1000 * decision.ejected_s),
        )
        return
    # The average from before the ejection would keep reads away from the target. Reads
    # correct an average that is too low, but avoid a target whose average is too high.
    board.status(target.target_id).latency_s = decision.latency_s
    context.metrics.restorations.inc(labels)
    context.log.record(
        EventName.target_restored,
        now,
        service=target.service,
        target_id=target.target_id,
        is_primary=is_primary,
        out_ms=round(1000 * decision.out_s),
        latency_ms=round(1000 * decision.latency_s, 1),
    )

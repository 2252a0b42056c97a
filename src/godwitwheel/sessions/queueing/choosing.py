"""Chooses the target at which a statement runs."""

import enum

from ...directory.records import NO_ACCOUNT, TargetEntry
from ...internal.sentinel import Refusal
from ..board import SessionBoard
from ..observed import ObservedTarget
from ..statements import Position

# Added to the expected time of a read at a target in another data centre, in seconds.
OTHER_DATA_CENTRE_PENALTY_S = 0.004
# Added to the expected time of a read at a target without an idle connection of the
# read's account, in seconds: opening one occupies a slot there for 12 ms.
OPENING_COST_S = 0.02
# Assumed latency of a target without measurements, in seconds.
DEFAULT_LATENCY_S = 0.01
# Weight of a new sample in the exponential moving average of a target's latency.
LATENCY_WEIGHT = 0.1
# Statements in flight that are added to the primary's when a read compares targets,
# because only the primary can run writes.
PRIMARY_EXTRA_STATEMENTS = 1
# How long a target's last reported position is taken as current, in seconds.
LAG_MAX_AGE_S = 0.1
# Backoff of a failing target, in seconds: the first delay, which doubles with each
# further failure, and the longest.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class NoTarget(enum.Enum):
    """Why no target could be chosen."""

    no_primary = "no_primary"
    none_reachable = "none_reachable"


def choose_primary(
    board: SessionBoard, service: str, now: float
) -> TargetEntry | Refusal:
    """Returns the target that this proxy takes for the primary."""
    target_id = board.known_primary(service).target_id
    target = board.view.targets.get(target_id)
    if target is None:
        return Refusal(NoTarget.no_primary, "control names none")
    if board.is_past_leaving_grace(target, now):
        age_s = board.leaving.age_s(target, now)
        since = "unknown" if age_s is None else f"{age_s:.1f} s ago"
        detail = f"{target_id} leaves, announced: {since}"
        return Refusal(NoTarget.no_primary, detail)
    if not board.authority.may_use(service, target_id, now):
        return Refusal(NoTarget.no_primary, f"no lease on {target_id}")
    status = board.status(target_id)
    if now < status.retry_at:
        return Refusal(NoTarget.no_primary, f"{target_id} does not answer")
    return target


def choose_reader(
    board: SessionBoard,
    service: str,
    account: str,
    excluded: set[str],
    floor: Position,
    now: float,
) -> TargetEntry | Refusal:
    """Returns the target that is expected to answer a read soonest.

    :param account: client account of the read, or ``NO_ACCOUNT``.
    :param excluded: targets that this read has already failed at.
    :param floor: minimum position that the target's log must have reached.
    """
    candidates = [
        target
        for target in board.targets_of(service)
        if target.target_id not in excluded
        and not target.leaving
        and now >= board.status(target.target_id).retry_at
        and not is_behind(board.status(target.target_id), floor, now)
    ]
    if not candidates:
        return Refusal(NoTarget.none_reachable, f"tried {sorted(excluded)}")
    candidates = without_ejected(board, service, candidates, excluded, now)
    return min(candidates, key=lambda target: expected_wait_s(board, target, account))


def without_ejected(
    board: SessionBoard,
    service: str,
    candidates: list[TargetEntry],
    excluded: set[str],
    now: float,
) -> list[TargetEntry]:
    """Returns the candidates that are not ejected, or one that is on trial.

    A read that has already failed elsewhere runs at no target on trial.
    """
    detector = board.outliers(service)
    if not detector.has_ejected():
        return candidates
    admitted = detector.admitted(
        [target.target_id for target in candidates],
        board.members_of(service),
        may_try=not excluded,
        now=now,
    )
    return [target for target in candidates if target.target_id in admitted]


def is_behind(status: ObservedTarget, floor: Position, now: float) -> bool:
    """Whether a target's last reported position is recent and below ``floor``."""
    if status.position is None or now - status.position_at > LAG_MAX_AGE_S:
        return False
    return status.position < floor


def needs_opening(board: SessionBoard, target: TargetEntry, account: str) -> bool:
    """Whether an account has no idle connection to a target.

    Statements without an account don't count as such, so that they are spread over the
    targets as in a deployment without accounts.
    """
    if account == NO_ACCOUNT:
        return False
    pool = board.pools.get(target.target_id)
    return pool is None or not pool.has_idle(account)


def expected_wait_s(board: SessionBoard, target: TargetEntry, account: str) -> float:
    """Returns the expected time of a read at a target, in seconds."""
    status = board.status(target.target_id)
    latency_s = status.latency_s or DEFAULT_LATENCY_S
    waiting = status.in_flight
    if board.known_primary(target.service).target_id == target.target_id:
        waiting += PRIMARY_EXTRA_STATEMENTS
    wait_s = latency_s * (1 + waiting / max(target.slots, 1))
    if target.data_centre != board.data_centre:
        wait_s += OTHER_DATA_CENTRE_PENALTY_S
    if needs_opening(board, target, account):
        wait_s += OPENING_COST_S
    return wait_s


def record_answered(status: ObservedTarget, latency_s: float) -> None:
    """Records that a target answered, and resets its backoff."""
    status.failing_since = None
    status.failures = 0
    status.retry_at = 0.0
    if status.latency_s == 0.0:
        status.latency_s = latency_s
    status.latency_s += LATENCY_WEIGHT * (latency_s - status.latency_s)


def record_unanswered(status: ObservedTarget, now: float) -> bool:
    """Records that a target couldn't be reached or didn't answer, and backs off.

    :returns: whether it is the first failure since the target's last answer.
    """
    is_first = status.failing_since is None
    if is_first:
        status.failing_since = now
    backoff_s = min(FIRST_BACKOFF_S * 2**status.failures, MAX_BACKOFF_S)
    status.failures = min(status.failures + 1, 16)
    status.retry_at = now + backoff_s
    return is_first

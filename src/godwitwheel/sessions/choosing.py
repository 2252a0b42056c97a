"""Decides at which target a statement runs."""

import enum

from ..directory.records import TargetEntry
from ..internal.sentinel import Refusal
from .board import SessionBoard, TargetStatus
from .statements import Position

# Added to a target's expected wait for each hop to another data centre, in seconds.
OTHER_DATA_CENTRE_S = 0.004
# Assumed time of a statement where none has been measured, in seconds.
DEFAULT_LATENCY_S = 0.01
# Share of a new measurement in the moving average of a target's latency.
LATENCY_WEIGHT = 0.1
# The primary alone can take writes, so a read waits there as if it were this much
# busier, in statements.
PRIMARY_HANDICAP = 1
# For so long a target that was behind a position is taken for behind it still.
LAG_KNOWN_S = 0.1
# First pause after a failure; it doubles with each further one, up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


class NoTarget(enum.Enum):
    """Why there is no target."""

    no_primary = "no_primary"
    none_reachable = "none_reachable"


def choose_primary(
    board: SessionBoard, service: str, now: float
) -> TargetEntry | Refusal:
    """Returns the target that is taken for the primary."""
    target_id = board.belief(service).target_id
    target = board.view.targets.get(target_id)
    if target is None:
        return Refusal(NoTarget.no_primary, "control names none")
    if board.has_left(target_id, now):
        return Refusal(NoTarget.no_primary, f"{target_id} leaves")
    status = board.status(target_id)
    if now < status.retry_at:
        return Refusal(NoTarget.no_primary, f"{target_id} does not answer")
    return target


def choose_reader(
    board: SessionBoard,
    service: str,
    excluded: set[str],
    floor: Position,
    now: float,
) -> TargetEntry | Refusal:
    """Returns the target that is expected to answer a read soonest.

    :param excluded: targets that refused this read already.
    :param floor: position that the target's log must hold.
    """
    candidates = [
        target
        for target in board.targets_of(service)
        if target.target_id not in excluded
        and not target.leaving
        and now >= board.status(target.target_id).retry_at
        and not lags(board.status(target.target_id), floor, now)
    ]
    if not candidates:
        return Refusal(NoTarget.none_reachable, f"tried {sorted(excluded)}")
    return min(candidates, key=lambda target: expected_wait_s(board, target))


def lags(status: TargetStatus, floor: Position, now: float) -> bool:
    """Whether a target was behind a position a moment ago."""
    if status.position is None or now - status.position_at > LAG_KNOWN_S:
        return False
    return status.position < floor


def expected_wait_s(board: SessionBoard, target: TargetEntry) -> float:
    """Returns how long a read would take at a target, in seconds."""
    status = board.status(target.target_id)
    latency_s = status.latency_s or DEFAULT_LATENCY_S
    waiting = status.in_flight
    if board.belief(target.service).target_id == target.target_id:
        waiting += PRIMARY_HANDICAP
    wait_s = latency_s * (1 + waiting / max(target.slots, 1))
    if target.data_centre != board.data_centre:
        wait_s += OTHER_DATA_CENTRE_S
    return wait_s


def note_answered(status: TargetStatus, latency_s: float) -> None:
    """Takes in that a target answered."""
    status.failing_since = None
    status.failures = 0
    status.retry_at = 0.0
    if status.latency_s == 0.0:
        status.latency_s = latency_s
    status.latency_s += LATENCY_WEIGHT * (latency_s - status.latency_s)


def note_unanswered(status: TargetStatus, now: float) -> bool:
    """Takes in that a target could not be reached or stayed silent.

    :returns: whether it answered before.
    """
    is_first = status.failing_since is None
    if is_first:
        status.failing_since = now
    pause_s = min(FIRST_PAUSE_S * 2**status.failures, LONGEST_PAUSE_S)
    status.failures = min(status.failures + 1, 16)
    status.retry_at = now + pause_s
    return is_first

"""Decides when a write may be acknowledged to its caller."""

import enum

from ..blackboard import Lease
from ..wire.control import GroupPhase, GroupView
from .sessions import LogPosition


class AckDecision(enum.Enum):
    """Whether a write that the primary has executed may be acknowledged.

    ``wait``: not every member of the acknowledgement set holds it yet.
    ``lease_lost``, ``primary_replaced``: this proxy may not acknowledge it any more.
    """

    acknowledge = "acknowledge"
    wait = "wait"
    lease_lost = "lease_lost"
    primary_replaced = "primary_replaced"


class AnsweredWrite:
    """A write that the primary has executed and replied to.

    :ivar dispatched_term: term of the view under which it was dispatched.
    :ivar written: log position that the primary reported for it.
    """

    __slots__ = ("target_id", "dispatched_term", "written")

    def __init__(self, target_id: str, dispatched_term: int, written: LogPosition):
        self.target_id = target_id
        self.dispatched_term = dispatched_term
        self.written = written


def check_acknowledgement(
    write: AnsweredWrite,
    view: GroupView,
    lease: Lease,
    positions: dict[str, LogPosition],
    now: float,
) -> AckDecision:
    """Decides whether a write may be acknowledged at ``now``.

    :param view: the group's current view, not the one at dispatch.
    :param positions: last reported log position of each target.
    """
    lost_authority = authority_loss(write.dispatched_term, view, lease, now)
    if lost_authority is not None:
        return lost_authority
    if write.written.term != write.dispatched_term:
        return AckDecision.primary_replaced
    if missing_holders(write, view, positions):
        return AckDecision.wait
    return AckDecision.acknowledge


def authority_loss(
    dispatched_term: int, view: GroupView, lease: Lease, now: float
) -> AckDecision | None:
    """Checks that this proxy may still acknowledge writes of ``dispatched_term``.

    :returns: ``None`` if it may, otherwise the reason why not.
    """
    if view.term != dispatched_term or view.phase is not GroupPhase.serving:
        return AckDecision.primary_replaced
    if not lease.is_valid(now):
        return AckDecision.lease_lost
    return None


def missing_holders(
    write: AnsweredWrite, view: GroupView, positions: dict[str, LogPosition]
) -> list[str]:
    """Returns the members of the acknowledgement set not yet known to hold it."""
    return [
        target_id
        for target_id in view.ack_set
        if target_id != write.target_id
        and not _holds(positions.get(target_id), write.written)
    ]


def _holds(seen: LogPosition | None, written: LogPosition) -> bool:
    # Positions are comparable only within one term; each term has its own history.
    if seen is None or seen.term != written.term:
        return False
    return seen.position >= written.position

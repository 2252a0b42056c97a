"""What the leader knows of one group, besides the replicated state."""

from collections import deque

from ..control.commands import Floor
from ..wire.control import GroupPhase, GroupView, TargetRecord
from ..wire.target import TargetStatus
from .actions import Ask, QueryStatus
from .leases import LeaseTable
from .observations import Observations

MAX_PRIMARY_SAMPLES = 512
QUERY_SPACING_S = 0.1


class GroupFacts:
    """One look at all that decides about a group.

    :ivar view: the committed view; ``None`` before the first.
    :ivar changed_at: log index of the view's latest change.
    :ivar floors: committed positions of targets, by target.
    :ivar records: the group's targets.
    """

    __slots__ = (
        "group",
        "view",
        "changed_at",
        "floors",
        "records",
        "leases",
        "observations",
    )

    def __init__(
        self,
        group: str,
        view: GroupView | None,
        changed_at: int,
        floors: dict[str, Floor],
        records: dict[str, TargetRecord],
        leases: LeaseTable,
        observations: Observations,
    ):
        self.group = group
        self.view = view
        self.changed_at = changed_at
        self.floors = floors
        self.records = records
        self.leases = leases
        self.observations = observations

    def all_act_on_view(self, now: float) -> bool:
        """Whether no proxy may act on an older view of this group."""
        return self.leases.all_act_on(self.changed_at, now)


class DirectStatus:
    """A target's reply to the leader itself.

    :ivar asked_at: when the question was sent, in seconds of the clock.
    :ivar lost_log: whether it had less than was known of it before the question.
    """

    __slots__ = ("status", "asked_at", "lost_log")

    def __init__(self, status: TargetStatus, asked_at: float, lost_log: bool):
        self.status = status
        self.asked_at = asked_at
        self.lost_log = lost_log


class PrimarySample:
    """The primary had at least ``position`` at ``sampled_at``."""

    __slots__ = ("sampled_at", "position")

    def __init__(self, sampled_at: float, position: int):
        self.sampled_at = sampled_at
        self.position = position


class GroupMemory:
    """What one leader learnt of a group since it began to lead.

    :ivar changed_at: the change that the times below belong to.
    :ivar changed_time: when that change was first seen, in seconds of the clock.
    :ivar all_acted_time: when it was first seen that no proxy may act on an older
        view; ``None`` before.
    :ivar direct: latest reply of each target to the leader itself.
    :ivar floors: highest position known of each target.
    :ivar samples: positions of the primary of the present term.
    :ivar last_asked: when each order or question was last sent, by kind and target.
    """

    __slots__ = (
        "changed_at",
        "changed_time",
        "all_acted_time",
        "direct",
        "floors",
        "samples",
        "samples_term",
        "last_asked",
        "back_off_until",
    )

    def __init__(self):
        self.changed_at = -1
        self.changed_time = 0.0
        self.all_acted_time: float | None = None
        self.direct: dict[str, DirectStatus] = {}
        self.floors: dict[str, Floor] = {}
        self.samples: deque[PrimarySample] = deque(maxlen=MAX_PRIMARY_SAMPLES)
        self.samples_term = 0
        self.last_asked: dict[tuple[str, str], float] = {}
        self.back_off_until: dict[str, float] = {}

    def update(self, facts: GroupFacts, now: float) -> None:
        """Takes in what changed since the last look."""
        if facts.changed_at != self.changed_at:
            self.changed_at = facts.changed_at
            self.changed_time = now
            self.all_acted_time = None
        if self.all_acted_time is None and facts.all_act_on_view(now):
            self.all_acted_time = now
        for target_id, floor in facts.floors.items():
            self._raise_floor(target_id, floor, facts.view)
        for target_id in facts.records:
            sighting = facts.observations.latest(target_id)
            if sighting is not None:
                self._raise_floor(target_id, floor_of(sighting.status), facts.view)
        self._sample_primary(facts)

    def may_ask(self, kind: str, target_id: str, now: float, spacing_s: float) -> bool:
        """Whether to send this question or order now, not too soon after the last."""
        last = self.last_asked.get((kind, target_id))
        if last is not None and now < last + spacing_s:
            return False
        self.last_asked[kind, target_id] = now
        return True

    def query(self, target_ids: list[str], now: float) -> list[QueryStatus]:
        """Asks targets for their status, each not too soon after the last time."""
        return [
            QueryStatus(target_id, now, self.floors.get(target_id))
            for target_id in target_ids
            if self.may_ask("status", target_id, now, QUERY_SPACING_S)
        ]

    def note_reply(
        self, ask: Ask, status: TargetStatus, view: GroupView | None
    ) -> None:
        """Takes in a target's reply to a question or an order."""
        known = self.direct.get(ask.target_id)
        if known is not None and known.asked_at > ask.asked_at:
            return
        lost_log = ask.floor is not None and is_below(status, ask.floor, view)
        self.direct[ask.target_id] = DirectStatus(status, ask.asked_at, lost_log)
        self._raise_floor(ask.target_id, floor_of(status), view)

    def direct_since(self, target_id: str, asked_at: float) -> DirectStatus | None:
        """Returns a reply to a question sent at ``asked_at`` or later."""
        direct = self.direct.get(target_id)
        if direct is None or direct.asked_at < asked_at:
            return None
        return direct

    def may_have_lost_log(self, status: TargetStatus, view: GroupView | None) -> bool:
        """Whether a reported status, perhaps an old one, is below what is known."""
        floor = self.floors.get(status.target_id)
        return floor is not None and is_below(status, floor, view)

    def lag_s(self, target_id: str, facts: GroupFacts) -> float:
        """Returns how old the primary's newest position is that a replica holds.

        Time counts only as far as the primary was seen: a replica of a silent
        primary does not fall behind.

        :returns: seconds; since the view's last change for a replica that has not
            followed its term yet, 0 if nothing is known.
        """
        sighting = facts.observations.latest(target_id)
        if sighting is None or not self.samples:
            return 0.0
        newest = self.samples[-1]
        if sighting.status.term != facts.view.term:
            return max(newest.sampled_at - self.changed_time, 0.0)
        if sighting.status.position >= newest.position:
            return 0.0
        seen_until = min(sighting.sampled_at, newest.sampled_at)
        for sample in reversed(self.samples):
            if sample.position <= sighting.status.position:
                return max(seen_until - sample.sampled_at, 0.0)
        return max(seen_until - self.samples[0].sampled_at, 0.0)

    def floors_of(self, view: GroupView) -> dict[str, Floor]:
        """Returns what is known of the members of ``ack_set``, to be committed."""
        return {
            target_id: self.floors[target_id]
            for target_id in view.ack_set
            if target_id in self.floors
        }

    def forget_log(self, target_id: str) -> None:
        """Drops what is known of a target's log."""
        self.floors.pop(target_id, None)
        self.direct.pop(target_id, None)

    def _sample_primary(self, facts: GroupFacts) -> None:
        view = facts.view
        if view is None or view.phase is not GroupPhase.serving:
            return
        if view.term != self.samples_term:
            self.samples_term = view.term
            self.samples.clear()
        sighting = facts.observations.latest(view.primary)
        if sighting is None or sighting.status.term != view.term:
            return
        newest = self.samples[-1].sampled_at if self.samples else float("-inf")
        if sighting.sampled_at > newest:
            position = sighting.status.position
            self.samples.append(PrimarySample(sighting.sampled_at, position))

    def _raise_floor(
        self, target_id: str, floor: Floor, view: GroupView | None
    ) -> None:
        known = self.floors.get(target_id)
        if known is None or not is_below(floor, known, view):
            self.floors[target_id] = floor


def floor_of(status: TargetStatus) -> Floor:
    """Returns the position that a status proves."""
    return Floor(status.term, status.position)


def carry_position(floor: Floor, term: int, view: GroupView | None) -> int:
    """Returns what of a floor a log of the later ``term`` must still contain.

    A target that follows a new primary drops what lies past that primary's start.
    """
    if view is None:
        return floor.position
    starts = {**view.previous, view.term: view.term_start}
    later = [start for other, start in starts.items() if floor.term < other <= term]
    return min([floor.position, *later])


def is_below(
    status: TargetStatus | Floor, floor: Floor, view: GroupView | None
) -> bool:
    """Whether a log lacks entries that ``floor`` says it once held."""
    if status.term < floor.term:
        return True
    return status.position < carry_position(floor, status.term, view)

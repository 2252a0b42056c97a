"""The leader's state of one group, besides the replicated state."""

from collections import deque

from ..control.commands import Floor
from ..wire.control import GroupPhase, GroupView, TargetRecord
from ..wire.target import TargetStatus
from .actions import QueryStatus, TargetRequest
from .leases import LeaseTable
from .observations import Observations

MAX_PRIMARY_SAMPLES = 512
QUERY_INTERVAL_S = 0.1


class GroupFacts:
    """The inputs of one evaluation of a group's controllers.

    :ivar view: the committed view; ``None`` before the first.
    :ivar changed_at: log index of the view's latest change.
    :ivar floors: positions that targets' logs are known to contain, as committed, by
        target.
    :ivar records: records of the group's targets, by target.
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

    def all_proxies_use_view(self, now: float) -> bool:
        """Whether no proxy may still use an older view of this group."""
        return self.leases.all_proxies_use(self.changed_at, now)


class DirectStatus:
    """A target's reply to a request of the leader itself, not relayed by a proxy.

    :ivar sent_at: when the request was sent, in seconds of the clock.
    :ivar lost_log: whether the target had fewer log entries than it was known to have
        before the request.
    """

    __slots__ = ("status", "sent_at", "lost_log")

    def __init__(self, status: TargetStatus, sent_at: float, lost_log: bool):
        self.status = status
        self.sent_at = sent_at
        self.lost_log = lost_log


class PrimarySample:
    """The primary had at least ``position`` at ``sampled_at``.

    :ivar sampled_at: when the status was taken, in seconds of the leader's clock.
    """

    __slots__ = ("sampled_at", "position")

    def __init__(self, sampled_at: float, position: int):
        self.sampled_at = sampled_at
        self.position = position


class GroupTracker:
    """What one leader has observed of a group since it became leader.

    :ivar changed_at: log index of the view change that the next two times refer to.
    :ivar change_seen_at: when that change was first seen, in seconds of the clock.
    :ivar adopted_at: when it was first seen that no proxy may still use an older
        view, in seconds of the clock; ``None`` before.
    :ivar direct: latest reply of each target to the leader itself.
    :ivar floors: highest position that each target's log is known to contain.
    :ivar samples: observed positions of the primary in ``samples_term``, oldest first.
    :ivar last_sent: when each kind of request was last sent to each target.
    :ivar back_off_until: until when each target may not join the acknowledgement set.
    """

    __slots__ = (
        "changed_at",
        "change_seen_at",
        "adopted_at",
        "direct",
        "floors",
        "samples",
        "samples_term",
        "last_sent",
        "back_off_until",
    )

    def __init__(self):
        self.changed_at = -1
        self.change_seen_at = 0.0
        self.adopted_at: float | None = None
        self.direct: dict[str, DirectStatus] = {}
        self.floors: dict[str, Floor] = {}
        self.samples: deque[PrimarySample] = deque(maxlen=MAX_PRIMARY_SAMPLES)
        self.samples_term = 0
        self.last_sent: dict[tuple[str, str], float] = {}
        self.back_off_until: dict[str, float] = {}

    def update(self, facts: GroupFacts, now: float) -> None:
        """Records what has changed since the last evaluation."""
        if facts.changed_at != self.changed_at:
            self.changed_at = facts.changed_at
            self.change_seen_at = now
            self.adopted_at = None
        if self.adopted_at is None and facts.all_proxies_use_view(now):
            self.adopted_at = now
        for target_id, floor in facts.floors.items():
            self._raise_floor(target_id, floor, facts.view)
        for target_id in facts.records:
            observation = facts.observations.latest(target_id)
            if observation is not None:
                self._raise_floor(target_id, floor_of(observation.status), facts.view)
        self._sample_primary(facts)

    def start_request(
        self, kind: str, target_id: str, now: float, interval_s: float
    ) -> bool:
        """Whether a request is due, ``interval_s`` after the last of its kind.

        If it is, it is recorded as sent.
        """
        last = self.last_sent.get((kind, target_id))
        if last is not None and now < last + interval_s:
            return False
        self.last_sent[kind, target_id] = now
        return True

    def query(self, target_ids: list[str], now: float) -> list[QueryStatus]:
        """Returns status queries to those targets for which one is due."""
        return [
            QueryStatus(target_id, now, self.floors.get(target_id))
            for target_id in target_ids
            if self.start_request("status", target_id, now, QUERY_INTERVAL_S)
        ]

    def record_reply(
        self, request: TargetRequest, status: TargetStatus, view: GroupView | None
    ) -> None:
        """Records a target's reply to a query or an order."""
        known = self.direct.get(request.target_id)
        if known is not None and known.sent_at > request.sent_at:
            return
        lost_log = request.floor is not None and is_below(status, request.floor, view)
        self.direct[request.target_id] = DirectStatus(status, request.sent_at, lost_log)
        self._raise_floor(request.target_id, floor_of(status), view)

    def direct_since(self, target_id: str, sent_at: float) -> DirectStatus | None:
        """Returns the latest reply if its request was sent at ``sent_at`` or later."""
        direct = self.direct.get(target_id)
        if direct is None or direct.sent_at < sent_at:
            return None
        return direct

    def may_have_lost_log(self, status: TargetStatus, view: GroupView | None) -> bool:
        """Whether a status is below the target's known position.

        The status may be an old one that was reported late, so this is not conclusive.
        """
        floor = self.floors.get(status.target_id)
        return floor is not None and is_below(status, floor, view)

    def lag_s(self, target_id: str, facts: GroupFacts) -> float:
        """Returns a replica's lag: the age of the newest primary position it holds.

        It is measured only up to the latest sample of the primary, so the lag does not
        grow while the primary is unresponsive.

        :returns: seconds; since the view's last change for a replica that does not
            follow the view's term yet; 0 if nothing is known.
        """
        observation = facts.observations.latest(target_id)
        if observation is None or not self.samples:
            return 0.0
        newest = self.samples[-1]
        if observation.status.term != facts.view.term:
            return max(newest.sampled_at - self.change_seen_at, 0.0)
        if observation.status.position >= newest.position:
            return 0.0
        seen_until = min(observation.sampled_at, newest.sampled_at)
        for sample in reversed(self.samples):
            if sample.position <= observation.status.position:
                return max(seen_until - sample.sampled_at, 0.0)
        return max(seen_until - self.samples[0].sampled_at, 0.0)

    def floors_of(self, view: GroupView) -> dict[str, Floor]:
        """Returns the floors of the members of ``ack_set``, to be committed."""
        return {
            target_id: self.floors[target_id]
            for target_id in view.ack_set
            if target_id in self.floors
        }

    def remove_log_state(self, target_id: str) -> None:
        """Removes all that is recorded of a target's log."""
        self.floors.pop(target_id, None)
        self.direct.pop(target_id, None)

    def _sample_primary(self, facts: GroupFacts) -> None:
        view = facts.view
        if view is None or view.phase is not GroupPhase.serving:
            return
        if view.term != self.samples_term:
            self.samples_term = view.term
            self.samples.clear()
        observation = facts.observations.latest(view.primary)
        if observation is None or observation.status.term != view.term:
            return
        newest = self.samples[-1].sampled_at if self.samples else float("-inf")
        if observation.sampled_at > newest:
            position = observation.status.position
            self.samples.append(PrimarySample(observation.sampled_at, position))

    def _raise_floor(
        self, target_id: str, floor: Floor, view: GroupView | None
    ) -> None:
        known = self.floors.get(target_id)
        if known is None or not is_below(floor, known, view):
            self.floors[target_id] = floor


def floor_of(status: TargetStatus) -> Floor:
    """Returns the position that a log is known to contain from a status."""
    return Floor(status.term, status.position)


def surviving_position(floor: Floor, term: int, view: GroupView | None) -> int:
    """Returns the part of ``floor`` that a log of the later ``term`` must contain.

    A target that follows a new primary truncates its log to the position at which that
    primary's term began.
    """
    if view is None:
        return floor.position
    starts = {**view.previous, view.term: view.term_start}
    later = [start for other, start in starts.items() if floor.term < other <= term]
    return min([floor.position, *later])


def is_below(
    status: TargetStatus | Floor, floor: Floor, view: GroupView | None
) -> bool:
    """Whether a log lacks entries that it once held according to ``floor``."""
    if status.term < floor.term:
        return True
    return status.position < surviving_position(floor, status.term, view)

"""Takes what targets say of themselves, by probes and by their replies."""

import msgspec

from ..blackboard import PositionSample
from ..decisions.routing import is_serving_primary
from ..decisions.sessions import LogPoint
from ..decisions.staleness import add_sample
from ..internal.loop import sleep, spawn
from ..targets.base import TargetAdmin
from ..targets.errors import TargetError
from ..wire.control import GroupView
from ..wire.target import TargetStatus
from .context import ProxyContext

PROBE_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.003
FAILED_POLL_PAUSE_S = 0.05
ROUND_TRIP_SMOOTHING = 0.2


class WantedPosition:
    """A position that writes wait for a target to reach.

    :ivar until: when the last of them gives up, in seconds of the clock.
    """

    __slots__ = ("point", "until")

    def __init__(self, point: LogPoint, until: float):
        self.point = point
        self.until = until


class PositionKeeper:
    """Probes targets and keeps their states on the blackboard.

    :ivar wanted: positions that writes wait for, by target; one task polls each.
    """

    __slots__ = ("context", "admin", "wanted")

    def __init__(self, context: ProxyContext, admin: TargetAdmin):
        self.context = context
        self.admin = admin
        self.wanted: dict[str, WantedPosition] = {}

    def probe(self, target_id: str) -> bool:
        """Asks a target for its status.

        :returns: whether it answered.
        """
        record = self.context.blackboard.view.targets.get(target_id)
        if record is None:
            return False
        sent_at = self.context.clock.now()
        try:
            status = self.admin.status(record.address, PROBE_TIMEOUT_S)
        except TargetError:
            return False
        if status.target_id != target_id or status.group != record.group:
            return False
        self.take_status(status, sent_at)
        return True

    def take_status(self, status: TargetStatus, sent_at: float) -> None:
        """Takes the answer to a probe that was sent at ``sent_at``."""
        state = self.context.blackboard.target_state(status.target_id)
        if sent_at <= state.answered_at:
            # A later probe was answered first.
            return
        round_trip_s = self.context.clock.now() - sent_at
        state.round_trip_s += ROUND_TRIP_SMOOTHING * (round_trip_s - state.round_trip_s)
        before = state.status
        state.status = status
        state.answered_at = sent_at
        self._take_sample(
            status.target_id, LogPoint(status.term, status.position), sent_at
        )
        if before is None or _moved(before, status):
            self.context.signals.of(status.group).notify()

    def take_reply(self, target_id: str, seen: LogPoint, sent_at: float) -> None:
        """Takes the position in a statement's reply."""
        state = self.context.blackboard.target_state(target_id)
        status = state.status
        self._take_sample(target_id, seen, sent_at)
        if status is None or status.term != seen.term:
            return
        if seen.position > status.position:
            state.status = msgspec.structs.replace(status, position=seen.position)
            self.context.signals.of(status.group).notify()

    def positions(self, view: GroupView) -> dict[str, LogPoint]:
        """Returns where the members of the acknowledgement set were last seen."""
        seen = {}
        for target_id in view.ack_set:
            state = self.context.blackboard.targets.get(target_id)
            if state is not None and state.status is not None:
                status = state.status
                seen[target_id] = LogPoint(status.term, status.position)
        return seen

    def want(self, target_id: str, point: LogPoint, until: float) -> None:
        """Polls a target often until it is seen at ``point``, or until ``until``."""
        wanted = self.wanted.get(target_id)
        if wanted is None:
            self.wanted[target_id] = WantedPosition(point, until)
            spawn(self._poll, target_id)
            return
        wanted.until = max(wanted.until, until)
        if (point.term, point.position) > (wanted.point.term, wanted.point.position):
            wanted.point = point

    def _poll(self, target_id: str) -> None:
        try:
            while self._is_wanted(target_id):
                answered = self.probe(target_id)
                sleep(POLL_INTERVAL_S if answered else FAILED_POLL_PAUSE_S)
        finally:
            del self.wanted[target_id]

    def _is_wanted(self, target_id: str) -> bool:
        wanted = self.wanted[target_id]
        if self.context.clock.now() >= wanted.until:
            return False
        state = self.context.blackboard.target_state(target_id)
        if state.status is None:
            return True
        seen = (state.status.term, state.status.position)
        return seen < (wanted.point.term, wanted.point.position)

    def _take_sample(self, target_id: str, seen: LogPoint, sent_at: float) -> None:
        """Keeps a serving primary's position for the staleness of replicas.

        A primary that may have been replaced by then says nothing about what the
        group had written.
        """
        board = self.context.blackboard
        record = board.view.targets.get(target_id)
        if record is None:
            return
        view = board.view.groups.get(record.group)
        if view is None or view.term != seen.term:
            return
        if is_serving_primary(target_id, view) and board.lease.is_valid(sent_at):
            sample = PositionSample(seen.term, seen.position, sent_at)
            add_sample(board.group_samples(record.group), sample)


def _moved(before: TargetStatus, after: TargetStatus) -> bool:
    return (before.term, before.position) != (after.term, after.position)

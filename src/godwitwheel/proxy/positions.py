"""Records the status and log position that targets report in probes and replies."""

import msgspec

from ..blackboard import PositionSample
from ..decisions.routing import is_serving_primary
from ..decisions.sessions import LogPosition
from ..decisions.staleness import add_sample
from ..internal.loop import sleep, spawn
from ..targets.base import TargetAdmin
from ..targets.errors import TargetError
from ..wire.control import GroupView
from ..wire.target import TargetStatus
from .context import ProxyContext

PROBE_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.003
FAILED_POLL_DELAY_S = 0.05
ROUND_TRIP_SMOOTHING = 0.2


class AwaitedPosition:
    """A position that writes wait for a target to reach.

    :ivar wait_deadline: when the last of these writes stops waiting, in seconds of
        the clock.
    """

    __slots__ = ("log_position", "wait_deadline")

    def __init__(self, log_position: LogPosition, wait_deadline: float):
        self.log_position = log_position
        self.wait_deadline = wait_deadline


class PositionTracker:
    """Probes targets and records their states on the blackboard.

    :ivar awaited: positions that writes wait for, by target; one task polls each.
    """

    __slots__ = ("context", "admin", "awaited")

    def __init__(self, context: ProxyContext, admin: TargetAdmin):
        self.context = context
        self.admin = admin
        self.awaited: dict[str, AwaitedPosition] = {}

    def probe(self, target_id: str) -> bool:
        """Requests a target's status and records it.

        :returns: whether the target replied with its own status.
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
        self.record_status(status, sent_at)
        return True

    def record_status(self, status: TargetStatus, sent_at: float) -> None:
        """Records the reply to a probe that was sent at ``sent_at``."""
        state = self.context.blackboard.target_state(status.target_id)
        if sent_at <= state.answered_at:
            # The reply to a later probe arrived first.
            return
        round_trip_s = self.context.clock.now() - sent_at
        state.round_trip_s += ROUND_TRIP_SMOOTHING * (round_trip_s - state.round_trip_s)
        before = state.status
        state.status = status
        state.answered_at = sent_at
        self._record_sample(
            status.target_id, LogPosition(status.term, status.position), sent_at
        )
        if before is None or _has_moved(before, status):
            self.context.signals.of(status.group).notify()

    def record_reply(self, target_id: str, seen: LogPosition, sent_at: float) -> None:
        """Records the position in the reply to a statement sent at ``sent_at``."""
        state = self.context.blackboard.target_state(target_id)
        status = state.status
        self._record_sample(target_id, seen, sent_at)
        if status is None or status.term != seen.term:
            return
        if seen.position > status.position:
            state.status = msgspec.structs.replace(status, position=seen.position)
            self.context.signals.of(status.group).notify()

    def positions(self, view: GroupView) -> dict[str, LogPosition]:
        """Returns the last observed position of each acknowledgement set member."""
        seen = {}
        for target_id in view.ack_set:
            state = self.context.blackboard.targets.get(target_id)
            if state is not None and state.status is not None:
                status = state.status
                seen[target_id] = LogPosition(status.term, status.position)
        return seen

    def poll_until_reached(
        self, target_id: str, log_position: LogPosition, wait_deadline: float
    ) -> None:
        """Polls a target at short intervals until its log reaches ``log_position``.

        :param wait_deadline: when to stop polling, in seconds of the clock.
        """
        awaited = self.awaited.get(target_id)
        if awaited is None:
            self.awaited[target_id] = AwaitedPosition(log_position, wait_deadline)
            spawn(self._poll, target_id)
            return
        awaited.wait_deadline = max(awaited.wait_deadline, wait_deadline)
        if (log_position.term, log_position.position) > (
            awaited.log_position.term,
            awaited.log_position.position,
        ):
            awaited.log_position = log_position

    def _poll(self, target_id: str) -> None:
        try:
            while self._is_awaited(target_id):
                answered = self.probe(target_id)
                sleep(POLL_INTERVAL_S if answered else FAILED_POLL_DELAY_S)
        finally:
            del self.awaited[target_id]

    def _is_awaited(self, target_id: str) -> bool:
        awaited = self.awaited[target_id]
        if self.context.clock.now() >= awaited.wait_deadline:
            return False
        state = self.context.blackboard.target_state(target_id)
        if state.status is None:
            return True
        seen = (state.status.term, state.status.position)
        return seen < (awaited.log_position.term, awaited.log_position.position)

    def _record_sample(self, target_id: str, seen: LogPosition, sent_at: float) -> None:
        """Samples a serving primary's position, to bound the staleness of replicas.

        The position is ignored if the primary may have been replaced by ``sent_at``:
        the group's log may then have advanced at another primary.
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


def _has_moved(before: TargetStatus, after: TargetStatus) -> bool:
    return (before.term, before.position) != (after.term, after.position)

"""Keeps the set of targets, from announcements and proxies' observations."""

import msgspec

from ..control.commands import PutTarget, RemoveTarget
from ..observe.events import EventName
from ..wire.control import ClusterView, TargetRecord
from ..wire.target import TargetStatus
from .actions import Action, Propose, RecordEvent, VerifyAnnouncement
from .observations import Observations

# Time for which a target is unreachable before its record is removed.
REMOVE_LEAVING_AFTER_S = 10.0
REMOVE_AFTER_S = 600.0
VERIFY_INTERVAL_S = 0.5


class MembershipController:
    """Keeps the committed records of targets.

    An announcement may be outdated, as it may have been delayed at a proxy. A new
    target and one that is leaving are accepted at once; any other difference from the
    record is accepted only after the target itself has confirmed it.

    :ivar announced: latest announcement of each target since the last decision.
    :ivar next_verify_at: when a target may be queried again, in seconds of the clock.
    :ivar unreachable_since: when most proxies began to report a target as unreachable,
        in seconds of the clock.
    """

    __slots__ = ("announced", "unreachable_since", "next_verify_at")

    def __init__(self):
        self.announced: dict[str, TargetStatus] = {}
        self.unreachable_since: dict[str, float] = {}
        self.next_verify_at: dict[str, float] = {}

    def record_announcement(self, status: TargetStatus) -> None:
        """Records the announcement of a target to a proxy."""
        self.announced[status.target_id] = status

    def confirm(self, status: TargetStatus, view: ClusterView) -> list[Action]:
        """Processes the reply of the target itself, at the announced address."""
        return self._propose_record(
            view.targets.get(status.target_id), record_of(status)
        )

    def decide(
        self, view: ClusterView, observations: Observations, now: float
    ) -> list[Action]:
        """Returns changes of the records and queries to targets."""
        actions = []
        announced, self.announced = self.announced, {}
        for target_id in sorted(announced):
            actions += self._reconcile(announced[target_id], view, observations, now)
        for target_id, record in view.targets.items():
            if target_id not in announced:
                actions += self._reconcile_observed(record, view, observations, now)
            actions += self._track_reachability(record, view, observations, now)
        return actions

    def _reconcile_observed(
        self,
        record: TargetRecord,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        observation = observations.latest(record.target_id)
        if observation is None or observation.status.address != record.address:
            return []
        return self._reconcile(observation.status, view, observations, now)

    def _reconcile(
        self,
        status: TargetStatus,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        record = view.targets.get(status.target_id)
        reported = record_of(status)
        if record is None or record == reported:
            return self._propose_record(record, reported)
        if reported.leaving and not record.leaving:
            return self._propose_record(
                record, msgspec.structs.replace(record, leaving=True)
            )
        moved = reported.address != record.address
        if moved and observations.is_reached_by_any(record.target_id):
            # The recorded process is alive. It must not be replaced by another process
            # with the same name or by an outdated announcement.
            return []
        if now < self.next_verify_at.get(record.target_id, 0.0):
            return []
        self.next_verify_at[record.target_id] = now + VERIFY_INTERVAL_S
        return [VerifyAnnouncement(record.target_id, reported.address)]

    def _propose_record(
        self, record: TargetRecord | None, reported: TargetRecord
    ) -> list[Action]:
        if record == reported:
            return []
        event = EventName.target_announced
        if reported.leaving:
            event = EventName.target_leaving
        applied_event = RecordEvent(
            event,
            target=reported.target_id,
            group=reported.group,
            address=reported.address,
        )
        return [Propose(PutTarget(reported), applied_event)]

    def _track_reachability(
        self,
        record: TargetRecord,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        """Records when a target becomes unreachable or reachable again.

        Removes it once it was unreachable for long and no view names it.
        """
        target_id = record.target_id
        fields = {"target": target_id, "group": record.group}
        if not observations.is_unreachable(target_id):
            if self.unreachable_since.pop(target_id, None) is None:
                return []
            return [RecordEvent(EventName.target_reachable, **fields)]
        since = self.unreachable_since.get(target_id)
        if since is None:
            self.unreachable_since[target_id] = now
            return [RecordEvent(EventName.target_unreachable, **fields)]
        limit_s = REMOVE_LEAVING_AFTER_S if record.leaving else REMOVE_AFTER_S
        if now < since + limit_s or _is_in_a_view(target_id, view):
            return []
        applied_event = RecordEvent(EventName.target_forgotten, **fields)
        return [Propose(RemoveTarget(target_id), applied_event)]


def record_of(status: TargetStatus) -> TargetRecord:
    """Returns the record that corresponds to a status."""
    return TargetRecord(
        status.target_id,
        status.group,
        status.data_centre,
        status.address,
        status.slots,
        status.connection_cap,
        status.leaving,
    )


def _is_in_a_view(target_id: str, view: ClusterView) -> bool:
    return any(
        target_id == group.primary or target_id in group.ack_set
        for group in view.groups.values()
    )

"""Which targets there are, from announcements and from what proxies see."""

import msgspec

from ..control.commands import PutTarget, RemoveTarget
from ..observe.events import EventName
from ..wire.control import ClusterView, TargetRecord
from ..wire.target import TargetStatus
from .actions import Action, Note, Propose, VerifyAnnouncement
from .observations import Observations

FORGET_LEAVING_S = 10.0
FORGET_S = 600.0
VERIFY_SPACING_S = 0.5


class MembershipController:
    """Keeps the committed records of targets.

    An announcement may have waited at a proxy for long. A new target and a target
    that leaves are believed at once; any other difference from the record is
    believed only after the target itself has confirmed it.

    :ivar announced: newest announcement of each target that differs from its record.
    :ivar verify_at: when the target may be asked again, in seconds of the clock.
    :ivar unreachable_since: when most proxies lost a target, in seconds of the clock.
    """

    __slots__ = ("announced", "unreachable_since", "verify_at")

    def __init__(self):
        self.announced: dict[str, TargetStatus] = {}
        self.unreachable_since: dict[str, float] = {}
        self.verify_at: dict[str, float] = {}

    def note_announcement(self, status: TargetStatus) -> None:
        """Takes in what a target announced to some proxy."""
        self.announced[status.target_id] = status

    def note_confirmed(self, status: TargetStatus, view: ClusterView) -> list[Action]:
        """Takes in the reply of the target itself, at the announced address."""
        return self._replace(view.targets.get(status.target_id), record_of(status))

    def decide(
        self, view: ClusterView, observations: Observations, now: float
    ) -> list[Action]:
        """Returns changes of the records and questions to targets."""
        actions = []
        announced, self.announced = self.announced, {}
        for target_id in sorted(announced):
            actions += self._compare(announced[target_id], view, observations, now)
        for target_id, record in view.targets.items():
            if target_id not in announced:
                actions += self._compare_sighting(record, view, observations, now)
            actions += self._watch(record, view, observations, now)
        return actions

    def _compare_sighting(
        self,
        record: TargetRecord,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        sighting = observations.latest(record.target_id)
        if sighting is None or sighting.status.address != record.address:
            return []
        return self._compare(sighting.status, view, observations, now)

    def _compare(
        self,
        status: TargetStatus,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        record = view.targets.get(status.target_id)
        claimed = record_of(status)
        if record is None or record == claimed:
            return self._replace(record, claimed)
        if claimed.leaving and not record.leaving:
            return self._replace(record, msgspec.structs.replace(record, leaving=True))
        moved = claimed.address != record.address
        if moved and observations.is_reached(record.target_id):
            # The recorded process is alive: another one of the same name, or an
            # announcement from before the move, must not take its place.
            return []
        if now < self.verify_at.get(record.target_id, 0.0):
            return []
        self.verify_at[record.target_id] = now + VERIFY_SPACING_S
        return [VerifyAnnouncement(record.target_id, claimed.address)]

    def _replace(
        self, record: TargetRecord | None, claimed: TargetRecord
    ) -> list[Action]:
        if record == claimed:
            return []
        event = EventName.target_announced
        if claimed.leaving:
            event = EventName.target_leaving
        note = Note(
            event,
            target=claimed.target_id,
            group=claimed.group,
            address=claimed.address,
        )
        return [Propose(PutTarget(claimed), note)]

    def _watch(
        self,
        record: TargetRecord,
        view: ClusterView,
        observations: Observations,
        now: float,
    ) -> list[Action]:
        """Notes when a target gets lost or returns, and forgets it in the end."""
        target_id = record.target_id
        fields = {"target": target_id, "group": record.group}
        if not observations.is_unreachable(target_id):
            if self.unreachable_since.pop(target_id, None) is None:
                return []
            return [Note(EventName.target_reachable, **fields)]
        since = self.unreachable_since.get(target_id)
        if since is None:
            self.unreachable_since[target_id] = now
            return [Note(EventName.target_unreachable, **fields)]
        limit_s = FORGET_LEAVING_S if record.leaving else FORGET_S
        if now < since + limit_s or _is_named(target_id, view):
            return []
        note = Note(EventName.target_forgotten, **fields)
        return [Propose(RemoveTarget(target_id), note)]


def record_of(status: TargetStatus) -> TargetRecord:
    """Returns the record that a status gives rise to."""
    return TargetRecord(
        status.target_id,
        status.group,
        status.data_centre,
        status.address,
        status.slots,
        status.connection_cap,
        status.leaving,
    )


def _is_named(target_id: str, view: ClusterView) -> bool:
    return any(
        target_id == group.primary or target_id in group.ack_set
        for group in view.groups.values()
    )

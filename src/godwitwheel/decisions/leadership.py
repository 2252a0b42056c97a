"""All that one leader knows and decides, from the moment it began to lead."""

from ..control.cluster import Cluster
from ..control.commands import ChangeGroup, PutTarget, RemoveTarget, SetTokenKey
from ..observe.events import EventName
from ..wire.control import ClusterView, Heartbeat, TargetRecord
from ..wire.target import TargetStatus
from .actions import Action, Ask, Note, Propose
from .groups import GroupFacts, GroupMemory
from .insync import InSyncController
from .leases import LeaseTable
from .membership import MembershipController
from .observations import Observations
from .promotion import PromotionController
from .quotas import QuotaTable


class LeadershipOptions:
    """Times that the leader decides by, in seconds; see ``ControlSettings``."""

    __slots__ = ("lease_s", "clock_drift", "detection_s", "in_sync_lag_s")

    def __init__(
        self,
        lease_s: float,
        clock_drift: float,
        detection_s: float,
        in_sync_lag_s: float,
    ):
        self.lease_s = lease_s
        self.clock_drift = clock_drift
        self.detection_s = detection_s
        self.in_sync_lag_s = in_sync_lag_s


class GroupControllers:
    """The controllers of one group and what they share."""

    __slots__ = ("memory", "promotion", "in_sync")

    def __init__(self, options: LeadershipOptions):
        self.memory = GroupMemory()
        self.promotion = PromotionController(self.memory, options.detection_s)
        self.in_sync = InSyncController(self.memory, options.in_sync_lag_s)

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns the next steps; a change of the primary goes first."""
        self.memory.update(facts, now)
        actions = self.promotion.decide(facts, now)
        if any(isinstance(action, Propose) for action in actions):
            return actions
        return [*actions, *self.in_sync.decide(facts, now)]


class Leadership:
    """The blackboard of one leader, and its controllers.

    :ivar proposing: what a proposal on its way is about; nothing else about it is
        proposed meanwhile.
    :ivar token_key: proposed if the cell has none yet.
    """

    __slots__ = (
        "leading_since",
        "options",
        "leases",
        "observations",
        "quotas",
        "membership",
        "groups",
        "proposing",
        "token_key",
    )

    def __init__(
        self, leading_since: float, options: LeadershipOptions, token_key: str
    ):
        self.leading_since = leading_since
        self.options = options
        self.leases = LeaseTable(leading_since, options.lease_s, options.clock_drift)
        self.observations = Observations(options.detection_s)
        self.quotas = QuotaTable(leading_since + self.leases.held_s)
        self.membership = MembershipController()
        self.groups: dict[str, GroupControllers] = {}
        self.proposing: set[str] = set()
        self.token_key = token_key

    def receive(self, heartbeat: Heartbeat, view: ClusterView, now: float) -> bool:
        """Takes in a heartbeat's report; it grants nothing yet.

        :returns: ``False`` if a later heartbeat of this proxy came before it.
        """
        if not self.observations.note(heartbeat, now):
            return False
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        self.leases.acknowledge(name, heartbeat.view_version)
        for status in heartbeat.announcements:
            self.membership.note_announcement(status)
        self._note_connections(heartbeat, view, now)
        if heartbeat.leaving:
            self.leases.give_back(name)
            self.observations.forget(name)
        return True

    def is_latest(self, heartbeat: Heartbeat) -> bool:
        """Whether no later heartbeat of this proxy has come."""
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        report = self.observations.reports.get(name)
        return report is not None and report.heartbeat is heartbeat

    def grant(
        self, heartbeat: Heartbeat, received_at: float, view: ClusterView, now: float
    ) -> dict[str, int]:
        """Grants a lease after a quorum has confirmed the leader.

        The reply must go out with ``view`` and with nothing decided in between.

        :returns: the proxy's quotas.
        """
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        self.leases.grant(name, heartbeat.view_version, view.version, received_at)
        return self.quotas.quotas(name, now)

    def decide(self, cluster: Cluster, now: float) -> list[Action]:
        """Returns all that is to be done now."""
        self._drop_lapsed(now)
        view = cluster.view
        actions = self._set_token_key(view)
        actions += self.membership.decide(view, self.observations, now)
        for group, records in _by_group(view).items():
            actions += self._decide_group(group, records, cluster, now)
        return [action for action in actions if self._begin(action)]

    def note_reply(self, ask: Ask, status: TargetStatus, view: ClusterView) -> None:
        """Takes in a target's reply to a question or an order."""
        controllers = self.groups.get(status.group)
        if controllers is not None and status.target_id == ask.target_id:
            group_view = view.groups.get(status.group)
            controllers.memory.note_reply(ask, status, group_view)

    def confirm_announcement(
        self, status: TargetStatus, view: ClusterView
    ) -> list[Action]:
        """Takes in the reply of a target at the address that it announced."""
        actions = self.membership.note_confirmed(status, view)
        return [action for action in actions if self._begin(action)]

    def finish(self, action: Propose) -> None:
        """Notes that a proposal has come to an end."""
        self.proposing.discard(_subject(action))

    def _decide_group(
        self,
        group: str,
        records: dict[str, TargetRecord],
        cluster: Cluster,
        now: float,
    ) -> list[Action]:
        view = cluster.view
        if group not in self.groups:
            self.groups[group] = GroupControllers(self.options)
        facts = GroupFacts(
            group,
            view.groups.get(group),
            cluster.changed_at.get(group, 0),
            cluster.floors.get(group, {}),
            records,
            self.leases,
            self.observations,
        )
        return self.groups[group].decide(facts, now)

    def _set_token_key(self, view: ClusterView) -> list[Action]:
        if view.token_key:
            return []
        note = Note(EventName.token_key_made)
        return [Propose(SetTokenKey(self.token_key), note)]

    def _note_connections(
        self, heartbeat: Heartbeat, view: ClusterView, now: float
    ) -> None:
        caps = {
            target_id: record.connection_cap
            for target_id, record in view.targets.items()
        }
        self.quotas.set_caps(caps, now)
        self.quotas.note(heartbeat, now)
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        for target_id, sighting in self.observations.reports[name].sightings.items():
            if sighting.status is not None:
                self.quotas.observe_open(
                    target_id, sighting.status.connections_open, sighting.sampled_at
                )

    def _drop_lapsed(self, now: float) -> None:
        for name in self.leases.drop_lapsed(now):
            self.observations.forget(name)
            self.quotas.lapse(name, now)
        # Reports that were never answered with a lease don't count for long.
        for name, report in list(self.observations.reports.items()):
            if now >= report.received_at + self.leases.held_s:
                self.observations.forget(name)
                self.quotas.lapse(name, now)

    def _begin(self, action: Action) -> bool:
        if not isinstance(action, Propose):
            return True
        subject = _subject(action)
        if subject in self.proposing:
            return False
        self.proposing.add(subject)
        return True


def _subject(action: Propose) -> str:
    """Names what a proposal is about."""
    command = action.command
    if isinstance(command, ChangeGroup):
        return f"group {command.view.group}"
    if isinstance(command, PutTarget):
        return f"target {command.record.target_id}"
    if isinstance(command, RemoveTarget):
        return f"target {command.target_id}"
    return "token key"


def _by_group(view: ClusterView) -> dict[str, dict[str, TargetRecord]]:
    groups: dict[str, dict[str, TargetRecord]] = {}
    for target_id, record in view.targets.items():
        groups.setdefault(record.group, {})[target_id] = record
    return groups

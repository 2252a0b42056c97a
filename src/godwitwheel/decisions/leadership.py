"""The state and the controllers of one leader, from the time of its election."""

from ..control.cluster import Cluster
from ..control.commands import ChangeGroup, PutTarget, RemoveTarget, SetTokenKey
from ..observe.events import EventName
from ..wire.control import ClusterView, Heartbeat, TargetRecord
from ..wire.target import TargetStatus
from .actions import Action, Propose, RecordEvent, TargetRequest
from .groups import GroupFacts, GroupTracker
from .insync import InSyncController
from .leases import LeaseTable
from .membership import MembershipController
from .observations import Observations
from .promotion import PromotionController
from .quotas import QuotaTable


class LeadershipOptions:
    """Options of the leader's decisions, times in seconds; see ``ControlSettings``.

    :ivar clock_drift: largest relative difference between the rates of two VMs'
        clocks.
    """

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
    """The controllers of one group and the tracker that they share."""

    __slots__ = ("tracker", "promotion", "in_sync")

    def __init__(self, options: LeadershipOptions):
        self.tracker = GroupTracker()
        self.promotion = PromotionController(self.tracker, options.detection_s)
        self.in_sync = InSyncController(self.tracker, options.in_sync_lag_s)

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns the next actions; a change of the primary takes precedence."""
        self.tracker.update(facts, now)
        actions = self.promotion.decide(facts, now)
        if any(isinstance(action, Propose) for action in actions):
            return actions
        return [*actions, *self.in_sync.decide(facts, now)]


class Leadership:
    """The blackboard of one leader, and its controllers.

    :ivar pending_subjects: subjects of the proposals that have not finished yet; a
        subject has at most one at a time.
    :ivar token_key: the key to propose if the cell has none yet.
    :param view: the committed state when it was elected.
    """

    __slots__ = (
        "leader_since",
        "options",
        "leases",
        "observations",
        "quotas",
        "membership",
        "groups",
        "pending_subjects",
        "token_key",
    )

    def __init__(
        self,
        leader_since: float,
        options: LeadershipOptions,
        token_key: str,
        view: ClusterView,
    ):
        self.leader_since = leader_since
        self.options = options
        self.leases = LeaseTable(leader_since, options.lease_s, options.clock_drift)
        self.observations = Observations(options.detection_s)
        self.quotas = QuotaTable(self._quotas_expire_at(view), view.targets)
        self.membership = MembershipController()
        self.groups: dict[str, GroupControllers] = {}
        self.pending_subjects: set[str] = set()
        self.token_key = token_key

    def _quotas_expire_at(self, view: ClusterView) -> float:
        """Returns when the last quota of an earlier leader expires.

        :param view: the committed state when this leader was elected; before its first
            change no target was registered, so that no quota has been granted.
        :returns: seconds of the clock.
        """
        if not view.version:
            return self.leader_since
        return self.leader_since + self.leases.max_lease_s

    def receive(self, heartbeat: Heartbeat, view: ClusterView, now: float) -> bool:
        """Processes a heartbeat's report; this does not grant a lease yet.

        :returns: ``False`` if a later heartbeat of this proxy has been received.
        """
        if not self.observations.record(heartbeat, now):
            return False
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        self.leases.acknowledge(name, heartbeat.view_version)
        for status in heartbeat.announcements:
            self.membership.record_announcement(status)
        self._record_connections(heartbeat, view, now)
        if heartbeat.leaving:
            self.leases.release(name)
            self.observations.drop(name)
        return True

    def is_latest(self, heartbeat: Heartbeat) -> bool:
        """Whether no later heartbeat of this proxy has been received."""
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        report = self.observations.reports.get(name)
        return report is not None and report.heartbeat is heartbeat

    def grant(
        self, heartbeat: Heartbeat, received_at: float, view: ClusterView, now: float
    ) -> dict[str, int]:
        """Grants a lease after a quorum has confirmed the leader.

        The reply must be sent with ``view``, without any decision in between.

        :returns: the proxy's quotas.
        """
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        self.leases.grant(name, heartbeat.view_version, view.version, received_at)
        return self.quotas.quotas(name, now)

    def decide(self, cluster: Cluster, now: float) -> list[Action]:
        """Returns the actions that are due now."""
        self._drop_expired(now)
        view = cluster.view
        actions = self._set_token_key(view)
        actions += self.membership.decide(view, self.observations, now)
        for group, records in _by_group(view).items():
            actions += self._decide_group(group, records, cluster, now)
        return [action for action in actions if self._try_begin(action)]

    def record_reply(
        self, request: TargetRequest, status: TargetStatus, view: ClusterView
    ) -> None:
        """Records a target's reply to a query or an order."""
        controllers = self.groups.get(status.group)
        if controllers is not None and status.target_id == request.target_id:
            group_view = view.groups.get(status.group)
            controllers.tracker.record_reply(request, status, group_view)

    def confirm_announcement(
        self, status: TargetStatus, view: ClusterView
    ) -> list[Action]:
        """Processes the reply of a target at the address that it announced."""
        actions = self.membership.confirm(status, view)
        return [action for action in actions if self._try_begin(action)]

    def finish_proposal(self, action: Propose) -> None:
        """Marks a proposal as finished, whether it was applied or failed."""
        self.pending_subjects.discard(_subject(action))

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
        applied_event = RecordEvent(EventName.token_key_made)
        return [Propose(SetTokenKey(self.token_key), applied_event)]

    def _record_connections(
        self, heartbeat: Heartbeat, view: ClusterView, now: float
    ) -> None:
        caps = {
            target_id: record.connection_cap
            for target_id, record in view.targets.items()
        }
        self.quotas.set_caps(caps, now)
        self.quotas.record_heartbeat(heartbeat, now)
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        for target_id, observed in self.observations.reports[name].observations.items():
            if observed.status is not None:
                self.quotas.record_open_count(
                    target_id, observed.status.connections_open, observed.sampled_at
                )

    def _drop_expired(self, now: float) -> None:
        for name in self.leases.drop_expired(now):
            self.observations.drop(name)
            self.quotas.expire(name, now)
        # Reports that were never answered with a lease expire as well.
        for name, report in list(self.observations.reports.items()):
            if now >= report.received_at + self.leases.max_lease_s:
                self.observations.drop(name)
                self.quotas.expire(name, now)

    def _try_begin(self, action: Action) -> bool:
        if not isinstance(action, Propose):
            return True
        subject = _subject(action)
        if subject in self.pending_subjects:
            return False
        self.pending_subjects.add(subject)
        return True


def _subject(action: Propose) -> str:
    """Returns the name of what a proposal changes."""
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

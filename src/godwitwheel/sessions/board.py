"""What a proxy knows for interactive sessions; controllers read and write it."""

import math

from ..directory.ownership import shared_connections
from ..directory.records import DirectoryView, TargetEntry
from ..internal.clock import Clock
from ..internal.signals import ChangeSignal
from .connection import Connector
from .floors import PositionHistory
from .gate import RunGate
from .pool import TargetPool
from .statements import Position

# Connections that a pool may hold even if the proxies are more than there is room for.
MIN_POOL = 1
# Part of a target's connections that its owner holds. One that stands still keeps them,
# and its successor needs some meanwhile.
OWNER_SHARE = 0.6
# Shorter than targets stay after they have announced that they leave, in seconds.
LEAVING_GRACE_S = 5.0
# Time from an order to promote until the target leads, about.
PROMOTION_S = 0.6


class TargetStatus:
    """What this proxy has seen of a target.

    :ivar failing_since: time of the first failure after the last answer, or
        ``None`` while it answers.
    :ivar failures: how many there were since the last answer.
    :ivar retry_at: no new work goes there before that time.
    :ivar latency_s: moving average of the time that a read takes.
    :ivar in_flight: statements sent and not answered.
    :ivar position: log position that it gave last, or ``None``.
    :ivar position_at: when it gave it, in seconds of the clock.
    """

    __slots__ = (
        "failing_since",
        "failures",
        "retry_at",
        "latency_s",
        "in_flight",
        "position",
        "position_at",
    )

    def __init__(self):
        self.failing_since: float | None = None
        self.failures = 0
        self.retry_at = 0.0
        self.latency_s = 0.0
        self.in_flight = 0
        self.position: Position | None = None
        self.position_at = 0.0


class PrimaryBelief:
    """Which target this proxy takes for a service's primary.

    :ivar proved_at: when it last proved to lead; ``None`` once it failed to.
    :ivar last_proof_at: the same, kept after a failure, in seconds of the clock.
    :ivar expected_at: when a target that was ordered to lead should do so.
    :ivar term: term in which it led last.
    :ivar asked_at: when this process first asked for it, or ``None``.
    """

    __slots__ = (
        "target_id",
        "term",
        "proved_at",
        "last_proof_at",
        "expected_at",
        "asked_at",
    )

    def __init__(self, target_id: str = "", term: int = 0):
        self.target_id = target_id
        self.term = term
        self.proved_at: float | None = None
        self.last_proof_at = -math.inf
        self.expected_at = -math.inf
        self.asked_at: float | None = None

    def prove(self, asked_at: float) -> None:
        """Notes that it proved to lead."""
        self.proved_at = asked_at
        self.last_proof_at = max(self.last_proof_at, asked_at)


class SessionBoard:
    """The proxy's blackboard for interactive sessions.

    :ivar serves_callers: whether this process serves callers, or only owns
        connections for those that do.
    :ivar view: newest view from control; version 0 before the first.
    :ivar proxies: how many proxies share the targets' connections.
    :ivar leaving_grace_s: how long a primary that leaves may get new work while its
        replacement is on its way.
    :ivar leaving_since: targets that leave, and when this process learned of it.
    :ivar changed: notified when a primary or the view changes.
    """

    __slots__ = (
        "process_id",
        "serves_callers",
        "gates",
        "clock",
        "connector",
        "data_centre",
        "view",
        "proxies",
        "pools",
        "statuses",
        "beliefs",
        "histories",
        "leaving_grace_s",
        "leaving_since",
        "changed",
    )

    def __init__(
        self,
        clock: Clock,
        connector: Connector,
        data_centre: str,
        process_id: str = "",
        serves_callers: bool = True,
    ):
        self.process_id = process_id
        self.serves_callers = serves_callers
        self.gates: dict[str, RunGate] = {}
        self.clock = clock
        self.connector = connector
        self.data_centre = data_centre
        self.view = DirectoryView()
        self.proxies = 1
        self.pools: dict[str, TargetPool] = {}
        self.statuses: dict[str, TargetStatus] = {}
        self.beliefs: dict[str, PrimaryBelief] = {}
        self.histories: dict[str, PositionHistory] = {}
        self.leaving_grace_s = LEAVING_GRACE_S
        self.leaving_since: dict[str, float] = {}
        self.changed = ChangeSignal()

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Returns all known targets of a service."""
        return [t for t in self.view.targets.values() if t.service == service]

    def status(self, target_id: str) -> TargetStatus:
        """Returns what has been seen of a target."""
        status = self.statuses.get(target_id)
        if status is None:
            status = self.statuses[target_id] = TargetStatus()
        return status

    def history(self, service: str) -> PositionHistory:
        """Returns the samples of a service's primary."""
        history = self.histories.get(service)
        if history is None:
            history = self.histories[service] = PositionHistory()
        return history

    def belief(self, service: str) -> PrimaryBelief:
        """Returns which target is taken for a service's primary."""
        belief = self.beliefs.get(service)
        if belief is None:
            belief = self.beliefs[service] = PrimaryBelief()
        return belief

    def pool(self, target: TargetEntry) -> TargetPool:
        """Returns the connections to a target."""
        pool = self.pools.get(target.target_id)
        if pool is not None and pool.target.address != target.address:
            pool.close()
            pool = None
        if pool is None:
            limit = self.pool_limit(target.service)
            pool = TargetPool(target, self.connector, self.clock, limit)
            self.pools[target.target_id] = pool
        return pool

    def owns(self, service: str) -> bool:
        """Whether this process holds the connections of a service."""
        owner = self.view.owners.get(service)
        return owner is not None and owner.proxy_id == self.process_id

    def uses_targets(self, service: str) -> bool:
        """Whether this process has connections to a service's targets."""
        if service in self.view.owners:
            return self.owns(service)
        return self.serves_callers

    def gate(self, target: TargetEntry) -> RunGate:
        """Returns the turns of a target's statements."""
        gate = self.gates.get(target.target_id)
        if gate is None:
            gate = self.gates[target.target_id] = RunGate(target.slots, self.clock)
        return gate

    def pool_limit(self, service: str) -> int:
        """Returns this process's share of a target's connections."""
        policy = self.view.table.services.get(service)
        if policy is None:
            return MIN_POOL
        if self.owns(service):
            share = int(OWNER_SHARE * shared_connections(policy))
        else:
            share = shared_connections(policy) // max(self.proxies, 1)
        return max(share, MIN_POOL)

    def apply_view(self, view: DirectoryView) -> bool:
        """Takes a newer view; an older one changes nothing.

        :returns: whether it was newer.
        """
        if view.version <= self.view.version:
            return False
        previous = self.view
        self.view = view
        for target_id in list(self.pools):
            if target_id not in view.targets:
                self.pools.pop(target_id).close()
                self.statuses.pop(target_id, None)
                self.gates.pop(target_id, None)
        self._note_leaving()
        self._close_unused_pools()
        for service, target_id in view.primaries.items():
            # What this proxy found out since the last order goes before it.
            if previous.primaries.get(service) != target_id:
                self._follow_order(service, target_id)
        self.apply_limits()
        self.changed.notify()
        return True

    def _note_leaving(self) -> None:
        now = self.clock.now()
        self.leaving_since = {
            target_id: self.leaving_since.get(target_id, now)
            for target_id, entry in self.view.targets.items()
            if entry.leaving
        }

    def has_left(self, target_id: str, now: float) -> bool:
        """Whether a target that leaves has had its time."""
        since = self.leaving_since.get(target_id)
        return since is not None and now - since >= self.leaving_grace_s

    def _close_unused_pools(self) -> None:
        for target_id, pool in list(self.pools.items()):
            if not self.uses_targets(pool.target.service):
                self.pools.pop(target_id).close()

    def apply_limits(self) -> None:
        """Gives every pool its present share."""
        for pool in self.pools.values():
            pool.limit = self.pool_limit(pool.target.service)

    def _follow_order(self, service: str, target_id: str) -> None:
        belief = self.belief(service)
        if belief.target_id != target_id:
            belief.target_id = target_id
            belief.proved_at = None
            belief.expected_at = self.clock.now() + PROMOTION_S

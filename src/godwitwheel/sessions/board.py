"""The shared mutable state of a process for interactive sessions."""

import msgspec

from ..accounts.authority import KeyAuthority, UnleasedKeys
from ..accounts.keys import KeyRing
from ..accounts.limiter import AccountLimiter
from ..decisions.outliers import Members, OutlierDetector
from ..decisions.retry_budget import WindowedRetryBudget
from ..directory.leaving import LeavingTimes
from ..directory.ownership import needs_owner
from ..directory.records import DirectoryView, RoutingTable, TargetEntry
from ..internal.clock import Clock
from ..internal.run_id import new_run_id
from ..internal.signals import ChangeSignal
from .connections.connection import Connector
from .connections.counts import PoolCounts
from .connections.limits import (
    MIN_POOL_SIZE,
    owner_pool_limit,
    proxy_pool_limit,
)
from .connections.pool import TargetPool
from .observed import KnownPrimary, ObservedTarget
from .queueing.gate import ConcurrencyLimiter
from .reporting.authority import PlatformFencing, PrimaryAuthority
from .running.floors import PositionHistory

# How long after its announcement a primary that is leaving still gets new work, in
# seconds. Targets keep running for longer than this after the announcement.
LEAVING_GRACE_S = 5.0
# Longest time after the start in which statements wait for the first view, in seconds.
FIRST_VIEW_S = 3.0
# Typical time from a promotion order until the target is the primary, in seconds.
EXPECTED_PROMOTION_S = 0.6
# Typical time until a primary that is already running answers the first probe of this
# process, which opens a connection for it. In seconds.
EXPECTED_FIRST_ANSWER_S = 0.05
# Retries after failed answers, as a share of a service's statements, and how many are
# allowed a second however few the statements are.
FAILED_RETRY_SHARE = 0.2
MIN_FAILED_RETRIES = 3


class SessionBoard:
    """The blackboard for interactive sessions: shared state of all controllers.

    :ivar serves_callers: whether this process serves callers, or only owns
        connections for proxies that do.
    :ivar authority: decides until when this process may rely on a primary.
    :ivar key_authority: decides until when this process may rely on its keys.
    :ivar account_limiter: limits the operations of client accounts on this process.
    :ivar limiters: concurrency limiters by target id.
    :ivar pool_counts: counters of all connection pools.
    :ivar outlier_detectors: by service.
    :ivar retry_budgets: budgets of retries after failed answers, by service.
    :ivar view: newest view from control; version 0 before the first.
    :ivar has_targets: whether the view includes targets, primaries and fences.
    :ivar proxies: how many proxies share the targets' connections.
    :ivar owners: how many processes may become owners of connections.
    :ivar leaving_grace_s: how long after its announcement a primary that is leaving may
        get new work while another target is promoted, in seconds.
    :ivar leaving: since when targets have been leaving, as control has told.
    :ivar changed: notified when a primary or the view changes, or a report to control
        is to be sent at once.
    """

    __slots__ = (
        "process_id",
        "serves_callers",
        "authority",
        "key_authority",
        "held_key_ring",
        "account_limiter",
        "limiters",
        "outlier_detectors",
        "retry_budgets",
        "clock",
        "started_at",
        "connector",
        "data_centre",
        "view",
        "has_targets",
        "proxies",
        "owners",
        "pools",
        "pool_counts",
        "statuses",
        "known_primaries",
        "histories",
        "leaving_grace_s",
        "leaving",
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
        self.authority: PrimaryAuthority = PlatformFencing()
        self.key_authority: KeyAuthority = UnleasedKeys()
        self.held_key_ring: KeyRing | None = None
        self.account_limiter = AccountLimiter(new_run_id())
        self.limiters: dict[str, ConcurrencyLimiter] = {}
        self.outlier_detectors: dict[str, OutlierDetector] = {}
        self.retry_budgets: dict[str, WindowedRetryBudget] = {}
        self.clock = clock
        self.started_at = clock.now()
        self.connector = connector
        self.data_centre = data_centre
        self.view = DirectoryView()
        self.has_targets = True
        self.proxies = 1
        self.owners = 0
        self.pools: dict[str, TargetPool] = {}
        self.pool_counts = PoolCounts()
        self.statuses: dict[str, ObservedTarget] = {}
        self.known_primaries: dict[str, KnownPrimary] = {}
        self.histories: dict[str, PositionHistory] = {}
        self.leaving_grace_s = LEAVING_GRACE_S
        self.leaving = LeavingTimes()
        self.changed = ChangeSignal()

    def targets_of(self, service: str) -> list[TargetEntry]:
        """Returns all known targets of a service."""
        return [t for t in self.view.targets.values() if t.service == service]

    def key_ring(self) -> KeyRing:
        """Returns the keys of the held routing table."""
        table = self.view.table
        if self.held_key_ring is None or self.held_key_ring.version != table.version:
            self.held_key_ring = KeyRing(table)
        return self.held_key_ring

    def status(self, target_id: str) -> ObservedTarget:
        """Returns the observed status of a target."""
        status = self.statuses.get(target_id)
        if status is None:
            status = self.statuses[target_id] = ObservedTarget()
        return status

    def members_of(self, service: str) -> Members:
        """Returns the known targets of a service and which is its primary."""
        target_ids = [target.target_id for target in self.targets_of(service)]
        return Members(target_ids, self.known_primary(service).target_id)

    def outliers(self, service: str) -> OutlierDetector:
        """Returns the detector of outliers among a service's targets."""
        detector = self.outlier_detectors.get(service)
        if detector is None:
            detector = self.outlier_detectors[service] = OutlierDetector()
        return detector

    def retry_budget(self, service: str) -> WindowedRetryBudget:
        """Returns the budget of retries after failed answers of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(FAILED_RETRY_SHARE, MIN_FAILED_RETRIES)
            self.retry_budgets[service] = budget
        return budget

    def history(self, service: str) -> PositionHistory:
        """Returns the samples of the log position of a service's primary."""
        history = self.histories.get(service)
        if history is None:
            history = self.histories[service] = PositionHistory()
        return history

    def known_primary(self, service: str) -> KnownPrimary:
        """Returns which target this process takes for a service's primary."""
        known_primary = self.known_primaries.get(service)
        if known_primary is None:
            known_primary = self.known_primaries[service] = KnownPrimary()
        return known_primary

    def pool(self, target: TargetEntry) -> TargetPool:
        """Returns the connection pool of a target."""
        pool = self.pools.get(target.target_id)
        if pool is not None and pool.target.address != target.address:
            pool.close()
            pool = None
        if pool is None:
            limit = self.pool_limit(target.service)
            pool = TargetPool(
                target, self.connector, self.clock, limit, self.pool_counts
            )
            self.pools[target.target_id] = pool
        return pool

    def owns(self, service: str) -> bool:
        """Whether this process is the owner of a service's connections."""
        owner = self.view.owners.get(service)
        return owner is not None and owner.proxy_id == self.process_id

    def uses_targets(self, service: str) -> bool:
        """Whether this process connects to a service's targets itself."""
        if service in self.view.owners:
            return self.owns(service)
        return self.serves_callers and not self.awaits_owner(service)

    def awaits_owner(self, service: str) -> bool:
        """Whether control is about to assign an owner to a service.

        If all proxies connected until then, most would be refused.
        """
        policy = self.view.table.services.get(service)
        if policy is None or not self.owners or service in self.view.owners:
            return False
        return needs_owner(policy, self.proxies)

    def uses_any_targets(self) -> bool:
        """Whether this process connects to the targets of any service itself."""
        return any(self.uses_targets(service) for service in self.view.table.services)

    def wants_targets(self) -> bool:
        """Whether the view has to include targets, primaries and fences."""
        return not self.serves_callers or self.uses_any_targets()

    def lacks_targets(self) -> bool:
        """Whether the view does not include the targets that this process uses."""
        return not self.has_targets and self.wants_targets()

    def awaits_first_view(self) -> bool:
        """Whether this process has just started and knows no target yet."""
        is_new = self.clock.now() - self.started_at < FIRST_VIEW_S
        return is_new and self.view.version == 0

    def lacks_a_primary(self) -> bool:
        """Whether a service whose targets this process uses has no known primary."""
        return any(
            self.uses_targets(service)
            and self.known_primary(service).confirmed_at is None
            for service in self.view.table.services
        )

    def limiter(self, target: TargetEntry) -> ConcurrencyLimiter:
        """Returns the concurrency limiter of a target."""
        limiter = self.limiters.get(target.target_id)
        if limiter is None:
            limiter = self.limiters[target.target_id] = ConcurrencyLimiter(
                target.slots, self.clock
            )
        return limiter

    def pool_limit(self, service: str) -> int:
        """Returns how many connections this process may hold to a service's target."""
        policy = self.view.table.services.get(service)
        if policy is None:
            return MIN_POOL_SIZE
        if self.owns(service):
            return owner_pool_limit(policy)
        age_s = self.clock.now() - self.started_at
        return proxy_pool_limit(policy, self.proxies, age_s)

    def apply_view(self, view: DirectoryView, has_targets: bool = True) -> bool:
        """Installs a view from control unless it is outdated.

        :param has_targets: whether it includes targets, primaries and fences.
        :returns: whether it differs from the current one.
        """
        is_held = view.version == self.view.version and has_targets == self.has_targets
        if view.version < self.view.version or is_held:
            return False
        previous = self.view
        self.view = view
        self.has_targets = has_targets
        if has_targets:
            self.authority.apply_view(view, self.clock.now())
        else:
            self.authority.apply_without_primaries(view.version, self.clock.now())
            self._forget_targets()
        for target_id in list(self.pools):
            if target_id not in view.targets:
                self.pools.pop(target_id).close()
                self.statuses.pop(target_id, None)
                self.limiters.pop(target_id, None)
        self.leaving.retain(view.targets.values())
        self._close_unused_pools()
        for service, candidate_id in view.fences.items():
            self._expect_promotion(service, candidate_id, previous)
        for service, target_id in view.primaries.items():
            was_fenced = service in previous.fences and service not in view.fences
            # An unchanged promotion order doesn't override a primary found since then.
            if previous.primaries.get(service) != target_id or was_fenced:
                self._expect_primary(service, target_id, was_fenced)
        self.apply_limits()
        self.changed.notify()
        return True

    def _forget_targets(self) -> None:
        """Forgets what was observed of targets, which is no longer kept up to date."""
        self.statuses.clear()
        for known_primary in self.known_primaries.values():
            known_primary.confirmed_at = None
            known_primary.search_started_at = None

    def apply_table(self, table: RoutingTable) -> bool:
        """Installs a routing table unless it is outdated.

        :returns: whether it was newer than the current one.
        """
        if table.version <= self.view.table.version:
            return False
        self.view = msgspec.structs.replace(self.view, table=table)
        self._close_unused_pools()
        self.apply_limits()
        self.changed.notify()
        return True

    def is_past_leaving_grace(self, target: TargetEntry, now: float) -> bool:
        """Whether a leaving target's grace period for new work is over.

        It counts as over if nobody has told this process when it began.
        """
        if not target.leaving:
            return False
        age_s = self.leaving.age_s(target, now)
        return age_s is None or age_s >= self.leaving_grace_s

    def _close_unused_pools(self) -> None:
        for target_id, pool in list(self.pools.items()):
            if not self.uses_targets(pool.target.service):
                self.pools.pop(target_id).close()

    def apply_limits(self) -> None:
        """Sets the limit of every pool to its current share."""
        for pool in self.pools.values():
            limit = self.pool_limit(pool.target.service)
            is_raised = limit > pool.limit
            pool.limit = limit
            if is_raised:
                pool.wake()

    def _expect_promotion(
        self, service: str, candidate_id: str, previous: DirectoryView
    ) -> None:
        """Follows a fence: the primary is named once the candidate has taken over."""
        known_primary = self.known_primary(service)
        known_primary.confirmed_at = None
        if candidate_id and previous.fences.get(service) != candidate_id:
            known_primary.expected_at = self.clock.now() + EXPECTED_PROMOTION_S

    def _expect_primary(self, service: str, target_id: str, was_fenced: bool) -> None:
        """Follows the naming of a primary, also of the one that was fenced."""
        known_primary = self.known_primary(service)
        if was_fenced or known_primary.target_id != target_id:
            is_first = not known_primary.target_id
            expected_s = EXPECTED_FIRST_ANSWER_S if is_first else EXPECTED_PROMOTION_S
            known_primary.target_id = target_id
            known_primary.confirmed_at = None
            known_primary.named_at = self.clock.now()
            known_primary.expected_at = known_primary.named_at + expected_s

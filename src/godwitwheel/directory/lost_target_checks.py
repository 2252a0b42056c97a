"""Forgets lost targets once other targets hold all that they may hold."""

from collections.abc import Callable

from ..internal.clock import Clock
from ..observe.events import EventName, record_event
from ..sessions.connections.connection import ReplicaStatus
from .candidates import replicas_of
from .commands import ForgetLost
from .pausing import ReplicaPauses
from .records import TargetEntry
from .service_checks import ServiceChecks
from .state import Directory
from .target_queries import TargetQueries

# Time between two checks of a service, in seconds. Each occupies its targets shortly.
CHECK_INTERVAL_S = 0.5


class LostTargetChecks(ServiceChecks):
    """Asks the targets of services that have lost some.

    The primary's log has every acknowledged commit. Once enough other targets have
    received all that it has, a target that was lost before holds nothing that they
    don't hold, and can't acknowledge anything more.

    :ivar pauses: tells which orders may be carried out late.
    :ivar commit: commits a command and returns whether it changed anything.
    """

    __slots__ = ("directory", "queries", "pauses", "commit")

    interval_s = CHECK_INTERVAL_S
    failure_event = EventName.lost_targets_kept

    def __init__(
        self,
        directory: Directory,
        queries: TargetQueries,
        pauses: ReplicaPauses,
        commit: Callable,
        clock: Clock,
    ):
        super().__init__(clock)
        self.directory = directory
        self.queries = queries
        self.pauses = pauses
        self.commit = commit

    def services(self) -> list[str]:
        return [
            service
            for service in self.directory.lost.by_service
            if self._holders_needed(service) > 0 and not self._is_replaced(service)
        ]

    def _holders_needed(self, service: str) -> int:
        policy = self.directory.view.table.services.get(service)
        return 0 if policy is None else policy.synchronous_replicas

    def _is_replaced(self, service: str) -> bool:
        """Whether another target may become the primary without control's knowledge."""
        has_candidate = bool(self.pauses.candidate_of(service))
        return has_candidate or service in self.directory.view.fences

    def check(self, service: str) -> None:
        # Those that are lost from now on may hold later commits.
        lost = [each.incarnation for each in self.directory.lost.of(service)]
        view = self.directory.view
        primary = view.targets.get(view.primaries.get(service, ""))
        if primary is None:
            return
        needed = self._holders_needed(service)
        (led,) = self.queries.ask_statuses([primary])
        if led is None or not led.is_primary:
            return
        holders = self._holders(replicas_of(service, view), led)
        if len(holders) >= needed and self.commit(ForgetLost(service, lost)):
            record_event(
                EventName.lost_targets_forgotten,
                service=service,
                targets=[each.target_id for each in lost],
                position=repr(led.received),
                held_by=holders,
            )

    def _holders(self, replicas: list[TargetEntry], led: ReplicaStatus) -> list[str]:
        """Returns the replicas that have received all that the primary had."""
        statuses = self.queries.ask_statuses(replicas)
        return [
            entry.target_id
            for entry, status in zip(replicas, statuses, strict=True)
            if status is not None and not status.received < led.received
        ]

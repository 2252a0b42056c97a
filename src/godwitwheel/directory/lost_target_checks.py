"""Forgets lost targets once other targets hold all that they may hold."""

from collections.abc import Callable

from ..control.errors import ControlError
from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event, record_failure
from ..sessions.connections.connection import ReplicaStatus
from .candidates import replicas_of
from .commands import ForgetLost
from .pausing import ReplicaPauses
from .records import TargetEntry
from .state import Directory
from .target_queries import TargetQueries

# Time between two checks of a service, in seconds. Each occupies its targets shortly.
CHECK_INTERVAL_S = 0.5


class LostTargetChecks:
    """Asks the targets of services that have lost some.

    The primary's log has every acknowledged commit. Once enough other targets have
    received all that it has, a target that was lost before holds nothing that they
    don't hold, and can't acknowledge anything more.

    :ivar pauses: tells which orders may be carried out late.
    :ivar commit: commits a command and returns whether it changed anything.
    :ivar in_progress: services that are being checked.
    :ivar next_at: by service, when it is checked next, in seconds of the clock.
    """

    __slots__ = (
        "directory",
        "queries",
        "pauses",
        "commit",
        "clock",
        "in_progress",
        "next_at",
    )

    def __init__(
        self,
        directory: Directory,
        queries: TargetQueries,
        pauses: ReplicaPauses,
        commit: Callable,
        clock: Clock,
    ):
        self.directory = directory
        self.queries = queries
        self.pauses = pauses
        self.commit = commit
        self.clock = clock
        self.in_progress: set[str] = set()
        self.next_at: dict[str, float] = {}

    def decide(self, now: float) -> None:
        """Begins the checks that are due; called on the leader."""
        for service in self.directory.lost.by_service:
            is_due = now >= self.next_at.get(service, now)
            if not is_due or service in self.in_progress:
                continue
            if self._holders_needed(service) > 0 and not self._is_replaced(service):
                self.in_progress.add(service)
                spawn(self._check, service)

    def _holders_needed(self, service: str) -> int:
        policy = self.directory.view.table.services.get(service)
        return 0 if policy is None else policy.synchronous_replicas

    def _is_replaced(self, service: str) -> bool:
        """Whether another target may become the primary without control's knowledge."""
        has_candidate = bool(self.pauses.candidate_of(service))
        return has_candidate or service in self.directory.view.fences

    def _check(self, service: str) -> None:
        try:
            self._forget_if_held(service)
        except ControlError as error:
            record_event(
                EventName.lost_targets_kept, service=service, reason=str(error)
            )
        except Exception as error:
            record_failure(error)
        finally:
            self.next_at[service] = self.clock.now() + CHECK_INTERVAL_S
            self.in_progress.discard(service)

    def _forget_if_held(self, service: str) -> None:
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

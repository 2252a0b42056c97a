"""Learns in which term a primary leads that was named without it."""

from collections.abc import Callable

from ..control.errors import ControlError
from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event, record_failure
from .commands import RecordTerm
from .records import TargetEntry
from .state import Directory
from .target_queries import TargetQueries

# Time between two questions to a primary whose term is not known, in seconds.
CHECK_INTERVAL_S = 0.2


class PrimaryTermChecks:
    """Asks primaries that a platform or a target of its own has brought to the lead.

    Where the platform stops a former primary, a target is named when its order is
    answered, before it leads.

    :ivar commit: commits a command and returns whether it changed anything.
    :ivar in_progress: services whose primary is being asked.
    :ivar next_at: by service, when its primary is asked next, in seconds of the clock.
    """

    __slots__ = ("directory", "queries", "commit", "clock", "in_progress", "next_at")

    def __init__(
        self,
        directory: Directory,
        queries: TargetQueries,
        commit: Callable[[RecordTerm], bool],
        clock: Clock,
    ):
        self.directory = directory
        self.queries = queries
        self.commit = commit
        self.clock = clock
        self.in_progress: set[str] = set()
        self.next_at: dict[str, float] = {}

    def decide(self, now: float) -> None:
        """Begins the checks that are due; called on the leader."""
        view = self.directory.view
        for service, target_id in view.primaries.items():
            if self.directory.terms_of(service).is_current or service in view.fences:
                continue
            primary = view.targets.get(target_id)
            is_due = now >= self.next_at.get(service, now)
            if primary is not None and is_due and service not in self.in_progress:
                self.in_progress.add(service)
                spawn(self._check, primary)

    def _check(self, primary: TargetEntry) -> None:
        service = primary.service
        try:
            self._record_term(primary)
        except ControlError as error:
            record_event(
                EventName.primary_term_unknown, service=service, reason=str(error)
            )
        except Exception as error:
            record_failure(error)
        finally:
            self.next_at[service] = self.clock.now() + CHECK_INTERVAL_S
            self.in_progress.discard(service)

    def _record_term(self, primary: TargetEntry) -> None:
        (status,) = self.queries.ask_statuses([primary])
        if status is None or not status.is_primary:
            return
        service, term = primary.service, status.term
        if term < self.directory.terms_of(service).newest:
            return
        if self.commit(RecordTerm(service, primary.target_id, term)):
            record_event(
                EventName.primary_term_learnt,
                service=service,
                target_id=primary.target_id,
                term=term,
            )

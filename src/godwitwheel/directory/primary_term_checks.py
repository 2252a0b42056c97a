"""Learns in which term a primary leads that was named without it."""

from collections.abc import Callable

from ..internal.clock import Clock
from ..observe.events import EventName, record_event
from .commands import RecordTerm
from .service_checks import ServiceChecks
from .state import Directory
from .target_queries import TargetQueries

# Time between two questions to a primary whose term is not known, in seconds.
CHECK_INTERVAL_S = 0.2


class PrimaryTermChecks(ServiceChecks):
    """Asks primaries that a platform or a target of its own has brought to the lead.

    Where the platform stops a former primary, a target is named when its order is
    answered, before it leads.

    :ivar commit: commits a command and returns whether it changed anything.
    """

    __slots__ = ("directory", "queries", "commit")

    interval_s = CHECK_INTERVAL_S
    failure_event = EventName.primary_term_unknown

    def __init__(
        self,
        directory: Directory,
        queries: TargetQueries,
        commit: Callable[[RecordTerm], bool],
        clock: Clock,
    ):
        super().__init__(clock)
        self.directory = directory
        self.queries = queries
        self.commit = commit

    def services(self) -> list[str]:
        view = self.directory.view
        return [
            service
            for service, target_id in view.primaries.items()
            if not self.directory.terms_of(service).is_current
            and service not in view.fences
            and target_id in view.targets
        ]

    def check(self, service: str) -> None:
        view = self.directory.view
        primary = view.targets.get(view.primaries.get(service, ""))
        if primary is None:
            return
        (status,) = self.queries.ask_statuses([primary])
        if status is None or not status.is_primary:
            return
        term = status.term
        if term < self.directory.terms_of(service).newest:
            return
        if self.commit(RecordTerm(service, primary.target_id, term)):
            record_event(
                EventName.primary_term_learnt,
                service=service,
                target_id=primary.target_id,
                term=term,
            )

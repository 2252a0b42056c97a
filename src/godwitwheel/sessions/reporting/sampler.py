"""Samples the position of each service's primary, and searches for a new primary."""

from ...directory.records import TargetEntry
from ...internal.loop import Task, sleep, spawn
from ...internal.sentinel import Refusal
from ..connections.connection import Begin, Rollback
from ..context import SessionContext, SessionState
from ..errors import ConnectionLost
from ..running.attempts import (
    acquire_connection,
    exchange,
    mark_not_primary,
    mark_primary,
    release_connection,
)
from ..statements import ErrorCode

# Age at which a confirmation of the primary is renewed by a probe, in seconds; while
# statements of callers confirm it more often, no probe is sent.
SAMPLE_INTERVAL_S = 0.15
# Interval at which a process that uses no targets checks whether it has to, in seconds;
# a new view wakes it sooner.
IDLE_INTERVAL_S = 1.0
# Interval between probes of all targets while no primary is confirmed, in seconds.
SEARCH_INTERVAL_S = 0.06
# A probe takes about one network round trip, so that a target that does not answer for
# longer has failed or is unreachable. In seconds.
PROBE_TIMEOUT_S = 0.2
LOWEST_PRIORITY = 99


class Sampler:
    """Runs one task for each service.

    :ivar tasks: running tasks by service.
    :ivar probing: ids of targets with a probe of a search in flight.
    """

    __slots__ = ("context", "tasks", "probing")

    def __init__(self, context: SessionContext):
        self.context = context
        self.tasks: dict[str, Task] = {}
        self.probing: set[str] = set()

    def run(self) -> None:
        """Starts a task for each active service whose targets this process uses."""
        board = self.context.board
        while True:
            services = {s for s in board.view.table.services if self._is_sampled(s)}
            for service in services - set(self.tasks):
                self.tasks[service] = spawn(self._sample_repeatedly, service)
            board.changed.wait(SAMPLE_INTERVAL_S if services else IDLE_INTERVAL_S)

    def _sample_repeatedly(self, service: str) -> None:
        try:
            while self._is_sampled(service):
                sleep(self.sample(service))
        finally:
            # The loop of run() starts a new task if the service is still in use.
            self.tasks.pop(service, None)

    def _is_sampled(self, service: str) -> bool:
        board = self.context.board
        is_known = service in board.view.table.services
        return is_known and board.has_targets and board.uses_targets(service)

    def sample(self, service: str) -> float:
        """Sends the probes that are due.

        :returns: the time until the next call, in seconds.
        """
        board = self.context.board
        known_primary = board.known_primary(service)
        if known_primary.confirmed_at is None and not board.targets_of(service):
            # There is no target to search among, so that the search has not begun.
            known_primary.search_started_at = None
            return SEARCH_INTERVAL_S
        if known_primary.search_started_at is None:
            known_primary.search_started_at = board.clock.now()
        age_s = None
        if known_primary.confirmed_at is not None:
            age_s = board.clock.now() - known_primary.confirmed_at
        if age_s is not None and age_s < SAMPLE_INTERVAL_S:
            return SAMPLE_INTERVAL_S - age_s + 0.01
        primary = board.view.targets.get(known_primary.target_id)
        if primary is not None and age_s is not None:
            if not self.probe(primary):
                known_primary.confirmed_at = None
                board.changed.notify()
            return 0.0
        for target in board.targets_of(service):
            if target.target_id not in self.probing:
                spawn(self._probe_for_search, target)
        return SEARCH_INTERVAL_S

    def _probe_for_search(self, target: TargetEntry) -> None:
        self.probing.add(target.target_id)
        try:
            self.probe(target)
        finally:
            self.probing.discard(target.target_id)

    def probe(self, target: TargetEntry) -> bool:
        """Probes a target with a read-write transaction, which only a primary begins.

        :returns: whether it is the primary.
        """
        context = self.context
        state = SessionState("sampler", "")
        pooled = acquire_connection(
            context, target, state, LOWEST_PRIORITY, PROBE_TIMEOUT_S
        )
        if isinstance(pooled, Refusal):
            return False
        sent_at = context.now()
        try:
            commands = [Begin(), Rollback()]
            answers = exchange(context, pooled, commands, PROBE_TIMEOUT_S)
        except ConnectionLost:
            return False
        finally:
            release_connection(pooled)
        if answers[0].error is None:
            mark_primary(context, target, sent_at, answers[0].position)
            return True
        if answers[0].error is ErrorCode.read_only:
            mark_not_primary(context, target)
        return False

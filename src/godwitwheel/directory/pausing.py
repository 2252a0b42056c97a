"""Pauses the replicas of a synchronous service for a promotion, and resumes them.

A paused replica receives nothing until it is told to, until a target is promoted, or
until it restarts, so a pause outlasts the leader that asked for it. It is committed
before the first replica is paused: whoever leads afterwards knows that the replicas
have to be resumed if the primary is kept.

The target that is about to be ordered to take over is committed as well, before the
order is sent. As long as that order got no answer, it may be carried out late. Nothing
may be acknowledged then that the target lacks, so the replicas stay paused and the
promotion is completed, although the primary could be kept.
"""

from collections.abc import Callable

from ..observe.events import EventName, record_event
from ..sessions.connections.connection import PauseReceiving, ResumeReceiving
from .candidates import Candidate, replicas_of
from .commands import PauseReplicas, ResumeReplicas
from .errors import PromotionFailed, ResumeFailed
from .failover import Observation
from .records import DirectoryView, PausedReplicas, TargetEntry
from .target_queries import TargetQueries


class ReplicaPauses:
    """Pauses and resumes replicas, and records it.

    :ivar read_paused: returns the committed pauses by service.
    :ivar commit: commits a command and returns whether it changed anything.
    """

    __slots__ = ("queries", "read_paused", "commit")

    def __init__(
        self,
        queries: TargetQueries,
        read_paused: Callable[[], dict[str, PausedReplicas]],
        commit: Callable,
    ):
        self.queries = queries
        self.read_paused = read_paused
        self.commit = commit

    def may_be_paused(self, service: str) -> bool:
        """Whether the replicas of a service may be paused already."""
        return service in self.read_paused()

    def candidate_of(self, service: str) -> str:
        """Returns the target that an unanswered order may promote, or ``""``."""
        paused = self.read_paused().get(service)
        return "" if paused is None else paused.candidate

    def pause(
        self,
        service: str,
        groups: list[list[TargetEntry]],
        term: int,
        observations: list[Observation],
    ) -> list[Candidate]:
        """Asks replicas for positions that don't advance until the promotion.

        :param groups: replicas; one group is paused after the other.
        :param term: above the newest term that a target has answered.
        :raises PromotionFailed: if another promotion has ended the pause.
        :raises ControlError: if this member does not lead.
        """
        if not self.may_be_paused(service):
            self.commit(PauseReplicas(service))
        record_event(EventName.replicas_paused, service=service, below_term=term)
        command = PauseReceiving(term)
        candidates = self.queries.command_all(groups, command, observations)
        if any(each.term >= term for each in candidates):
            raise PromotionFailed(f"a target leads in term {term} or later")
        return candidates

    def record_candidate(self, service: str, target_id: str) -> None:
        """Commits which target is about to be ordered to take over."""
        if self.candidate_of(service) != target_id:
            self.commit(PauseReplicas(service, target_id))

    def forget_candidate(self, service: str) -> None:
        """Commits that no order may be carried out late."""
        if self.candidate_of(service):
            self.commit(PauseReplicas(service))

    def resume(self, service: str, view: DirectoryView) -> None:
        """Resumes the replicas of a service whose primary is kept.

        :raises ResumeFailed: if a replica may still be paused.
        :raises ControlError: if this member does not lead.
        """
        paused = self.read_paused()[service]
        entries = replicas_of(service, view)
        answers = self.queries.command_all([entries], ResumeReceiving(), [])
        still_paused = [
            each.entry.target_id for each in answers if each.received is None
        ]
        record_event(
            EventName.replicas_resumed,
            service=service,
            unresponsive=still_paused,
            paused_at=paused.index,
        )
        if still_paused:
            raise ResumeFailed(f"{still_paused} did not answer")
        self.commit(ResumeReplicas(service, paused.index))

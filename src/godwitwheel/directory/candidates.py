"""Decides which target replaces a primary, by what control has asked the targets."""

from abc import ABC, abstractmethod

from ..sessions.statements import Position
from .failover import Observation
from .records import DirectoryView, TargetEntry


class Candidate:
    """A target that was asked for its position before a promotion.

    :ivar received: last log position that it received; ``None`` if it did not answer.
    :ivar unreachable_from: number of proxies that can't reach it.
    """

    __slots__ = ("entry", "received", "term", "unreachable_from")

    def __init__(
        self,
        entry: TargetEntry,
        received: Position | None,
        term: int,
        unreachable_from: int,
    ):
        self.entry = entry
        self.received = received
        self.term = term
        self.unreachable_from = unreachable_from


class Replacement:
    """What is known when a target is chosen to replace a primary.

    :ivar primary_id: the primary that is to be replaced, or an empty string.
    :ivar ordered_id: target that an earlier order may still promote, or empty.
    """

    __slots__ = ("candidates", "observations", "primary_id", "ordered_id")

    def __init__(
        self,
        candidates: list[Candidate],
        observations: list[Observation],
        primary_id: str,
        ordered_id: str = "",
    ):
        self.candidates = candidates
        self.observations = observations
        self.primary_id = primary_id
        self.ordered_id = ordered_id

    def responsive(self) -> list[Candidate]:
        """Returns the candidates that answered."""
        return [each for each in self.candidates if each.received is not None]

    def unconfirmed_count(self) -> int:
        """Returns how many proxies haven't confirmed the primary."""
        return sum(
            1
            for observation in self.observations
            if observation.target_id == self.primary_id and not observation.is_confirmed
        )


class CandidateRule(ABC):
    """Which targets are asked before a promotion, and which of them is promoted.

    :cvar pauses_replicas: whether the targets stop receiving before they are compared.
    """

    __slots__ = ()

    pauses_replicas = False

    @abstractmethod
    def asked_targets(
        self, service: str, view: DirectoryView
    ) -> list[list[TargetEntry]]:
        """Returns the targets to ask, in groups that are asked one after the other."""

    @abstractmethod
    def choose(self, replacement: Replacement) -> Candidate | None:
        """Returns the target to promote, ``None`` if there is none to promote now."""


class AsynchronousRule(CandidateRule):
    """For services whose primary acknowledges commits alone.

    A promotion loses what no replica has received, so that a reachable target is better
    than the one with the longest log.
    """

    __slots__ = ()

    def asked_targets(
        self, service: str, view: DirectoryView
    ) -> list[list[TargetEntry]]:
        entries = candidate_targets(service, view)
        return [[entry for entry in entries if not entry.leaving]]

    def choose(self, replacement: Replacement) -> Candidate | None:
        """Returns the reachable target whose promotion loses the fewest writes.

        A fenced primary is chosen only if no other candidate is left. A target that an
        earlier order may still promote is chosen if it answered, since another choice
        could be overturned by that order.
        """
        eligible = responsive = replacement.responsive()
        unconfirmed_count = replacement.unconfirmed_count()
        if unconfirmed_count:
            eligible = [
                each for each in responsive if each.unreachable_from < unconfirmed_count
            ]
        for candidate in responsive:
            if candidate.entry.target_id == replacement.ordered_id:
                return candidate
        if not eligible:
            return None
        return max(
            eligible,
            key=lambda each: (
                each.entry.target_id != replacement.primary_id,
                each.received,
                not each.entry.leaving,
                -each.unreachable_from,
            ),
        )


class SynchronousRule(AsynchronousRule):
    """For services that acknowledge a commit once some replicas have received it.

    Every replica counts towards the acknowledgement until it ends, also one that
    leaves, so that each is asked and stops receiving. Each acknowledged commit is held
    by ``synchronous_replicas`` of them at least: if fewer did not answer, one of the
    others holds it, and too few are left for the primary to acknowledge another.

    :ivar synchronous_replicas: replicas that hold a commit before it is acknowledged.
    """

    __slots__ = ("synchronous_replicas",)

    pauses_replicas = True

    def __init__(self, synchronous_replicas: int):
        self.synchronous_replicas = synchronous_replicas

    def asked_targets(
        self, service: str, view: DirectoryView
    ) -> list[list[TargetEntry]]:
        # Those that leave stop first, so that the others, which are the better
        # primaries, have received as much as they.
        entries = candidate_targets(service, view)
        leaving = [entry for entry in entries if entry.leaving]
        return [leaving, [entry for entry in entries if not entry.leaving]]

    def choose(self, replacement: Replacement) -> Candidate | None:
        silent = [
            each
            for each in replacement.candidates
            if each.received is None and each.entry.target_id != replacement.primary_id
        ]
        if len(silent) >= self.synchronous_replicas:
            return None
        return super().choose(replacement)


def rule_for(service: str, view: DirectoryView) -> CandidateRule:
    """Returns the rule by which a service's primary is replaced."""
    policy = view.table.services.get(service)
    if policy is None or policy.synchronous_replicas <= 0:
        return AsynchronousRule()
    return SynchronousRule(policy.synchronous_replicas)


def candidate_targets(service: str, view: DirectoryView) -> list[TargetEntry]:
    """Returns all targets of a service but its primary.

    A fenced primary is one of them: it takes over again if no other target can.
    """
    excluded_id = "" if service in view.fences else view.primaries.get(service, "")
    return [
        entry
        for entry in view.targets.values()
        if entry.service == service and entry.target_id != excluded_id
    ]


def count_unreachable_from(target_id: str, observations: list[Observation]) -> int:
    """Returns how many proxies can't reach a target."""
    return sum(
        1 for observation in observations if target_id in observation.unreachable
    )

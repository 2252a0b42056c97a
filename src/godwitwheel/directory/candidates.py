"""Decides which target replaces a primary, by what control has asked the targets."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..sessions.statements import Position
from .failover import Observation, is_confirmed_by_some
from .lost_targets import LostTarget
from .records import DirectoryView, Incarnation, TargetEntry


class Candidate:
    """A target that was asked for its position before a promotion.

    :ivar received: last log position that it received; ``None`` if it did not answer.
    :ivar term: newest term that it knows; 0 if it did not answer.
    :ivar unreachable_from: number of proxies that can't reach it.
    :ivar is_primary: whether it leads a term, which may have ended.
    """

    __slots__ = ("entry", "received", "term", "unreachable_from", "is_primary")

    def __init__(
        self,
        entry: TargetEntry,
        received: Position | None,
        term: int,
        unreachable_from: int,
        is_primary: bool = False,
    ):
        self.entry = entry
        self.received = received
        self.term = term
        self.unreachable_from = unreachable_from
        self.is_primary = is_primary


class Replacement:
    """What is known when a target is chosen to replace a primary.

    :ivar primary_id: the primary that is to be replaced, or an empty string.
    :ivar ordered_id: target that an earlier order may still promote, or empty.
    :ivar may_stay: whether the primary may go on as primary: it neither leaves nor is
        fenced.
    :ivar lost: targets of the service that are gone and may hold acknowledged commits.
    :ivar newest_term: newest term in which a target was seen to lead.
    :ivar awaits_followers: whether a target that follows the last promotion may still
        answer, so that no other one is promoted.
    """

    __slots__ = (
        "candidates",
        "observations",
        "primary_id",
        "ordered_id",
        "may_stay",
        "lost",
        "newest_term",
        "awaits_followers",
    )

    def __init__(
        self,
        candidates: list[Candidate],
        observations: list[Observation],
        primary_id: str,
        ordered_id: str = "",
        may_stay: bool = True,
        lost: Sequence[LostTarget] = (),
        newest_term: int = 0,
        awaits_followers: bool = False,
    ):
        self.candidates = candidates
        self.observations = observations
        self.primary_id = primary_id
        self.ordered_id = ordered_id
        self.may_stay = may_stay
        self.lost = lost
        self.newest_term = newest_term
        self.awaits_followers = awaits_followers

    def followers(self) -> list[Candidate]:
        """Returns the candidates that answered and follow the last promotion.

        The log of another one ends before that promotion. It lacks what was committed
        since, and may hold commits that were rolled back.
        """
        answered = self.responsive()
        newest = max([self.newest_term, *(each.term for each in answered)])
        return [each for each in answered if each.term == newest]

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

    def lost_replicas(self) -> set[Incarnation]:
        """Returns the lost incarnations that may alone hold a commit.

        The primary's commits are acknowledged by others.
        """
        return {each.incarnation for each in self.lost if not each.has_led}

    def is_primary(self, entry: TargetEntry) -> bool:
        """Whether an entry is the primary's, and not a later target's of its id."""
        has_lost_primary = any(each.has_led for each in self.lost)
        return entry.target_id == self.primary_id and not has_lost_primary

    def serves(self) -> bool:
        """Whether the primary may stay, and some proxy has confirmed it."""
        return self.may_stay and is_confirmed_by_some(
            self.primary_id, self.observations
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
    def asked_after_fence(
        self, service: str, view: DirectoryView, asked: list[Candidate]
    ) -> list[list[TargetEntry]]:
        """Returns the targets to ask once no process uses the primary any more.

        :param view: the view with the fence.
        :param asked: the candidates that were asked before.
        """

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

    def asked_after_fence(
        self, service: str, view: DirectoryView, asked: list[Candidate]
    ) -> list[list[TargetEntry]]:
        return [[each.entry for each in asked if each.received is not None]]

    def choose(self, replacement: Replacement) -> Candidate | None:
        """Returns the reachable target whose promotion loses the fewest writes.

        A target that an earlier order may still promote is chosen if it answered, since
        another choice could be overturned by that order. Otherwise a target that
        follows the last promotion is chosen, as long as one may answer.
        """
        responsive = replacement.responsive()
        for candidate in responsive:
            if candidate.entry.target_id == replacement.ordered_id:
                return candidate
        best = self._best_of(replacement.followers(), replacement)
        if best is not None or replacement.awaits_followers:
            return best
        return self._best_of(responsive, replacement)

    def _best_of(
        self, responsive: list[Candidate], replacement: Replacement
    ) -> Candidate | None:
        """Returns the best of some candidates, ``None`` if the primary is no worse.

        A fenced primary is chosen only if no other candidate is left.
        """
        eligible = responsive
        unconfirmed_count = replacement.unconfirmed_count()
        if unconfirmed_count:
            eligible = [
                each for each in responsive if each.unreachable_from < unconfirmed_count
            ]
        if not eligible:
            return None
        return max(
            eligible,
            key=lambda each: (
                each.entry.target_id != replacement.primary_id,
                each.received,
                -each.unreachable_from,
            ),
        )


class SynchronousRule(CandidateRule):
    """For services that acknowledge a commit once some replicas have received it.

    Every replica counts towards the acknowledgement until it ends, also one that
    leaves, so that each is asked and stops receiving. Each acknowledged commit is held
    by ``synchronous_replicas`` of them at least: if fewer did not answer, one of the
    others holds it, and too few are left for the primary to acknowledge another. A
    lost target did not answer either. The promoted target is one that has received all
    that any of them has.

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

    def asked_after_fence(
        self, service: str, view: DirectoryView, asked: list[Candidate]
    ) -> list[list[TargetEntry]]:
        # Those that were silent may answer by now, and may hold the most.
        return self.asked_targets(service, view)

    def choose(self, replacement: Replacement) -> Candidate | None:
        """Returns the target that has received most, however few proxies reach it.

        Once it leads, another target can receive its commits and replace it. A fenced
        primary holds every commit that was acknowledged, but is chosen only if no
        replica can be: it was given up for a reason.
        """
        replicas, primary = [], None
        # Whoever answers for a lost target is another one.
        silent = replacement.lost_replicas()
        for each in replacement.candidates:
            incarnation = each.entry.incarnation()
            if replacement.is_primary(each.entry):
                primary = each if each.received is not None else None
            elif each.received is None:
                silent.add(incarnation)
            elif incarnation not in silent:
                replicas.append(each)
        if len(silent) >= self.synchronous_replicas or not replicas:
            return primary
        best = max(
            replicas,
            key=lambda each: (
                each.received,
                each.entry.target_id == replacement.ordered_id,
                not each.entry.leaving,
                -each.unreachable_from,
            ),
        )
        is_better_reached = best.unreachable_from < replacement.unconfirmed_count()
        if replacement.serves() and not is_better_reached:
            # A promotion would interrupt the proxies that reach the primary.
            return None
        return best


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
    return targets_without(excluded_id, service, view)


def replicas_of(service: str, view: DirectoryView) -> list[TargetEntry]:
    """Returns all targets of a service but its primary, also if that is fenced."""
    return targets_without(view.primaries.get(service, ""), service, view)


def targets_without(
    excluded_id: str, service: str, view: DirectoryView
) -> list[TargetEntry]:
    """Returns all targets of a service but one."""
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

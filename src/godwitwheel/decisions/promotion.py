"""Replaces a group's primary: fence, wait for leases, choose, promote, serve.

Each step but the last is committed before the next begins, so a new leader goes
on where the last one stopped:

=========  ==================  ============================================
phase      primary             next step
=========  ==================  ============================================
no view    -                   choose the first primary among announced ones
serving    the primary         fence, once the primary is lost or leaves
fenced     empty               wait until no proxy may act on an older view,
                               then choose among ``promotable``
fenced     the candidate       order its promotion, then serve
=========  ==================  ============================================
"""

import msgspec

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role, TargetStatus
from .actions import Action, Note, OrderPromotion, Propose
from .candidates import is_leaving, preference, propose_view, sound_statuses
from .first_primary import FirstPrimaryController
from .groups import GroupFacts, GroupMemory

PROMOTE_SPACING_S = 0.1
ANSWER_WAIT_S = 0.15
MAX_PREVIOUS_TERMS = 32


class PromotionController:
    """Decides about the primary of one group.

    :ivar detection_s: silence after which a target counts as lost, in seconds.
    """

    __slots__ = ("detection_s", "memory", "first_primary")

    def __init__(self, memory: GroupMemory, detection_s: float):
        self.memory = memory
        self.detection_s = detection_s
        self.first_primary = FirstPrimaryController(memory, detection_s)

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns the next steps; none if the primary serves well."""
        view = facts.view
        if view is None:
            return self.first_primary.decide(facts, now)
        if view.phase is GroupPhase.serving:
            return self._fence_if_needed(facts, now)
        if not view.primary:
            return self._choose(facts, now)
        return self._promote(facts, now)

    # Serving.

    def _fence_if_needed(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        lost = facts.observations.is_unreachable(view.primary)
        if lost:
            return self._fence(facts, "unreachable")
        if is_leaving(facts, view.primary):
            return self._hand_over(facts)
        return self._check_role(facts, now)

    def _check_role(self, facts: GroupFacts, now: float) -> list[Action]:
        """Fences a primary that answers but is none any more.

        Reports arrive out of order, so the target itself is asked first.
        """
        view = facts.view
        direct = self.memory.direct_since(view.primary, self.memory.changed_time)
        if direct is not None:
            if direct.lost_log:
                return self._fence(facts, "log_lost")
            if not _leads(direct.status, view):
                return self._fence(facts, "not_primary")
        sighting = facts.observations.latest(view.primary)
        if sighting is None:
            return []
        status = sighting.status
        if _leads(status, view) and not self.memory.may_have_lost_log(status, view):
            return []
        return self.memory.query([view.primary], now)

    def _hand_over(self, facts: GroupFacts) -> list[Action]:
        successors = [
            target_id
            for target_id in facts.view.promotable
            if target_id != facts.view.primary
            and not is_leaving(facts, target_id)
            and facts.observations.is_reached(target_id)
        ]
        return self._fence(facts, "leaving") if successors else []

    def _fence(self, facts: GroupFacts, reason: str) -> list[Action]:
        view = facts.view
        others = [item for item in view.promotable if item != view.primary]
        kept = self._reachable(facts, others)
        if not kept:
            # Each of them, the lost primary too, holds every acknowledged write:
            # the first that returns may serve.
            kept = view.promotable
        return [self._commit_fence(facts, kept, reason)]

    # Fenced, no candidate yet.

    def _choose(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        reachable = self._reachable(facts, view.promotable)
        if reachable and len(reachable) < len(view.promotable):
            return [self._commit_fence(facts, reachable, "replica_lost")]
        since = self.memory.all_acted_time
        if since is None:
            return []
        candidate = self._best(facts, since, now)
        if candidate is None:
            return self.memory.query(view.promotable, now)
        return [self._commit_candidate(facts, candidate)]

    def _best(self, facts: GroupFacts, since: float, now: float) -> TargetStatus | None:
        """Returns the status of the one with the longest log, once all answered.

        Each of them holds every acknowledged write, so one that does not answer
        is waited for only shortly.
        """
        promotable = facts.view.promotable
        answers = [self.memory.direct_since(item, since) for item in promotable]
        sound = sound_statuses(answers)
        if not sound:
            return None
        if None in answers and now < since + ANSWER_WAIT_S:
            return None
        return max(sound, key=lambda status: preference(facts, status))

    def _commit_candidate(self, facts: GroupFacts, status: TargetStatus) -> Propose:
        view = facts.view
        known = [direct.status.term for direct in self.memory.direct.values()]
        previous = {**view.previous, view.term: view.term_start}
        oldest = sorted(previous)[:-MAX_PREVIOUS_TERMS]
        for term in oldest:
            del previous[term]
        new_view = msgspec.structs.replace(
            view,
            term=max([view.term, *known]) + 1,
            primary=status.target_id,
            # The promoted target's log starts here or later; all acknowledged
            # writes lie at or before it.
            term_start=status.position,
            previous=previous,
        )
        return propose_view(
            facts,
            self.memory,
            new_view,
            EventName.leases_out,
            candidate=status.target_id,
        )

    # Fenced, with a candidate.

    def _promote(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        direct = self.memory.direct_since(view.primary, self.memory.changed_time)
        if direct is not None and not direct.lost_log:
            if _leads(direct.status, view):
                return [self._serve(facts, direct.status)]
            if direct.status.term > view.term:
                return [self._commit_candidate(facts, direct.status)]
        if self._has_failed(facts, now):
            others = [item for item in view.promotable if item != view.primary]
            kept = self._reachable(facts, others)
            if kept:
                return [self._commit_fence(facts, kept, "candidate_lost")]
        if not self.memory.may_ask("promote", view.primary, now, PROMOTE_SPACING_S):
            return []
        floor = self.memory.floors.get(view.primary)
        order = OrderPromotion(view.primary, now, floor, view.term)
        return [order, *self.memory.query([view.primary], now)]

    def _has_failed(self, facts: GroupFacts, now: float) -> bool:
        if facts.observations.is_unreachable(facts.view.primary):
            return True
        return now >= self.memory.changed_time + 2 * self.detection_s

    def _serve(self, facts: GroupFacts, status: TargetStatus) -> Propose:
        new_view = msgspec.structs.replace(
            facts.view, phase=GroupPhase.serving, term_start=status.term_start
        )
        return propose_view(
            facts,
            self.memory,
            new_view,
            EventName.writes_accepted,
            primary=new_view.primary,
            term_start=new_view.term_start,
        )

    # Shared steps.

    def _reachable(self, facts: GroupFacts, target_ids: list[str]) -> list[str]:
        return [
            target_id
            for target_id in target_ids
            if not facts.observations.is_unreachable(target_id)
        ]

    def _commit_fence(self, facts: GroupFacts, kept: list[str], reason: str) -> Propose:
        view = facts.view
        new_view = msgspec.structs.replace(
            view,
            phase=GroupPhase.fenced,
            primary="",
            ack_set=list(kept),
            promotable=list(kept),
        )
        cause = None
        if view.primary:
            cause = Note(
                EventName.primary_lost,
                group=facts.group,
                primary=view.primary,
                term=view.term,
                reason=reason,
            )
        return propose_view(
            facts, self.memory, new_view, EventName.group_fenced, cause, promotable=kept
        )


def _leads(status: TargetStatus, view: GroupView) -> bool:
    """Whether a target says that it is the primary of the view's term."""
    return status.role is Role.primary and status.term == view.term

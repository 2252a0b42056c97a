"""Replaces a group's primary: fence, wait for leases, choose, promote, serve.

Each step but the last is committed before the next begins, so a new leader continues
where the previous one stopped:

=========  ==================  ============================================
phase      primary             next step
=========  ==================  ============================================
no view    -                   choose the first primary among announced targets
serving    the primary         fence, once the primary is unreachable or leaving
fenced     empty               wait until no proxy may use an older view,
                               then choose a candidate among ``promotable``
fenced     the candidate       send promotion orders to it, then serve
=========  ==================  ============================================
"""

import msgspec

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role, TargetStatus
from .actions import Action, OrderPromotion, Propose, RecordEvent
from .candidates import candidate_rank, intact_statuses, is_leaving, propose_view
from .first_primary import FirstPrimaryController
from .groups import GroupFacts, GroupTracker

PROMOTE_INTERVAL_S = 0.1
# How long to wait for the status of each promotable target before choosing one.
ANSWER_WAIT_S = 0.15
# Starts of earlier terms that a view keeps.
MAX_PREVIOUS_TERMS = 32


class PromotionController:
    """Chooses and replaces the primary of one group.

    :ivar detection_s: time without an answer after which a target counts as
        unreachable, in seconds.
    """

    __slots__ = ("detection_s", "tracker", "first_primary")

    def __init__(self, tracker: GroupTracker, detection_s: float):
        self.tracker = tracker
        self.detection_s = detection_s
        self.first_primary = FirstPrimaryController(tracker, detection_s)

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns the next actions; none while the primary is healthy."""
        view = facts.view
        if view is None:
            return self.first_primary.decide(facts, now)
        if view.phase is GroupPhase.serving:
            return self._fence_if_needed(facts, now)
        if not view.primary:
            return self._choose_candidate(facts, now)
        return self._promote(facts, now)

    # Serving.

    def _fence_if_needed(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        is_unreachable = facts.observations.is_unreachable(view.primary)
        if is_unreachable:
            return self._fence(facts, "unreachable")
        if is_leaving(facts, view.primary):
            return self._hand_over(facts)
        return self._check_role(facts, now)

    def _check_role(self, facts: GroupFacts, now: float) -> list[Action]:
        """Fences a target that answers but is no longer the primary or lost its log.

        Proxies' reports arrive out of order, so the target itself is queried first.
        """
        view = facts.view
        direct = self.tracker.direct_since(view.primary, self.tracker.change_seen_at)
        if direct is not None:
            if direct.lost_log:
                return self._fence(facts, "log_lost")
            if not _is_primary(direct.status, view):
                return self._fence(facts, "not_primary")
        observation = facts.observations.latest(view.primary)
        if observation is None:
            return []
        status = observation.status
        if _is_primary(status, view) and not self.tracker.may_have_lost_log(
            status, view
        ):
            return []
        return self.tracker.query([view.primary], now)

    def _hand_over(self, facts: GroupFacts) -> list[Action]:
        successors = [
            target_id
            for target_id in facts.view.promotable
            if target_id != facts.view.primary
            and not is_leaving(facts, target_id)
            and facts.observations.is_reached_by_any(target_id)
        ]
        return self._fence(facts, "leaving") if successors else []

    def _fence(self, facts: GroupFacts, reason: str) -> list[Action]:
        view = facts.view
        others = [item for item in view.promotable if item != view.primary]
        kept = self._reachable(facts, others)
        if not kept:
            # Each of them, including the unreachable primary, holds every
            # acknowledged write: the first that is reachable again may serve.
            kept = view.promotable
        return [self._commit_fence(facts, kept, reason)]

    # Fenced, no candidate yet.

    def _choose_candidate(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        reachable = self._reachable(facts, view.promotable)
        if reachable and len(reachable) < len(view.promotable):
            return [self._commit_fence(facts, reachable, "replica_lost")]
        since = self.tracker.adopted_at
        if since is None:
            return []
        candidate = self._best_candidate(facts, since, now)
        if candidate is None:
            return self.tracker.query(view.promotable, now)
        return [self._commit_candidate(facts, candidate)]

    def _best_candidate(
        self, facts: GroupFacts, since: float, now: float
    ) -> TargetStatus | None:
        """Returns the status of the preferred candidate, once all have answered.

        Each of them holds every acknowledged write, so the wait for one that does not
        answer is limited to ``ANSWER_WAIT_S``.

        :returns: ``None`` if none can be chosen yet.
        """
        promotable = facts.view.promotable
        answers = [self.tracker.direct_since(item, since) for item in promotable]
        intact = intact_statuses(answers)
        if not intact:
            return None
        if None in answers and now < since + ANSWER_WAIT_S:
            return None
        return max(intact, key=lambda status: candidate_rank(facts, status))

    def _commit_candidate(self, facts: GroupFacts, status: TargetStatus) -> Propose:
        view = facts.view
        known = [direct.status.term for direct in self.tracker.direct.values()]
        previous = {**view.previous, view.term: view.term_start}
        oldest = sorted(previous)[:-MAX_PREVIOUS_TERMS]
        for term in oldest:
            del previous[term]
        new_view = msgspec.structs.replace(
            view,
            term=max([view.term, *known]) + 1,
            primary=status.target_id,
            # The promoted target's term starts here or later; all acknowledged
            # writes lie at or before it.
            term_start=status.position,
            previous=previous,
        )
        return propose_view(
            facts,
            self.tracker,
            new_view,
            EventName.leases_out,
            candidate=status.target_id,
        )

    # Fenced, with a candidate.

    def _promote(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        direct = self.tracker.direct_since(view.primary, self.tracker.change_seen_at)
        if direct is not None and not direct.lost_log:
            if _is_primary(direct.status, view):
                return [self._serve(facts, direct.status)]
            if direct.status.term > view.term:
                return [self._commit_candidate(facts, direct.status)]
        if self._has_failed(facts, now):
            others = [item for item in view.promotable if item != view.primary]
            kept = self._reachable(facts, others)
            if kept:
                return [self._commit_fence(facts, kept, "candidate_lost")]
        if not self.tracker.start_request(
            "promote", view.primary, now, PROMOTE_INTERVAL_S
        ):
            return []
        floor = self.tracker.floors.get(view.primary)
        order = OrderPromotion(view.primary, now, floor, view.term)
        return [order, *self.tracker.query([view.primary], now)]

    def _has_failed(self, facts: GroupFacts, now: float) -> bool:
        if facts.observations.is_unreachable(facts.view.primary):
            return True
        return now >= self.tracker.change_seen_at + 2 * self.detection_s

    def _serve(self, facts: GroupFacts, status: TargetStatus) -> Propose:
        new_view = msgspec.structs.replace(
            facts.view, phase=GroupPhase.serving, term_start=status.term_start
        )
        return propose_view(
            facts,
            self.tracker,
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
        proposed_event = None
        if view.primary:
            proposed_event = RecordEvent(
                EventName.primary_lost,
                group=facts.group,
                primary=view.primary,
                term=view.term,
                reason=reason,
            )
        return propose_view(
            facts,
            self.tracker,
            new_view,
            EventName.group_fenced,
            proposed_event,
            promotable=kept,
        )


def _is_primary(status: TargetStatus, view: GroupView) -> bool:
    """Whether a target reports that it is the primary of the view's term."""
    return status.role is Role.primary and status.term == view.term

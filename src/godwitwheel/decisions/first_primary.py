"""Chooses the first primary of a group that has no view yet."""

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role, TargetStatus
from .actions import Action, Propose
from .candidates import candidate_rank, intact_statuses, propose_view
from .groups import GroupFacts, GroupTracker

INCOMPLETE_WAIT_FACTOR = 5.0


class FirstPrimaryController:
    """Waits until the set of announced targets is stable, then chooses a primary.

    A target that reports the primary role is preferred. Without one, or while some
    target does not answer, the controller waits ``INCOMPLETE_WAIT_FACTOR`` times as
    long.

    :ivar settle_s: how long the set of announced targets must stay the same, in
        seconds.
    :ivar announced: the targets that have announced themselves and are not leaving.
    :ivar announced_since: when that set last changed, in seconds of the clock.
    """

    __slots__ = ("tracker", "settle_s", "announced", "announced_since")

    def __init__(self, tracker: GroupTracker, settle_s: float):
        self.tracker = tracker
        self.settle_s = settle_s
        self.announced: frozenset[str] = frozenset()
        self.announced_since = 0.0

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns status queries or, once a primary is chosen, the first view."""
        self._update_announced(facts, now)
        waited_s = now - self.announced_since
        if not self.announced or waited_s < self.settle_s:
            return []
        queried = sorted(self.announced)
        since = self.announced_since
        answers = [self.tracker.direct_since(item, since) for item in queried]
        known = intact_statuses(answers)
        primaries = [status for status in known if status.role is Role.primary]
        is_complete = bool(primaries) and len(known) == len(queried)
        waited_long = bool(known) and waited_s >= INCOMPLETE_WAIT_FACTOR * self.settle_s
        if not is_complete and not waited_long:
            return self.tracker.query(queried, now)
        primary = max(
            primaries or known, key=lambda status: candidate_rank(facts, status)
        )
        return [self._commit(facts, primary, known)]

    def _update_announced(self, facts: GroupFacts, now: float) -> None:
        announced = frozenset(
            item.target_id for item in facts.records.values() if not item.leaving
        )
        if announced != self.announced:
            self.announced = announced
            self.announced_since = now

    def _commit(
        self, facts: GroupFacts, primary: TargetStatus, known: list[TargetStatus]
    ) -> Propose:
        view = GroupView(
            group=facts.group,
            term=max(status.term for status in known) + 1,
            phase=GroupPhase.fenced,
            primary=primary.target_id,
            term_start=primary.position,
            ack_set=[primary.target_id],
            promotable=[primary.target_id],
        )
        return propose_view(
            facts,
            self.tracker,
            view,
            EventName.leases_out,
            candidate=primary.target_id,
        )

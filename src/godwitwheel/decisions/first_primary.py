"""Chooses the first primary of a group that has no view yet."""

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role, TargetStatus
from .actions import Action, Propose
from .candidates import preference, propose_view, sound_statuses
from .groups import GroupFacts, GroupMemory

WAIT_FACTOR = 5.0


class FirstPrimaryController:
    """Waits until the announced targets are the same for a while, then chooses.

    A target that says it is primary goes first. Without one, or while some target
    does not answer, it waits ``WAIT_FACTOR`` times as long.

    :ivar settle_s: how long the announced targets must stay the same, in seconds.
    :ivar announced: the targets that have announced themselves.
    :ivar announced_since: when that set last changed, in seconds of the clock.
    """

    __slots__ = ("memory", "settle_s", "announced", "announced_since")

    def __init__(self, memory: GroupMemory, settle_s: float):
        self.memory = memory
        self.settle_s = settle_s
        self.announced: frozenset[str] = frozenset()
        self.announced_since = 0.0

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns questions to targets or, in the end, the first view."""
        self._note_announced(facts, now)
        waited_s = now - self.announced_since
        if not self.announced or waited_s < self.settle_s:
            return []
        asked = sorted(self.announced)
        since = self.announced_since
        answers = [self.memory.direct_since(item, since) for item in asked]
        known = sound_statuses(answers)
        primaries = [status for status in known if status.role is Role.primary]
        is_complete = bool(primaries) and len(known) == len(asked)
        waited_long = bool(known) and waited_s >= WAIT_FACTOR * self.settle_s
        if not is_complete and not waited_long:
            return self.memory.query(asked, now)
        first = max(primaries or known, key=lambda status: preference(facts, status))
        return [self._commit(facts, first, known)]

    def _note_announced(self, facts: GroupFacts, now: float) -> None:
        announced = frozenset(
            item.target_id for item in facts.records.values() if not item.leaving
        )
        if announced != self.announced:
            self.announced = announced
            self.announced_since = now

    def _commit(
        self, facts: GroupFacts, first: TargetStatus, known: list[TargetStatus]
    ) -> Propose:
        view = GroupView(
            group=facts.group,
            term=max(status.term for status in known) + 1,
            phase=GroupPhase.fenced,
            primary=first.target_id,
            term_start=first.position,
            ack_set=[first.target_id],
            promotable=[first.target_id],
        )
        return propose_view(
            facts,
            self.memory,
            view,
            EventName.leases_out,
            candidate=first.target_id,
        )

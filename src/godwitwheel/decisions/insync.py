"""Which replicas an acknowledgement waits for, and which may be promoted.

A proxy with a valid lease may act on an older view for a while, so a replica joins
and leaves in two steps, each begun only once no proxy may act on the view before:

- joining: first into ``ack_set``; then, when it has reached a position that the
  primary reported after every proxy waited for it, into ``promotable``;
- leaving: first out of ``promotable``; then out of ``ack_set``.

So every acknowledged write is on every target that is ``promotable`` in any view
that is still acted on.
"""

import msgspec

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role
from .actions import Action, OrderFollow, Propose
from .candidates import propose_view
from .groups import GroupFacts, GroupMemory

FOLLOW_SPACING_S = 0.2
FOLLOW_AGAIN_SPACING_S = 2.0
BACK_OFF_S = 2.0


class InSyncController:
    """Decides about the replicas of one group while its primary serves.

    :ivar in_sync_lag_s: lag beyond which a replica leaves, in seconds.
    """

    __slots__ = ("memory", "in_sync_lag_s")

    def __init__(self, memory: GroupMemory, in_sync_lag_s: float):
        self.memory = memory
        self.in_sync_lag_s = in_sync_lag_s

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns orders to follow and at most one change of the view."""
        view = facts.view
        if view is None or view.phase is not GroupPhase.serving:
            return []
        return [
            *self._follow_orders(facts, now),
            *self._check_logs(facts, now),
            *self._change_sets(facts, now),
        ]

    def _follow_orders(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        orders = []
        for target_id in sorted(facts.records):
            if target_id == view.primary or self._must_leave_first(facts, target_id):
                continue
            spacing_s = self._follow_spacing_s(facts, target_id)
            if spacing_s is None:
                continue
            if self.memory.may_ask("follow", target_id, now, spacing_s):
                floor = self.memory.floors.get(target_id)
                orders.append(
                    OrderFollow(target_id, now, floor, view.term, view.primary)
                )
        return orders

    def _must_leave_first(self, facts: GroupFacts, target_id: str) -> bool:
        """Whether a member has less than before.

        Following would let its position grow past what shows the loss, while it
        still counts as one that holds every acknowledged write.
        """
        sighting = facts.observations.latest(target_id)
        if sighting is None or target_id not in facts.view.ack_set:
            return False
        return self.memory.may_have_lost_log(sighting.status, facts.view)

    def _follow_spacing_s(self, facts: GroupFacts, target_id: str) -> float | None:
        """Returns how often to order a target to follow; ``None`` for never."""
        sighting = facts.observations.latest(target_id)
        direct = self.memory.direct_since(target_id, self.memory.changed_time)
        if sighting is None and direct is None:
            return FOLLOW_AGAIN_SPACING_S
        status = direct.status if sighting is None else sighting.status
        if status.term < facts.view.term or status.role is Role.primary:
            return FOLLOW_SPACING_S
        if self.memory.lag_s(target_id, facts) > self.in_sync_lag_s:
            return FOLLOW_AGAIN_SPACING_S
        return None

    def _check_logs(self, facts: GroupFacts, now: float) -> list[Action]:
        """Asks members themselves that, as reported, have less than before."""
        doubtful = []
        for target_id in facts.view.ack_set:
            sighting = facts.observations.latest(target_id)
            if sighting is None or target_id == facts.view.primary:
                continue
            if self.memory.may_have_lost_log(sighting.status, facts.view):
                doubtful.append(target_id)
        return self.memory.query(doubtful, now)

    def _change_sets(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        replicas = [item for item in view.ack_set if item != view.primary]
        unfit = [item for item in replicas if self._is_unfit(facts, item)]
        for target_id in unfit:
            self.memory.back_off_until[target_id] = now + BACK_OFF_S
        if any(item in view.promotable for item in unfit):
            return [self._shrink_promotable(facts, unfit)]
        waiting = [item for item in replicas if item not in view.promotable]
        if waiting:
            return self._finish_step(facts, waiting, unfit, now)
        return self._join(facts, now)

    def _finish_step(
        self, facts: GroupFacts, waiting: list[str], unfit: list[str], now: float
    ) -> list[Action]:
        since = self.memory.all_acted_time
        if since is None:
            return []
        out = [item for item in waiting if item in unfit]
        if out:
            return [self._shrink_ack_set(facts, out)]
        primary = self.memory.direct_since(facts.view.primary, since)
        if primary is None or primary.status.term != facts.view.term:
            return self.memory.query([facts.view.primary], now)
        caught_up = [
            item
            for item in waiting
            if self._has_reached(facts.view, item, primary.status.position, since)
        ]
        if caught_up:
            return [self._extend_promotable(facts, caught_up)]
        return self.memory.query(waiting, now)

    def _has_reached(
        self, view: GroupView, target_id: str, position: int, since: float
    ) -> bool:
        direct = self.memory.direct_since(target_id, since)
        if direct is None or direct.lost_log or direct.status.term != view.term:
            return False
        return direct.status.position >= position

    def _is_unfit(self, facts: GroupFacts, target_id: str) -> bool:
        record = facts.records.get(target_id)
        if record is None or record.leaving:
            return True
        direct = self.memory.direct.get(target_id)
        if direct is not None and direct.lost_log:
            return True
        if facts.observations.is_unreachable(target_id):
            return True
        return self.memory.lag_s(target_id, facts) > self.in_sync_lag_s

    def _join(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        ready = [
            item
            for item in sorted(facts.records)
            if item not in view.ack_set and self._may_join(facts, item, now)
        ]
        if not ready:
            return []
        for target_id in ready:
            # A target that lost its log joins like a new one; what it held before
            # no longer counts.
            self.memory.forget_log(target_id)
        new_view = msgspec.structs.replace(view, ack_set=[*view.ack_set, *ready])
        return [self._change(facts, new_view, joining=ready)]

    def _may_join(self, facts: GroupFacts, target_id: str, now: float) -> bool:
        if now < self.memory.back_off_until.get(target_id, 0.0):
            return False
        if facts.records[target_id].leaving:
            return False
        sighting = facts.observations.latest(target_id)
        if sighting is None or sighting.status.term != facts.view.term:
            return False
        if sighting.status.role is not Role.replica or not self.memory.samples:
            return False
        if facts.observations.is_unreachable(target_id):
            return False
        lag_s = self.memory.lag_s(target_id, facts)
        return lag_s <= self.in_sync_lag_s / 2

    def _shrink_promotable(self, facts: GroupFacts, unfit: list[str]) -> Propose:
        kept = [item for item in facts.view.promotable if item not in unfit]
        new_view = msgspec.structs.replace(facts.view, promotable=kept)
        return self._change(facts, new_view, leaving=unfit)

    def _shrink_ack_set(self, facts: GroupFacts, out: list[str]) -> Propose:
        kept = [item for item in facts.view.ack_set if item not in out]
        new_view = msgspec.structs.replace(facts.view, ack_set=kept)
        return self._change(facts, new_view, left=out)

    def _extend_promotable(self, facts: GroupFacts, caught_up: list[str]) -> Propose:
        promotable = [*facts.view.promotable, *caught_up]
        new_view = msgspec.structs.replace(facts.view, promotable=promotable)
        return self._change(facts, new_view, joined=caught_up)

    def _change(self, facts: GroupFacts, view: GroupView, **fields: object) -> Propose:
        return propose_view(
            facts,
            self.memory,
            view,
            EventName.ack_set_changed,
            ack_set=view.ack_set,
            promotable=view.promotable,
            **fields,
        )

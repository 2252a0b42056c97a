"""Decides which replicas an acknowledgement waits for, and which may be promoted.

A proxy with a valid lease may use an older view for a while. So a replica joins and
leaves in two steps, each started only once no proxy may still use the previous view:

- joining: first into ``ack_set``; then into ``promotable``, once it has reached a
  position that the primary reported after every proxy waited for the replica;
- leaving: first out of ``promotable``; then out of ``ack_set``.

So every acknowledged write is on every target that is ``promotable`` in any view that
a proxy may still use.
"""

import msgspec

from ..observe.events import EventName
from ..wire.control import GroupPhase, GroupView
from ..wire.target import Role
from .actions import Action, OrderFollow, Propose
from .candidates import propose_view
from .groups import GroupFacts, GroupTracker

# Between follow orders to a target that does not follow the primary yet.
FOLLOW_INTERVAL_S = 0.2
# Between follow orders to one that lags or whose status is unknown.
FOLLOW_RETRY_INTERVAL_S = 2.0
# From the removal of a replica until it may join again.
REJOIN_BACKOFF_S = 2.0


class InSyncController:
    """Manages the in-sync replicas of one group while its primary serves.

    :ivar in_sync_lag_s: lag beyond which a replica is removed, in seconds.
    """

    __slots__ = ("tracker", "in_sync_lag_s")

    def __init__(self, tracker: GroupTracker, in_sync_lag_s: float):
        self.tracker = tracker
        self.in_sync_lag_s = in_sync_lag_s

    def decide(self, facts: GroupFacts, now: float) -> list[Action]:
        """Returns follow orders, status queries and at most one change of the view."""
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
            if target_id == view.primary or self._needs_removal(facts, target_id):
                continue
            interval_s = self._follow_interval_s(facts, target_id)
            if interval_s is None:
                continue
            if self.tracker.start_request("follow", target_id, now, interval_s):
                floor = self.tracker.floors.get(target_id)
                orders.append(
                    OrderFollow(target_id, now, floor, view.term, view.primary)
                )
        return orders

    def _needs_removal(self, facts: GroupFacts, target_id: str) -> bool:
        """Whether a member of the acknowledgement set may have lost log entries.

        It must not follow before it is removed: replication would raise its position
        above the floor that reveals the loss, while it still counts as holding every
        acknowledged write.
        """
        observation = facts.observations.latest(target_id)
        if observation is None or target_id not in facts.view.ack_set:
            return False
        return self.tracker.may_have_lost_log(observation.status, facts.view)

    def _follow_interval_s(self, facts: GroupFacts, target_id: str) -> float | None:
        """Returns the interval between follow orders; ``None`` if none is needed."""
        observation = facts.observations.latest(target_id)
        direct = self.tracker.direct_since(target_id, self.tracker.change_seen_at)
        if observation is None and direct is None:
            return FOLLOW_RETRY_INTERVAL_S
        status = direct.status if observation is None else observation.status
        if status.term < facts.view.term or status.role is Role.primary:
            return FOLLOW_INTERVAL_S
        if self.tracker.lag_s(target_id, facts) > self.in_sync_lag_s:
            return FOLLOW_RETRY_INTERVAL_S
        return None

    def _check_logs(self, facts: GroupFacts, now: float) -> list[Action]:
        """Queries members that may have lost log entries according to proxies."""
        suspected = []
        for target_id in facts.view.ack_set:
            observation = facts.observations.latest(target_id)
            if observation is None or target_id == facts.view.primary:
                continue
            if self.tracker.may_have_lost_log(observation.status, facts.view):
                suspected.append(target_id)
        return self.tracker.query(suspected, now)

    def _change_sets(self, facts: GroupFacts, now: float) -> list[Action]:
        view = facts.view
        replicas = [item for item in view.ack_set if item != view.primary]
        unfit = [item for item in replicas if self._is_unfit(facts, item)]
        for target_id in unfit:
            self.tracker.back_off_until[target_id] = now + REJOIN_BACKOFF_S
        if any(item in view.promotable for item in unfit):
            return [self._shrink_promotable(facts, unfit)]
        pending = [item for item in replicas if item not in view.promotable]
        if pending:
            return self._complete_pending_step(facts, pending, unfit, now)
        return self._join(facts, now)

    def _complete_pending_step(
        self, facts: GroupFacts, pending: list[str], unfit: list[str], now: float
    ) -> list[Action]:
        since = self.tracker.adopted_at
        if since is None:
            return []
        removable = [item for item in pending if item in unfit]
        if removable:
            return [self._shrink_ack_set(facts, removable)]
        primary = self.tracker.direct_since(facts.view.primary, since)
        if primary is None or primary.status.term != facts.view.term:
            return self.tracker.query([facts.view.primary], now)
        caught_up = [
            item
            for item in pending
            if self._has_reached(facts.view, item, primary.status.position, since)
        ]
        if caught_up:
            return [self._extend_promotable(facts, caught_up)]
        return self.tracker.query(pending, now)

    def _has_reached(
        self, view: GroupView, target_id: str, position: int, since: float
    ) -> bool:
        direct = self.tracker.direct_since(target_id, since)
        if direct is None or direct.lost_log or direct.status.term != view.term:
            return False
        return direct.status.position >= position

    def _is_unfit(self, facts: GroupFacts, target_id: str) -> bool:
        record = facts.records.get(target_id)
        if record is None or record.leaving:
            return True
        direct = self.tracker.direct.get(target_id)
        if direct is not None and direct.lost_log:
            return True
        if facts.observations.is_unreachable(target_id):
            return True
        return self.tracker.lag_s(target_id, facts) > self.in_sync_lag_s

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
            # A target that lost its log joins like a new one, without its old floor.
            self.tracker.remove_log_state(target_id)
        new_view = msgspec.structs.replace(view, ack_set=[*view.ack_set, *ready])
        return [self._propose_change(facts, new_view, joining=ready)]

    def _may_join(self, facts: GroupFacts, target_id: str, now: float) -> bool:
        if now < self.tracker.back_off_until.get(target_id, 0.0):
            return False
        if facts.records[target_id].leaving:
            return False
        observation = facts.observations.latest(target_id)
        if observation is None or observation.status.term != facts.view.term:
            return False
        if observation.status.role is not Role.replica or not self.tracker.samples:
            return False
        if facts.observations.is_unreachable(target_id):
            return False
        lag_s = self.tracker.lag_s(target_id, facts)
        return lag_s <= self.in_sync_lag_s / 2

    def _shrink_promotable(self, facts: GroupFacts, unfit: list[str]) -> Propose:
        kept = [item for item in facts.view.promotable if item not in unfit]
        new_view = msgspec.structs.replace(facts.view, promotable=kept)
        return self._propose_change(facts, new_view, leaving=unfit)

    def _shrink_ack_set(self, facts: GroupFacts, removable: list[str]) -> Propose:
        kept = [item for item in facts.view.ack_set if item not in removable]
        new_view = msgspec.structs.replace(facts.view, ack_set=kept)
        return self._propose_change(facts, new_view, left=removable)

    def _extend_promotable(self, facts: GroupFacts, caught_up: list[str]) -> Propose:
        promotable = [*facts.view.promotable, *caught_up]
        new_view = msgspec.structs.replace(facts.view, promotable=promotable)
        return self._propose_change(facts, new_view, joined=caught_up)

    def _propose_change(
        self, facts: GroupFacts, view: GroupView, **fields: object
    ) -> Propose:
        return propose_view(
            facts,
            self.tracker,
            view,
            EventName.ack_set_changed,
            ack_set=view.ack_set,
            promotable=view.promotable,
            **fields,
        )

"""Carries out the replacement of a primary."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..internal.clock import Clock
from ..internal.loop import sleep
from ..observe.events import EventName, record_event
from ..sessions.connections.connection import StepDown
from .candidates import Candidate, Replacement, rule_for, targets_without
from .commands import SetPrimary
from .confirmation import COMMAND_TIMEOUT_S, confirm_leader
from .errors import (
    PromotionFailed,
    PromotionFenced,
    PromotionNotSent,
    PromotionWithheld,
)
from .failover import PROMOTION_GRACE_S, Observation
from .fencing import PrimaryFence
from .leadership import DirectoryLeadership, PromotionOrder
from .lost_targets import LostTarget
from .pausing import ReplicaPauses
from .promotion_terms import PromotionTerms
from .records import DirectoryView, TargetEntry
from .target_queries import TargetQueries

# Delay before a retry of a failed promotion, in seconds.
RETRY_DELAY_S = 0.15
# How often, and how many times, replicas are asked whether one has received all that a
# primary had when it stepped down. The end of its log may have reached none of them.
CATCH_UP_POLL_S = 0.05
CATCH_UP_POLLS = 10
# How long a promotion waits for a target that follows the last one, in seconds. Those
# that stay away longer are forgotten soon after.
FOLLOWER_WAIT_S = 10.0
# Fencing tokens per term: a token of a later term is above all of an earlier one.
TOKENS_PER_TERM = 1_000_000


class PromotionClient(ABC):
    """Sends promotion orders to the platform, which carries them out."""

    @abstractmethod
    def promote(self, service: str, target_id: str, token: int, timeout_s: float):
        """Orders a promotion.

        :param token: fencing token; the platform refuses lower ones afterwards.
        :raises PromotionFenced: if the platform refused the order.
        :raises PromotionNotSent: if the order certainly did not reach it.
        :raises PromotionFailed: if the outcome is unknown; the order may still be
            carried out.
        """


class Choice:
    """The target that is to be promoted.

    :ivar newest_term: newest term that a target of the service has answered.
    """

    __slots__ = ("candidate", "newest_term")

    def __init__(self, candidate: Candidate, newest_term: int):
        self.candidate = candidate
        self.newest_term = newest_term


def fencing_token(leadership: DirectoryLeadership) -> int:
    """Returns a fencing token above those of all earlier orders.

    A term has one leader, and its first entry was committed before the leader could
    send an order. Each order of a term gets its own token, so that a delayed order is
    refused once a later one was received.
    """
    leadership.orders_issued += 1
    return leadership.term * TOKENS_PER_TERM + leadership.orders_issued


class Promoter:
    """Replaces primaries; each call of :meth:`replace` runs in its own task.

    :ivar commit: commits a command and returns whether it changed anything.
    :ivar confirm: returns once a quorum has confirmed this leader, or raises.
    :ivar fence: ends the use of the former primary.
    :ivar pauses: records the pauses of synchronous replicas.
    :ivar read_lost: returns the lost targets of a service.
    :ivar read_terms: returns what is known of the terms of a service's promotions.
    """

    __slots__ = (
        "queries",
        "promotion_client",
        "clock",
        "commit",
        "confirm",
        "fence",
        "pauses",
        "read_lost",
        "read_terms",
    )

    def __init__(
        self,
        queries: TargetQueries,
        promotion_client: PromotionClient,
        clock: Clock,
        commit,
        confirm,
        fence: PrimaryFence,
        pauses: ReplicaPauses,
        read_lost: Callable[[str], list[LostTarget]],
        read_terms: Callable[[str], PromotionTerms],
    ):
        self.queries = queries
        self.promotion_client = promotion_client
        self.clock = clock
        self.commit = commit
        self.confirm = confirm
        self.fence = fence
        self.pauses = pauses
        self.read_lost = read_lost
        self.read_terms = read_terms

    def replace(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        observations: list[Observation],
        reason: str,
    ) -> None:
        """Chooses a target and orders its promotion.

        :raises PromotionWithheld: if no target can be promoted; nothing was ordered.
        :raises PromotionFailed: if no order was sent, or it was not confirmed.
        """
        asked = rule_for(service, view).asked_targets(service, view)
        candidates = self.queries.ask_all(asked, observations)
        promoted = self.fence.find_promoted(service, candidates)
        if promoted is not None:
            # Its order was carried out after the answer was lost, or after its leader
            # had ended.
            self._name(service, promoted.entry.target_id, 0, promoted.term)
            return
        choice = self._choose(
            leadership, service, view, candidates, observations, reason
        )
        candidate = choice.candidate
        target_id = candidate.entry.target_id
        self.fence.prepare_order(leadership, service, target_id, choice.newest_term)
        pending_id = self.pauses.candidate_of(service)
        if rule_for(service, view).pauses_replicas:
            self.pauses.record_candidate(service, target_id)
        self._confirm_leadership()
        previous = leadership.orders.get(service)
        order = self._next_order(leadership, service, target_id)
        record_event(
            EventName.promotion_ordered,
            service=service,
            target_id=target_id,
            before=view.primaries.get(service, ""),
            token=order.token,
            reason=reason,
            received=repr(candidate.received),
            term=candidate.term,
            newest_term=self.read_terms(service).newest,
            missed_by=candidate.unreachable_from,
        )
        try:
            self._send_order(order, service, is_retry=order is previous)
        except PromotionFailed:
            if not order.is_unanswered and not pending_id and order is not previous:
                # No order can be carried out late.
                self.pauses.forget_candidate(service)
            raise
        record_event(
            EventName.promotion_answered,
            service=service,
            target_id=target_id,
            token=order.token,
            outcome="done",
        )
        term = self.fence.await_promotion(service, candidate.entry, order)
        self._name(service, target_id, order.token, term)

    def _name(self, service: str, target_id: str, token: int, term: int) -> None:
        """Commits a primary, from when on processes rely on it.

        :param term: term in which it was seen to lead; 0 if that is not known.
        """
        self.commit(SetPrimary(service, target_id, token, term))
        record_event(
            EventName.primary_named,
            service=service,
            target_id=target_id,
            token=token,
            term=term,
        )

    def _choose(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        candidates: list[Candidate],
        observations: list[Observation],
        reason: str,
    ) -> Choice:
        """Returns the target to promote, once nobody relies on the primary any more.

        :param candidates: the targets as they have answered before that.
        """
        rule = rule_for(service, view)
        chosen = self._select(
            leadership, service, view, candidates, observations, reason
        )
        fenced = self.fence.establish(leadership, service, view)
        newest_term = max(each.term for each in candidates)
        if fenced is view and not rule.pauses_replicas:
            return Choice(chosen, newest_term)
        # Positions may have changed while the leases were waited for.
        asked = rule.asked_after_fence(service, fenced, candidates)
        if rule.pauses_replicas:
            term = newest_term + 1
            if fenced is view:
                self._stop_primary(service, view, asked, term)
            candidates = self.pauses.pause(service, asked, term, observations)
        else:
            candidates = self.queries.ask_all(asked, observations)
        chosen = self._select(
            leadership, service, fenced, candidates, observations, reason
        )
        return Choice(chosen, max(newest_term, *(each.term for each in candidates)))

    def _stop_primary(
        self,
        service: str,
        view: DirectoryView,
        replicas: list[list[TargetEntry]],
        term: int,
    ) -> None:
        """Tells a primary that answers to step down, and lets the replicas catch up.

        A replica that control doesn't know yet is neither paused nor asked. It would
        go on acknowledging commits that the promoted target lacks.
        """
        primary = view.targets.get(view.primaries.get(service, ""))
        if primary is None:
            return
        (stopped,) = self.queries.command_all([[primary]], StepDown(term), [])
        record_event(
            EventName.primary_stepped_down,
            service=service,
            target_id=primary.target_id,
            below_term=term,
            received=repr(stopped.received),
        )
        if stopped.received is None or self.pauses.may_be_paused(service):
            return
        for _ in range(CATCH_UP_POLLS):
            answers = self.queries.ask_all(replicas, [])
            numbers = [each.received.number for each in answers if each.received]
            if stopped.received.number <= max(numbers, default=0):
                return
            sleep(CATCH_UP_POLL_S)

    def _confirm_leadership(self) -> None:
        """Returns if this member has led until just now.

        :raises PromotionFailed: if it may have lost the lead meanwhile.
        """
        send_before = confirm_leader(self.confirm, self.clock)
        if self.clock.now() > send_before:
            raise PromotionFailed("the confirmation of this leader took too long")

    def _next_order(
        self, leadership: DirectoryLeadership, service: str, target_id: str
    ) -> PromotionOrder:
        """Returns the order to send.

        An unanswered order is retried with the same token: a higher one would fence
        off the first attempt, which may still be carried out.
        """
        now = self.clock.now()
        retry_at = now + PROMOTION_GRACE_S
        order = leadership.orders.get(service)
        if order is not None and order.is_unanswered and order.target_id == target_id:
            order.sent_at = now
            order.retry_at = retry_at
            return order
        order = PromotionOrder(target_id, fencing_token(leadership), now, retry_at)
        leadership.orders[service] = order
        return order

    def _send_order(self, order: PromotionOrder, service: str, is_retry: bool) -> None:
        try:
            self.promotion_client.promote(
                service, order.target_id, order.token, COMMAND_TIMEOUT_S
            )
        except PromotionFenced:
            order.is_unanswered = False
            raise
        except PromotionNotSent:
            # An earlier attempt may have reached the platform.
            order.is_unanswered = is_retry
            raise
        order.is_unanswered = False

    def _select(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        candidates: list[Candidate],
        observations: list[Observation],
        reason: str,
    ) -> Candidate:
        primary_id = view.primaries.get(service, "")
        pending_id = self.pauses.candidate_of(service)
        primary = view.targets.get(primary_id)
        lost = self.read_lost(service)
        may_stay = (
            primary is not None
            and not primary.leaving
            and service not in view.fences
            and not pending_id
        )
        ordered_id = view.fences.get(service, pending_id)
        replacement = Replacement(
            candidates,
            observations,
            primary_id,
            ordered_id,
            may_stay,
            lost,
            self.read_terms(service).newest,
            self._awaits_followers(leadership, service, view, candidates),
        )
        candidate = rule_for(service, view).choose(replacement)
        if candidate in replacement.followers():
            leadership.withheld_since.pop(service, None)
        if candidate is None:
            record_event(
                EventName.promotion_withheld,
                service=service,
                reason=reason,
                why="no candidate that answered follows the last promotion and is "
                "reached by more proxies, or too many replicas of a synchronous "
                "service did not answer",
                newest_term=self.read_terms(service).newest,
                terms={each.entry.target_id: each.term for each in candidates},
                silent=[
                    each.entry.target_id for each in candidates if each.received is None
                ],
                lost=[each.incarnation.target_id for each in lost],
            )
            raise PromotionWithheld("no candidate")
        return candidate

    def _awaits_followers(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        candidates: list[Candidate],
    ) -> bool:
        """Whether a target that follows the last promotion may still be promoted.

        Only one that control knows and that did not answer may follow it: the others
        are counted already. The wait for it begins with the first call, and starts
        anew once a target that follows was chosen, or the primary is kept.
        """
        answered = {
            each.entry.target_id for each in candidates if each.received is not None
        }
        primary_id = view.primaries.get(service, "")
        known = {
            entry.target_id
            for entry in targets_without("", service, view)
            if entry.target_id == primary_id or not entry.leaving
        }
        if known <= answered:
            return False
        now = self.clock.now()
        since = leadership.withheld_since.setdefault(service, now)
        return now - since < FOLLOWER_WAIT_S


def retry_delay_after(error: PromotionFailed) -> float:
    """Returns the delay before a failed promotion is retried, in seconds."""
    return RETRY_DELAY_S if isinstance(error, PromotionFenced) else 2 * RETRY_DELAY_S

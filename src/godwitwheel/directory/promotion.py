"""Carries out the replacement of a primary."""

from abc import ABC, abstractmethod

from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event, record_failure
from ..sessions.connections.connection import (
    AskStatus,
    Command,
    Connector,
    PauseReceiving,
    ReplicaStatus,
)
from ..sessions.errors import SessionsError
from .candidates import (
    Candidate,
    CandidateRule,
    Replacement,
    count_unreachable_from,
    rule_for,
)
from .commands import SetPrimary
from .errors import PromotionFailed, PromotionFenced
from .failover import PROMOTION_GRACE_S, Observation
from .fencing import PrimaryFence
from .leadership import DirectoryLeadership, PromotionOrder
from .records import NO_ACCOUNT, DirectoryView, TargetEntry

STATUS_TIMEOUT_S = 0.4
# The platform usually answers within about 20 ms, unless the network delays the order
# or its answer.
ORDER_TIMEOUT_S = 0.4
# Longest time that confirming the leader may take before an order, in seconds.
# A new leader sends none until longer than this after its election.
MAX_CONFIRMATION_S = 0.3
# Delay before a retry of a failed promotion, in seconds.
RETRY_DELAY_S = 0.15
# Fencing tokens per term: a token of a later term is above all of an earlier one.
TOKENS_PER_TERM = 1_000_000


class PromotionClient(ABC):
    """Sends promotion orders to the platform, which carries them out."""

    @abstractmethod
    def promote(self, service: str, target_id: str, token: int, timeout_s: float):
        """Orders a promotion.

        :param token: fencing token; the platform refuses lower ones afterwards.
        :raises PromotionFenced: if the platform refused the order.
        :raises PromotionFailed: if the outcome is unknown; the order may still be
            carried out.
        """


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
    """

    __slots__ = ("connector", "promotion_client", "clock", "commit", "confirm", "fence")

    def __init__(
        self,
        connector: Connector,
        promotion_client: PromotionClient,
        clock: Clock,
        commit,
        confirm,
        fence: PrimaryFence,
    ):
        self.connector = connector
        self.promotion_client = promotion_client
        self.clock = clock
        self.commit = commit
        self.confirm = confirm
        self.fence = fence

    def replace(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        observations: list[Observation],
        reason: str,
    ) -> None:
        """Chooses a target and orders its promotion.

        :raises PromotionFailed: if no order was sent, or it was not confirmed.
        """
        rule = rule_for(service, view)
        asked = rule.asked_targets(service, view)
        queried = self._query_all(rule, asked, observations)
        candidate = self._select(service, view, queried, observations, reason)
        fenced = self.fence.establish(leadership, service, view)
        if fenced is not view:
            # The targets' positions may have changed while the leases were waited for.
            asked = rule.asked_after_fence(service, fenced, queried)
            queried = self._query_all(rule, asked, observations)
            candidate = self._select(service, fenced, queried, observations, reason)
        target_id = candidate.entry.target_id
        self.fence.prepare_order(leadership, service, target_id)
        self._confirm_leadership()
        order = self._next_order(leadership, service, target_id)
        token = order.token
        record_event(
            EventName.promotion_ordered,
            service=service,
            target_id=target_id,
            before=view.primaries.get(service, ""),
            token=token,
            reason=reason,
            received=repr(candidate.received),
            missed_by=candidate.unreachable_from,
        )
        self._send_order(order, service)
        self.commit(SetPrimary(service, target_id, token))
        record_event(
            EventName.promotion_answered,
            service=service,
            target_id=target_id,
            token=token,
            outcome="done",
        )

    def _confirm_leadership(self) -> None:
        """Returns if this member has led until just now.

        A leader that was partitioned or paused meanwhile must not send the order: after
        a pause, an old confirmation may be the first thing that it receives.
        """
        asked_at = self.clock.now()
        self.confirm()
        if self.clock.now() - asked_at > MAX_CONFIRMATION_S:
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

    def _send_order(self, order: PromotionOrder, service: str) -> None:
        try:
            self.promotion_client.promote(
                service, order.target_id, order.token, ORDER_TIMEOUT_S
            )
        except PromotionFenced:
            order.is_unanswered = False
            raise
        order.is_unanswered = False

    def _select(
        self,
        service: str,
        view: DirectoryView,
        candidates: list[Candidate],
        observations: list[Observation],
        reason: str,
    ) -> Candidate:
        primary_id = view.primaries.get(service, "")
        ordered_id = view.fences.get(service, "")
        primary = view.targets.get(primary_id)
        may_stay = (
            primary is not None and not primary.leaving and service not in view.fences
        )
        candidate = rule_for(service, view).choose(
            Replacement(candidates, observations, primary_id, ordered_id, may_stay)
        )
        if candidate is None:
            record_event(
                EventName.promotion_withheld,
                service=service,
                reason=reason,
                why="no candidate that answered is reached by more proxies, or too "
                "many replicas of a synchronous service did not answer",
                silent=[
                    each.entry.target_id for each in candidates if each.received is None
                ],
            )
            raise PromotionFailed("no candidate")
        return candidate

    def _query_all(
        self,
        rule: CandidateRule,
        groups: list[list[TargetEntry]],
        observations: list[Observation],
    ) -> list[Candidate]:
        candidates = []
        for entries in groups:
            queries = [
                spawn(self._query_one, entry, observations, rule.pauses_replicas)
                for entry in entries
            ]
            candidates += [task.wait() for task in queries]
        return candidates

    def _query_one(
        self, entry: TargetEntry, observations: list[Observation], pauses: bool
    ) -> Candidate:
        unreachable_from = count_unreachable_from(entry.target_id, observations)
        try:
            status = self._query(entry, pauses)
        except SessionsError as error:
            return self._unresponsive_candidate(entry, unreachable_from, error)
        except Exception as error:
            # One target must not keep the others from being promoted.
            record_failure(error)
            return self._unresponsive_candidate(entry, unreachable_from, error)
        return Candidate(entry, status.received, status.term, unreachable_from)

    def _query(self, entry: TargetEntry, pauses: bool) -> ReplicaStatus:
        connection = self.connector.connect(entry, NO_ACCOUNT, STATUS_TIMEOUT_S)
        try:
            status = self._status(connection, AskStatus())
            if pauses:
                # Its position must not advance between the selection and the promotion.
                status = self._status(connection, PauseReceiving(status.term + 1))
            return status
        finally:
            connection.close()

    def _status(self, connection, command: Command):
        answer = connection.exchange([command], STATUS_TIMEOUT_S)[0]
        return self.connector.read_status(answer)

    def _unresponsive_candidate(
        self, entry: TargetEntry, unreachable_from: int, error: Exception
    ) -> Candidate:
        record_event(
            EventName.target_unreachable, target_id=entry.target_id, reason=str(error)
        )
        return Candidate(entry, None, 0, unreachable_from)


def retry_delay_after(error: PromotionFailed) -> float:
    """Returns the delay before a failed promotion is retried, in seconds."""
    return RETRY_DELAY_S if isinstance(error, PromotionFenced) else 2 * RETRY_DELAY_S

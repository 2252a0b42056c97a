"""Carries out the replacement of a primary."""

from abc import ABC, abstractmethod

from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event
from ..sessions.connection import AskStatus, Command, Connector, PauseReceiving
from ..sessions.errors import SessionsError
from .commands import SetPrimary
from .errors import PromotionFailed, PromotionFenced
from .failover import (
    ORDER_PAUSE_S,
    Candidate,
    Observation,
    candidates_of,
    choose_candidate,
    missed_by,
)
from .leadership import DirectoryLeadership, PromotionOrder
from .records import DirectoryView, TargetEntry

STATUS_TIMEOUT_S = 0.4
# The platform answers within some 20 ms unless the order or its answer is held up.
ORDER_TIMEOUT_S = 0.4
# Pause after an order that came to nothing, in seconds.
RETRY_PAUSE_S = 0.15
# Tokens of one leader's orders; the term decides between leaders.
TOKENS_PER_TERM = 1_000_000


class PromotionCall(ABC):
    """Tells the platform which target takes over."""

    @abstractmethod
    def promote(self, service: str, target_id: str, token: int, timeout_s: float):
        """Orders a promotion.

        :param token: fencing token; the platform refuses lower ones afterwards.
        :raises PromotionFenced: if the platform refused.
        :raises PromotionFailed: if it gave no clear answer; the order may still be
            carried out.
        """


def fencing_token(leadership: DirectoryLeadership) -> int:
    """Returns a token above those of all earlier orders.

    A term has one leader, and its first entry was committed before it could give
    an order. Each order of a term gets its own token, so that one which was lost on
    its way is refused after a later one.
    """
    leadership.orders_given += 1
    return leadership.term * TOKENS_PER_TERM + leadership.orders_given


class Promoter:
    """Replaces primaries; each call runs in a task of its own.

    :ivar commit: commits a command and tells whether it changed anything.
    :ivar confirm: returns once a quorum has confirmed this leader, or raises.
    """

    __slots__ = ("connector", "call", "clock", "commit", "confirm")

    def __init__(
        self, connector: Connector, call: PromotionCall, clock: Clock, commit, confirm
    ):
        self.connector = connector
        self.call = call
        self.clock = clock
        self.commit = commit
        self.confirm = confirm

    def replace(
        self,
        leadership: DirectoryLeadership,
        service: str,
        view: DirectoryView,
        observations: list[Observation],
        reason: str,
    ) -> None:
        """Chooses a target and orders its promotion.

        :raises PromotionFailed: if it came to nothing.
        """
        candidate = self._choose(service, view, observations)
        if candidate is None:
            record_event(
                EventName.promotion_withheld,
                service=service,
                reason=reason,
                why="no candidate answered that more proxies reach",
            )
            raise PromotionFailed("no candidate")
        # A leader that was cut off or frozen meanwhile must not give the order.
        self.confirm()
        target_id = candidate.entry.target_id
        order = self._order(leadership, service, target_id)
        token = order.token
        record_event(
            EventName.promotion_ordered,
            service=service,
            target_id=target_id,
            before=view.primaries.get(service, ""),
            token=token,
            reason=reason,
            received=repr(candidate.received),
            missed_by=candidate.missed_by,
        )
        self._give(order, service)
        self.commit(SetPrimary(service, target_id, token))
        record_event(
            EventName.promotion_answered,
            service=service,
            target_id=target_id,
            token=token,
            outcome="done",
        )

    def _order(
        self, leadership: DirectoryLeadership, service: str, target_id: str
    ) -> PromotionOrder:
        """Returns the order to give.

        One without an answer is given again as it was: with a higher token it would
        fence itself off where it is carried out late.
        """
        retry_at = self.clock.now() + ORDER_PAUSE_S
        order = leadership.orders.get(service)
        if order is not None and order.is_open and order.target_id == target_id:
            order.retry_at = retry_at
            return order
        order = PromotionOrder(target_id, fencing_token(leadership), retry_at)
        leadership.orders[service] = order
        return order

    def _give(self, order: PromotionOrder, service: str) -> None:
        try:
            self.call.promote(service, order.target_id, order.token, ORDER_TIMEOUT_S)
        except PromotionFenced:
            order.is_open = False
            raise
        order.is_open = False

    def _choose(
        self, service: str, view: DirectoryView, observations: list[Observation]
    ) -> Candidate | None:
        policy = view.table.services.get(service)
        is_synchronous = policy is not None and policy.synchronous_replicas > 0
        entries = candidates_of(service, view)
        asking = [
            spawn(self._ask, entry, observations, is_synchronous) for entry in entries
        ]
        candidates = [task.wait() for task in asking]
        if is_synchronous and any(each.received is None for each in candidates):
            # The silent one may be the only replica that holds a commit.
            return None
        return choose_candidate(
            candidates, observations, view.primaries.get(service, "")
        )

    def _ask(
        self, entry: TargetEntry, observations: list[Observation], is_synchronous: bool
    ) -> Candidate:
        misses = missed_by(entry.target_id, observations)
        try:
            connection = self.connector.connect(entry, STATUS_TIMEOUT_S)
        except SessionsError as error:
            return self._unanswered(entry, misses, error)
        try:
            status = self._status(connection, AskStatus())
            if is_synchronous:
                # Its position must not move between the choice and the promotion.
                status = self._status(connection, PauseReceiving(status.term + 1))
            return Candidate(entry, status.received, status.term, misses)
        except SessionsError as error:
            return self._unanswered(entry, misses, error)
        finally:
            connection.close()

    def _status(self, connection, command: Command):
        answer = connection.exchange([command], STATUS_TIMEOUT_S)[0]
        return self.connector.read_status(answer)

    def _unanswered(
        self, entry: TargetEntry, misses: int, error: Exception
    ) -> Candidate:
        record_event(
            EventName.target_unreachable, target_id=entry.target_id, reason=str(error)
        )
        return Candidate(entry, None, 0, misses)


def pause_after(error: PromotionFailed) -> float:
    """Returns how long to wait after an order that failed, in seconds."""
    return RETRY_PAUSE_S if isinstance(error, PromotionFenced) else 2 * RETRY_PAUSE_S

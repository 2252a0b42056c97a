"""Finds out whether an ordered promotion has taken effect.

The platform answers an order before it carries it out, and the answer may be lost.
Until then a former primary that is to take over again still leads a term of its own,
which has ended. So the target of an order is relied on once it is seen to lead in a
term above all that were known before the first sending of that order. That bound is
committed with the candidate: another leader that repeats the order may do so when the
promotion has taken effect already.
"""

from collections.abc import Callable

from ..internal.clock import Clock
from ..internal.loop import sleep
from ..observe.events import EventName, record_event
from ..sessions.connections.connection import ReplicaStatus
from .candidates import Candidate, targets_without
from .errors import PromotionNotInEffect
from .leadership import PromotionOrder
from .records import TargetEntry
from .state import Directory
from .target_queries import TargetQueries

# How often the target of an order is asked whether it leads, in seconds.
EFFECT_POLL_S = 0.025
# Time after which an order is no longer expected to be carried out, whether it got an
# answer or not, in seconds.
LATE_ORDER_S = 3.0


class PromotionEffects:
    """Asks the targets of orders whether they lead.

    :ivar read_directory: returns the replicated directory.
    """

    __slots__ = ("queries", "read_directory", "clock")

    def __init__(
        self,
        queries: TargetQueries,
        read_directory: Callable[[], Directory],
        clock: Clock,
    ):
        self.queries = queries
        self.read_directory = read_directory
        self.clock = clock

    def find(self, service: str, asked: list[Candidate]) -> Candidate | None:
        """Returns the target of an earlier order, if that has taken effect.

        :param asked: targets of the service with their answers.
        """
        ordered_id = self.read_directory().view.fences.get(service, "")
        for each in asked:
            if each.entry.target_id == ordered_id and each.is_primary:
                return each if self._is_new_term(service, each.term) else None
        return None

    def wait(self, service: str, entry: TargetEntry, order: PromotionOrder) -> int:
        """Waits until an answered order has taken effect.

        :returns: the term in which the target leads.
        :raises PromotionNotInEffect: if it has not, and its target can't be relied on.
        """
        answered_at = self.clock.now()
        with self.queries.poll(entry) as poll:
            while True:
                status = poll.ask()
                leads = status is not None and status.is_primary
                if leads and self._is_new_term(service, status.term):
                    return status.term
                now = self.clock.now()
                if now >= (answered_at + LATE_ORDER_S if leads else order.retry_at):
                    break
                sleep(EFFECT_POLL_S)
            was_reached = poll.lost_connections == 0
        # One that was out of reach may have missed its promotion.
        if leads and was_reached and self._is_kept(service, entry, status):
            return status.term
        raise PromotionNotInEffect(
            f"{entry.target_id} was not seen to lead "
            f"above term {self.read_directory().terms_of(service).above}"
        )

    def _is_new_term(self, service: str, term: int) -> bool:
        above = self.read_directory().terms_of(service).above
        # A fence of an earlier version was committed without the bound.
        return 0 < above < term

    def _is_kept(self, service: str, entry: TargetEntry, status: ReplicaStatus) -> bool:
        """Whether a target that leads a former term may be relied on all the same.

        The platform promotes nobody if it takes the target for the primary already:
        the promotions that were ordered since have not taken effect. If it had taken
        another one for the primary, the target would lead a newer term by now. A newer
        term that was seen once is forgotten only if no target holds it any more.
        """
        directory = self.read_directory()
        others = targets_without(entry.target_id, service, directory.view)
        statuses = self.queries.ask_statuses(others)
        if any(other is not None and other.term > status.term for other in statuses):
            return False
        newest = directory.terms_of(service).newest
        is_kept = status.term >= newest or None not in statuses
        record_event(
            EventName.promotion_without_effect,
            service=service,
            target_id=entry.target_id,
            term=status.term,
            newest_term=newest,
            is_kept=is_kept,
        )
        return is_kept

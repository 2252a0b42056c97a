"""Makes sure that no process relies on a primary when another target is promoted."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..internal.clock import Clock
from ..internal.loop import sleep
from ..observe.events import EventName, record_event
from .candidates import Candidate
from .commands import FencePrimary
from .effects import LATE_ORDER_S, PromotionEffects
from .errors import PromotionFailed
from .leadership import DirectoryLeadership, PromotionOrder
from .records import DirectoryView, TargetEntry

# Interval at which the leases are checked while a promotion waits for them, in seconds.
LEASE_POLL_S = 0.01


class PrimaryFence(ABC):
    """Steps before and after the order that replaces a service's primary."""

    @abstractmethod
    def find_promoted(self, service: str, asked: list[Candidate]) -> Candidate | None:
        """Returns the target of an earlier order, if that has taken effect.

        :param asked: targets of the service with their answers.
        """

    @abstractmethod
    def establish(
        self, leadership: DirectoryLeadership, service: str, view: DirectoryView
    ) -> DirectoryView:
        """Returns once no process relies on the service's primary any more.

        :param view: the view by which the primary is to be replaced.
        :returns: the same view if there was nothing to do, or the view with the fence.
        """

    @abstractmethod
    def prepare_order(
        self,
        leadership: DirectoryLeadership,
        service: str,
        target_id: str,
        above_term: int,
    ) -> None:
        """Called before an order is sent.

        :param above_term: newest term that was known before.
        :raises PromotionFailed: if an order for another target may still be carried
            out.
        """

    @abstractmethod
    def await_promotion(
        self, service: str, entry: TargetEntry, order: PromotionOrder
    ) -> int:
        """Returns once the target of an answered order may be named the primary.

        :returns: the term in which it leads; 0 if that is not known.
        :raises PromotionNotInEffect: if it can't be relied on.
        """


class PlatformFence(PrimaryFence):
    """For platforms that stop a former primary and refuse late orders themselves.

    No target but the promoted one accepts writes, so that processes may be told of it
    before it does.
    """

    def find_promoted(self, service: str, asked: list[Candidate]) -> Candidate | None:
        return None

    def establish(
        self, leadership: DirectoryLeadership, service: str, view: DirectoryView
    ) -> DirectoryView:
        return view

    def prepare_order(
        self,
        leadership: DirectoryLeadership,
        service: str,
        target_id: str,
        above_term: int,
    ) -> None:
        pass

    def await_promotion(
        self, service: str, entry: TargetEntry, order: PromotionOrder
    ) -> int:
        return 0


class LeaseFence(PrimaryFence):
    """Fences a primary in the directory and waits for the leases of the proxies.

    The fence is committed first, so that each lease that is granted afterwards belongs
    to a view without the primary. The candidate is committed before its order is sent:
    the next leader then knows which order may still be carried out.

    :ivar read_view: returns the committed view.
    :ivar commit: commits a command.
    :ivar effects: finds out whether orders have taken effect.
    """

    def __init__(
        self,
        read_view: Callable[[], DirectoryView],
        commit: Callable[[FencePrimary], bool],
        clock: Clock,
        effects: PromotionEffects,
    ):
        self.read_view = read_view
        self.commit = commit
        self.clock = clock
        self.effects = effects

    def find_promoted(self, service: str, asked: list[Candidate]) -> Candidate | None:
        return self.effects.find(service, asked)

    def establish(
        self, leadership: DirectoryLeadership, service: str, view: DirectoryView
    ) -> DirectoryView:
        if service not in self.read_view().fences:
            self.commit(FencePrimary(service))
        started_at = self.clock.now()
        # Its version is at least that of the fence, which an earlier leader may have
        # committed.
        version = self.read_view().version
        while not leadership.leases.all_proxies_use(version, self.clock.now()):
            sleep(LEASE_POLL_S)
        # Targets may have appeared meanwhile.
        fenced = self.read_view()
        record_event(
            EventName.primary_fenced,
            service=service,
            target_id=fenced.primaries.get(service, ""),
            view_version=version,
            waited_ms=round(1000 * (self.clock.now() - started_at)),
        )
        return fenced

    def prepare_order(
        self,
        leadership: DirectoryLeadership,
        service: str,
        target_id: str,
        above_term: int,
    ) -> None:
        candidate_id = self.read_view().fences.get(service, "")
        if candidate_id == target_id:
            return
        ordered_id = candidate_id or unanswered_target(leadership, service)
        if ordered_id not in ("", target_id) and self._may_be_carried_out(
            leadership, service, ordered_id
        ):
            raise PromotionFailed(f"the order for {ordered_id} got no answer yet")
        self.commit(FencePrimary(service, target_id, above_term))

    def await_promotion(
        self, service: str, entry: TargetEntry, order: PromotionOrder
    ) -> int:
        return self.effects.wait(service, entry, order)

    def _may_be_carried_out(
        self, leadership: DirectoryLeadership, service: str, target_id: str
    ) -> bool:
        """Whether an earlier order, perhaps by an earlier leader, is still pending."""
        order = leadership.orders.get(service)
        sent_at = leadership.leader_since
        if order is not None and order.target_id == target_id:
            if not order.is_unanswered:
                return False
            sent_at = order.sent_at
        return self.clock.now() - sent_at < LATE_ORDER_S


def unanswered_target(leadership: DirectoryLeadership, service: str) -> str:
    """Returns the target of this leader's last order if that got no answer."""
    order = leadership.orders.get(service)
    return order.target_id if order is not None and order.is_unanswered else ""

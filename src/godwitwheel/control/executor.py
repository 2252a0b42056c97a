"""Executes the actions that the leader's controllers decide, each in its own task."""

from collections.abc import Callable

from ..decisions.actions import (
    Action,
    OrderFollow,
    OrderPromotion,
    Propose,
    RecordEvent,
    TargetRequest,
    VerifyAnnouncement,
)
from ..decisions.leadership import Leadership
from ..internal.loop import spawn
from ..observe.events import EventName, record_event
from ..targets.base import TargetAdmin
from ..targets.errors import TargetError
from ..wire.target import TargetStatus
from .commands import Changed
from .committer import Committer
from .errors import ControlError
from .state import ControlState

ORDER_TIMEOUT_S = 0.4
COMMIT_TIMEOUT_S = 5.0
MAX_REQUESTS_IN_FLIGHT = 256


class Executor:
    """Executes the actions of one leadership.

    :ivar on_progress: called when a proposal or a request has ended.
    :ivar requests_in_flight: number of status requests and orders sent to targets and
        not yet answered.
    """

    __slots__ = (
        "leadership",
        "state",
        "committer",
        "admin",
        "on_progress",
        "requests_in_flight",
    )

    def __init__(
        self,
        leadership: Leadership,
        state: ControlState,
        committer: Committer,
        admin: TargetAdmin,
        on_progress: Callable[[], None],
    ):
        self.leadership = leadership
        self.state = state
        self.committer = committer
        self.admin = admin
        self.on_progress = on_progress
        self.requests_in_flight = 0

    def start(self, action: Action) -> None:
        """Starts an action; requests above ``MAX_REQUESTS_IN_FLIGHT`` are dropped."""
        if isinstance(action, RecordEvent):
            record(action)
        elif isinstance(action, Propose):
            spawn(self._propose, action)
        elif self.requests_in_flight < MAX_REQUESTS_IN_FLIGHT:
            self.requests_in_flight += 1
            spawn(self._run_request, action)
        else:
            record_event(
                EventName.request_dropped,
                target=action.target_id,
                action=type(action).__name__,
                in_flight=self.requests_in_flight,
            )

    def _propose(self, action: Propose) -> None:
        if action.proposed_event is not None:
            record(action.proposed_event)
        try:
            changed = self.committer.commit(action.command, Changed, COMMIT_TIMEOUT_S)
            if changed.applied:
                record(action.applied_event)
        except ControlError:
            # The controllers decide again from the committed state.
            return
        finally:
            self.leadership.finish_proposal(action)
            self.on_progress()

    def _run_request(self, action: TargetRequest | VerifyAnnouncement) -> None:
        try:
            if isinstance(action, VerifyAnnouncement):
                self._verify(action)
            else:
                self._send_request(action)
        except TargetError:
            # A missing answer leaves the outcome unknown; the controllers retry.
            return
        finally:
            self.requests_in_flight -= 1
            self.on_progress()

    def _verify(self, action: VerifyAnnouncement) -> None:
        status = self.admin.status(action.address, ORDER_TIMEOUT_S)
        if status.target_id != action.target_id:
            return
        view = self.state.cluster.view
        for change in self.leadership.confirm_announcement(status, view):
            self.start(change)

    def _send_request(self, action: TargetRequest) -> None:
        targets = self.state.cluster.view.targets
        if action.target_id not in targets:
            return
        address = targets[action.target_id].address
        status = self._exchange(action, address)
        if status is None or status.target_id != action.target_id:
            return
        self.leadership.record_reply(action, status, self.state.cluster.view)

    def _exchange(self, action: TargetRequest, address: str) -> TargetStatus | None:
        if isinstance(action, OrderPromotion):
            status = self.admin.promote(address, action.term, ORDER_TIMEOUT_S)
            record_event(
                EventName.target_promoted,
                target=action.target_id,
                group=status.group,
                term=status.term,
                term_start=status.term_start,
            )
            return status
        if not isinstance(action, OrderFollow):
            return self.admin.status(address, ORDER_TIMEOUT_S)
        primary = self.state.cluster.view.targets.get(action.primary_id)
        if primary is None:
            return None
        return self.admin.follow(
            address, action.term, action.primary_id, primary.address, ORDER_TIMEOUT_S
        )


def record(action: RecordEvent) -> None:
    """Records an event."""
    record_event(action.event, **action.fields)

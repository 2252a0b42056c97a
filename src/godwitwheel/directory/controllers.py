"""What the leader decides about the directory, at short intervals."""

from ..control.errors import ControlError, NotLeading
from ..internal.loop import sleep, spawn
from ..observe.events import EventName, record_event, record_failure
from ..sessions.connection import Connector
from .commands import DropEntry, SetOwners, SetPrimary
from .errors import PromotionFailed
from .failover import (
    FIRST_REPORTS_S,
    Assessment,
    Observation,
    Verdict,
    assess,
    observations_of,
)
from .leadership import DirectoryLeadership, PromotionOrder
from .member import DirectoryMember
from .ownership import assign_owners
from .promotion import Promoter, PromotionCall, pause_after
from .records import OwnerEntry

DECISION_INTERVAL_S = 0.05
# A target that neither announces itself nor is reached by any proxy for so long is
# forgotten; it comes back with its next announcement.
TARGET_FORGOTTEN_S = 12.0
# Stands for the owners among the services whose change is on its way; no service has
# an empty name.
OWNERS = ""


class DirectoryControllers:
    """Replaces primaries, names owners and forgets what is gone."""

    __slots__ = ("member", "promoter")

    def __init__(
        self, member: DirectoryMember, connector: Connector, call: PromotionCall
    ):
        self.member = member
        self.promoter = Promoter(
            connector, call, member.clock, member.commit_entry, member.confirm
        )

    def run(self) -> None:
        """Decides at short intervals while this member leads."""
        while True:
            sleep(DECISION_INTERVAL_S)
            try:
                leadership = self.member.current_leadership()
            except NotLeading:
                continue
            self._decide(leadership, self.member.clock.now())

    def _decide(self, leadership: DirectoryLeadership, now: float) -> None:
        for proxy_id in leadership.forget_proxies(now):
            record_event(EventName.proxy_lost, proxy_id=proxy_id)
        view = self.member.state.directory.view
        for service in view.table.services:
            if service not in leadership.busy:
                self._decide_service(leadership, service, now)
        self._decide_owners(leadership, now)
        self._forget_silent(leadership, now)

    def _decide_owners(self, leadership: DirectoryLeadership, now: float) -> None:
        if now - leadership.since < FIRST_REPORTS_S or OWNERS in leadership.busy:
            return
        view = self.member.state.directory.view
        owners = leadership.owners(now)
        assigned = assign_owners(view, owners, leadership.callers_proxies())
        if assigned == view.owners or (view.owners and not owners):
            return
        leadership.busy.add(OWNERS)
        spawn(self._set_owners, leadership, assigned)

    def _set_owners(
        self, leadership: DirectoryLeadership, assigned: dict[str, OwnerEntry]
    ) -> None:
        try:
            self.member.commit_entry(SetOwners(assigned))
            record_event(
                EventName.owners_changed,
                owners={name: entry.proxy_id for name, entry in assigned.items()},
            )
        except ControlError as error:
            record_failure(error)
        finally:
            leadership.busy.discard(OWNERS)

    def _decide_service(
        self, leadership: DirectoryLeadership, service: str, now: float
    ) -> None:
        order = leadership.orders.get(service)
        if order is not None and now < order.retry_at:
            return
        view = self.member.state.directory.view
        observations = observations_of(service, leadership.reports, now)
        proxies = leadership.reporting_on(service)
        led_for_s = now - leadership.since
        assessment = assess(service, view, observations, proxies, led_for_s)
        if assessment.verdict is Verdict.keep:
            return
        leadership.busy.add(service)
        spawn(self._act, leadership, service, assessment, observations)

    def _act(
        self,
        leadership: DirectoryLeadership,
        service: str,
        assessment: Assessment,
        observations: list[Observation],
    ) -> None:
        try:
            if assessment.verdict is Verdict.adopt:
                self.member.commit_entry(SetPrimary(service, assessment.target_id))
                return
            view = self.member.state.directory.view
            self.promoter.replace(
                leadership, service, view, observations, assessment.reason
            )
        except PromotionFailed as error:
            self._pause(leadership, service, pause_after(error), str(error))
        except ControlError as error:
            self._pause(leadership, service, DECISION_INTERVAL_S, str(error))
        except Exception as error:
            record_failure(error)
        finally:
            leadership.busy.discard(service)

    def _pause(
        self, leadership: DirectoryLeadership, service: str, pause_s: float, why: str
    ) -> None:
        retry_at = self.member.clock.now() + pause_s
        order = leadership.orders.get(service)
        if order is None:
            order = leadership.orders[service] = PromotionOrder("", 0, retry_at)
            order.is_open = False
        else:
            order.retry_at = retry_at
        record_event(
            EventName.promotion_answered, service=service, outcome="failed", why=why
        )

    def _forget_silent(self, leadership: DirectoryLeadership, now: float) -> None:
        view = self.member.state.directory.view
        for target_id, entry in view.targets.items():
            if leadership.silence_s(target_id, now) < TARGET_FORGOTTEN_S:
                continue
            if not leadership.is_reported(target_id, now):
                continue
            # The clock starts anew, so that a failed commit is not repeated at once.
            leadership.restart_silence(target_id, now)
            spawn(self._drop_safely, target_id, entry.started_at_ms)
            return

    def _drop_safely(self, target_id: str, started_at_ms: int) -> None:
        try:
            command = DropEntry(target_id, started_at_ms, may_return=True)
            self.member.drop(command, "silent and out of reach")
        except ControlError as error:
            record_failure(error)

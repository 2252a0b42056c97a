"""Controllers that change the directory at short intervals on the leader."""

import math
from functools import partial

from ..control.errors import ControlError, NotLeading
from ..internal.loop import sleep, spawn
from ..observe.events import EventName, record_event, record_failure
from ..sessions.connections.connection import Connector
from .commands import DropEntry, SetOwners, SetPrimary
from .effects import PromotionEffects
from .errors import PromotionFailed, PromotionWithheld, ResumeFailed
from .failover import (
    Assessment,
    Observation,
    ServiceObservations,
    Verdict,
    assess,
    is_confirmed_by_some,
    observations_by_service,
)
from .fencing import LeaseFence, PlatformFence, PrimaryFence
from .leadership import DirectoryLeadership, PromotionOrder
from .lost_target_checks import LostTargetChecks
from .member import DirectoryMember
from .ownership import assign_owners, replaced_owners
from .pausing import ReplicaPauses
from .primary_term_checks import PrimaryTermChecks
from .promotion import Promoter, PromotionClient, retry_delay_after
from .records import DirectoryView, OwnerEntry
from .report_timing import NEW_LEADER_GRACE_S
from .target_queries import TargetQueries

DECISION_INTERVAL_S = 0.05
# Delay before a replacement is retried that failed for an unexpected error, in seconds.
UNEXPECTED_RETRY_S = 0.5
# Delay before replicas that did not answer are told again to resume, in seconds.
RESUME_RETRY_S = 1.0
# A target that has not announced itself for this long is removed, unless a proxy can
# reach it; its next announcement adds it again.
TARGET_EXPIRY_S = 12.0
# Key for a change of the owners in ``DirectoryLeadership.in_progress``, next to service
# names; no service has an empty name.
OWNERS_KEY = ""


def fence_for(member: DirectoryMember, queries: TargetQueries) -> PrimaryFence:
    """Returns the fence that the platform requires."""
    if not member.grants_leases:
        return PlatformFence()

    def read_view() -> DirectoryView:
        return member.state.directory.view

    effects = PromotionEffects(queries, lambda: member.state.directory, member.clock)
    return LeaseFence(read_view, member.commit_entry, member.clock, effects)


class DirectoryControllers:
    """Replaces primaries, assigns owners, and removes expired targets and proxies."""

    __slots__ = (
        "member",
        "promoter",
        "pauses",
        "lost_target_checks",
        "primary_term_checks",
    )

    def __init__(
        self,
        member: DirectoryMember,
        connector: Connector,
        promotion_client: PromotionClient,
    ):
        self.member = member
        confirm = partial(member.confirm, is_urgent=True)
        queries = TargetQueries(connector, member.clock, confirm)
        self.pauses = ReplicaPauses(
            queries, lambda: member.state.directory.paused, member.commit_entry
        )
        self.promoter = Promoter(
            queries,
            promotion_client,
            member.clock,
            member.commit_entry,
            confirm,
            fence_for(member, queries),
            self.pauses,
            member.state.directory.lost.of,
            member.state.directory.terms_of,
        )
        self.primary_term_checks = PrimaryTermChecks(
            member.state.directory, queries, member.commit_entry, member.clock
        )
        self.lost_target_checks = LostTargetChecks(
            member.state.directory,
            queries,
            self.pauses,
            member.commit_entry,
            member.clock,
        )

    def run(self) -> None:
        """Runs all controllers at short intervals while this member leads."""
        while True:
            sleep(DECISION_INTERVAL_S)
            try:
                leadership = self.member.current_leadership()
            except NotLeading:
                continue
            self._decide(leadership, self.member.clock.now())

    def _decide(self, leadership: DirectoryLeadership, now: float) -> None:
        for proxy_id in leadership.expire_proxies(now):
            record_event(EventName.proxy_lost, proxy_id=proxy_id)
        view = self.member.state.directory.view
        lease_s = (
            leadership.leases.max_lease_s if self.member.grants_leases else math.inf
        )
        observed = observations_by_service(leadership.reports, now, lease_s)
        nothing = ServiceObservations()
        for service in view.table.services:
            if service not in leadership.in_progress:
                observations = observed.get(service, nothing)
                self._decide_service(leadership, service, observations, now)
        self._decide_owners(leadership, now)
        self._remove_expired_target(leadership, now)
        self.lost_target_checks.decide(now)
        self.primary_term_checks.decide(now)

    def _decide_owners(self, leadership: DirectoryLeadership, now: float) -> None:
        if (
            now - leadership.leader_since < NEW_LEADER_GRACE_S
            or OWNERS_KEY in leadership.in_progress
        ):
            return
        view = self.member.state.directory.view
        owners = leadership.live_owners(now)
        assigned = assign_owners(view, owners, leadership.count_caller_facing_proxies())
        if assigned == view.owners or (view.owners and not owners):
            return
        leadership.in_progress.add(OWNERS_KEY)
        spawn(self._set_owners, leadership, assigned)

    def _set_owners(
        self, leadership: DirectoryLeadership, assigned: dict[str, OwnerEntry]
    ) -> None:
        now = self.member.clock.now()
        replaced = replaced_owners(self.member.state.directory.view.owners, assigned)
        silence_ms = {owner: leadership.silence_ms(owner, now) for owner in replaced}
        try:
            self.member.commit_entry(SetOwners(assigned))
            record_event(
                EventName.owners_changed,
                owners={name: entry.proxy_id for name, entry in assigned.items()},
                silence_ms=silence_ms,
                least_silence_ms=leadership.least_silence_ms(now),
                proxies=leadership.count_caller_facing_proxies(),
            )
        except ControlError as error:
            record_failure(error)
        finally:
            leadership.in_progress.discard(OWNERS_KEY)

    def _decide_service(
        self,
        leadership: DirectoryLeadership,
        service: str,
        observed: ServiceObservations,
        now: float,
    ) -> None:
        order = leadership.orders.get(service)
        if order is not None and now < order.retry_at:
            return
        view = self.member.state.directory.view
        led_for_s = now - leadership.leader_since
        assessment = assess(
            service,
            view,
            observed.recent,
            observed.reporters,
            led_for_s,
            may_adopt=not self.member.grants_leases,
        )
        if assessment.serves and service in self.pauses.read_paused():
            pending_id = self.pauses.candidate_of(service)
            if pending_id in ("", view.primaries.get(service)):
                self._decide_resume(leadership, service, now)
                return
            # Commits must not be acknowledged that this target would lack.
            assessment = Assessment(
                Verdict.replace, f"an order for {pending_id} may be carried out late"
            )
        if assessment.verdict is Verdict.keep:
            leadership.withheld_since.pop(service, None)
            return
        leadership.in_progress.add(service)
        spawn(self._execute, leadership, service, assessment, observed.recent)

    def _decide_resume(
        self, leadership: DirectoryLeadership, service: str, now: float
    ) -> None:
        if now < leadership.resume_at.get(service, now):
            return
        leadership.resume_at[service] = now + RESUME_RETRY_S
        leadership.in_progress.add(service)
        spawn(self._resume, leadership, service)

    def _resume(self, leadership: DirectoryLeadership, service: str) -> None:
        try:
            self.pauses.resume(service, self.member.state.directory.view)
        except ResumeFailed:
            # The event of the attempt says which replicas are still paused.
            pass
        except Exception as error:
            record_failure(error)
        finally:
            leadership.in_progress.discard(service)

    def _execute(
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
        except PromotionWithheld as error:
            self._delay_retry(leadership, service, retry_delay_after(error), str(error))
            self._resume_withheld(leadership, service, observations)
        except PromotionFailed as error:
            self._delay_retry(leadership, service, retry_delay_after(error), str(error))
        except ControlError as error:
            self._delay_retry(leadership, service, DECISION_INTERVAL_S, str(error))
        except Exception as error:
            record_failure(error)
            self._delay_retry(leadership, service, UNEXPECTED_RETRY_S, repr(error))
        finally:
            leadership.in_progress.discard(service)

    def _resume_withheld(
        self,
        leadership: DirectoryLeadership,
        service: str,
        observations: list[Observation],
    ) -> None:
        """Resumes replicas if the primary goes on serving until it can be replaced."""
        if service not in self.pauses.read_paused():
            return
        primary_id = self.member.state.directory.view.primaries.get(service, "")
        is_confirmed = is_confirmed_by_some(primary_id, observations)
        if is_confirmed and not self.pauses.candidate_of(service):
            self._resume(leadership, service)

    def _delay_retry(
        self, leadership: DirectoryLeadership, service: str, delay_s: float, why: str
    ) -> None:
        now = self.member.clock.now()
        retry_at = now + delay_s
        order = leadership.orders.get(service)
        if order is None:
            order = leadership.orders[service] = PromotionOrder("", 0, now, retry_at)
            order.is_unanswered = False
        else:
            order.retry_at = retry_at
        record_event(
            EventName.promotion_answered, service=service, outcome="failed", why=why
        )

    def _remove_expired_target(
        self, leadership: DirectoryLeadership, now: float
    ) -> None:
        view = self.member.state.directory.view
        for target_id, entry in view.targets.items():
            if leadership.announcement_age_s(target_id, now) < TARGET_EXPIRY_S:
                continue
            # Nobody connects to the targets of a service that no table names.
            is_used = entry.service in view.table.services
            if is_used and not leadership.is_unreachable_from_all(entry, now):
                continue
            # Restarts the timeout, so that a failed commit is not retried at once.
            leadership.reset_announcement_age(target_id, now)
            spawn(self._try_drop, target_id, entry.started_at_ms)
            return

    def _try_drop(self, target_id: str, started_at_ms: int) -> None:
        try:
            command = DropEntry(target_id, started_at_ms, may_return=True)
            self.member.drop(command, "no announcement, and no proxy reaches it")
        except ControlError as error:
            record_failure(error)

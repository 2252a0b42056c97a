"""What a control member does for the directory; most of it only while it leads."""

from ..consensus.driver import ConsensusLog
from ..control.committer import Committer, LeadershipConfirmer
from ..control.errors import ControlError, NotLeading
from ..control.state import ControlState
from ..internal.clock import Clock
from ..internal.loop import sleep, spawn
from ..observe.events import EventName, record_event, record_failure
from .commands import (
    DropEntry,
    EntryResult,
    PutEntry,
    PutTable,
    SetOwners,
    SetPrimary,
    TableResult,
)
from .errors import InvalidTable, PromotionFailed
from .failover import FIRST_REPORTS_S, Verdict, assess, sights_of
from .leadership import DirectoryLeadership, PromotionOrder
from .ownership import assign_owners
from .promotion import Promoter, PromotionCall, pause_after
from .records import OwnerEntry, ProxyReply, ProxyReport, RoutingTable, TargetEntry

COMMIT_TIMEOUT_S = 2.0
CONFIRM_TIMEOUT_S = 0.4
DECISION_INTERVAL_S = 0.05
# A target that neither announces itself nor is reached by any proxy for so long is
# forgotten; it comes back with its next announcement.
TARGET_FORGOTTEN_S = 12.0
# Stands for the owners among the services whose change is on its way; no service has
# an empty name.
OWNERS = ""


class DirectoryMember:
    """Keeps the directory and replaces primaries while this member leads.

    :ivar leadership: this member's time as leader; ``None`` while it is none.
    """

    __slots__ = (
        "log",
        "state",
        "clock",
        "committer",
        "confirmer",
        "promoter",
        "leadership",
    )

    def __init__(
        self,
        log: ConsensusLog,
        state: ControlState,
        clock: Clock,
        connector,
        call: PromotionCall,
    ):
        self.log = log
        self.state = state
        self.clock = clock
        self.committer = Committer(log)
        self.confirmer = LeadershipConfirmer(log)
        self.promoter = Promoter(
            connector, call, clock, self._commit_entry, self.confirm
        )
        self.leadership: DirectoryLeadership | None = None

    # Requests.

    def report(self, report: ProxyReport) -> ProxyReply:
        """Takes a proxy's report and returns what it lacks.

        :raises NotLeading: if this member does not lead.
        """
        leadership = self.current_leadership()
        is_new = leadership.receive_report(report, self.clock.now())
        if is_new:
            record_event(EventName.proxy_seen, proxy_id=report.proxy_id)
        self.confirm()
        view = self.state.directory.view
        return ProxyReply(
            view.version,
            max(leadership.callers_proxies(), 1),
            self.member_addresses(),
            view if report.view_version < view.version else None,
        )

    def publish_table(self, document: bytes) -> TableResult:
        """Puts a routing table in force unless a higher version is.

        :raises InvalidTable: if it is not valid; nothing was changed.
        :raises NotLeading: if this member does not lead; nothing was changed.
        :raises Unsettled: if it may or may not be in force.
        """
        table = self._check(document)
        self.current_leadership()
        result = self.committer.commit(
            PutTable(document), TableResult, COMMIT_TIMEOUT_S
        )
        record_event(
            EventName.table_published,
            version=table.version,
            applied=result.applied,
            in_force=result.version,
        )
        return result

    def read_table(self) -> bytes:
        """Returns the newest routing table as it was published.

        :returns: empty before the first one.
        :raises NotLeading: if this member can't be sure which is the newest.
        """
        self.current_leadership()
        self.confirm()
        return self.state.directory.document

    def announce(self, entry: TargetEntry, sequence: int) -> None:
        """Takes a target's announcement; returns once what is new is committed.

        :raises NotLeading: if this member does not lead.
        :raises Unsettled: if a change may or may not be committed.
        """
        leadership = self.current_leadership()
        is_newest = leadership.hear(entry, sequence, self.clock.now())
        directory = self.state.directory
        known = directory.view.targets.get(entry.target_id)
        if not is_newest or known == entry or directory.is_outdated(entry):
            self.confirm()
            return
        if self._commit_entry(PutEntry(entry)):
            record_event(
                EventName.target_changed,
                target_id=entry.target_id,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
                claims_lead=entry.claims_lead,
                sequence=sequence,
                started_at_ms=entry.started_at_ms,
            )

    def remove(self, target_id: str, started_at_ms: int | None) -> None:
        """Forgets a target that has left.

        :param started_at_ms: incarnation that left; the one known if ``None``.
        :raises NotLeading: if this member does not lead.
        """
        self.current_leadership()
        known = self.state.directory.view.targets.get(target_id)
        if known is None:
            self.confirm()
            return
        if started_at_ms is None:
            started_at_ms = known.started_at_ms
        self._drop(DropEntry(target_id, started_at_ms), "it has left")

    # The controllers' loop.

    def run_controllers(self) -> None:
        """Decides at short intervals while this member leads."""
        while True:
            sleep(DECISION_INTERVAL_S)
            try:
                leadership = self.current_leadership()
            except NotLeading:
                continue
            self._decide(leadership, self.clock.now())

    def current_leadership(self) -> DirectoryLeadership:
        """Returns the present leadership, beginning or ending it as needed.

        :raises NotLeading: if this member does not lead.
        """
        since = self.log.leading_since()
        known = self.leadership
        if since is None:
            self.leadership = None
            raise NotLeading("this member does not lead")
        if known is None or known.since != since:
            known = DirectoryLeadership(since, self.log.core.state.term)
            self.leadership = known
        return known

    def confirm(self) -> None:
        """Returns once a quorum has confirmed this leader after the call began.

        :raises NotLeading: if it could not.
        """
        self.confirmer.confirm(CONFIRM_TIMEOUT_S)

    def member_addresses(self) -> list[str]:
        """Returns the addresses of all control members."""
        members = self.log.core.state.membership.members
        return sorted(record.address for record in members.values())

    def _decide(self, leadership: DirectoryLeadership, now: float) -> None:
        for proxy_id in leadership.forget_proxies(now):
            record_event(EventName.proxy_lost, proxy_id=proxy_id)
        view = self.state.directory.view
        for service in view.table.services:
            if service not in leadership.busy:
                self._decide_service(leadership, service, now)
        self._decide_owners(leadership, now)
        self._forget_silent(leadership, now)

    def _decide_owners(self, leadership: DirectoryLeadership, now: float) -> None:
        if now - leadership.since < FIRST_REPORTS_S or OWNERS in leadership.busy:
            return
        view = self.state.directory.view
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
            self._commit_entry(SetOwners(assigned))
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
        view = self.state.directory.view
        sights = sights_of(service, leadership.reports, now)
        proxies = leadership.reporting_on(service)
        led_for_s = now - leadership.since
        assessment = assess(service, view, sights, proxies, led_for_s)
        if assessment.verdict is Verdict.keep:
            return
        leadership.busy.add(service)
        spawn(self._act, leadership, service, assessment, sights)

    def _act(self, leadership, service, assessment, sights) -> None:
        try:
            if assessment.verdict is Verdict.adopt:
                self._commit_entry(SetPrimary(service, assessment.target_id))
                return
            view = self.state.directory.view
            self.promoter.replace(leadership, service, view, sights, assessment.reason)
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
        retry_at = self.clock.now() + pause_s
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
        view = self.state.directory.view
        for target_id, entry in view.targets.items():
            if leadership.silence_s(target_id, now) < TARGET_FORGOTTEN_S:
                continue
            if not leadership.is_reported(target_id, now):
                continue
            # The clock starts anew, so that a failed commit is not repeated at once.
            leadership.excuse(target_id, now)
            spawn(self._drop_safely, target_id, entry.started_at_ms)
            return

    def _drop_safely(self, target_id: str, started_at_ms: int) -> None:
        try:
            command = DropEntry(target_id, started_at_ms, may_return=True)
            self._drop(command, "silent and out of reach")
        except ControlError as error:
            record_failure(error)

    def _drop(self, command: DropEntry, reason: str) -> None:
        if self._commit_entry(command):
            record_event(
                EventName.target_forgotten,
                target_id=command.target_id,
                reason=reason,
            )

    def _commit_entry(self, command) -> bool:
        result = self.committer.commit(command, EntryResult, COMMIT_TIMEOUT_S)
        return result.applied

    def _check(self, document: bytes) -> RoutingTable:
        try:
            return self.state.directory.codec.decode(document)
        except InvalidTable as error:
            record_event(EventName.table_refused, reason=str(error))
            raise

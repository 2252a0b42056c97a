"""A control member's directory operations; most of them need it to be the leader."""

import msgspec

from ..consensus.driver import ConsensusLog
from ..control.committer import Committer, LeadershipConfirmer
from ..control.errors import NotLeading
from ..control.state import ControlState
from ..internal.clock import Clock
from ..observe.events import EventName, record_event
from ..wire.codec import check_nesting
from ..wire.errors import BadMessage
from .assembly import AssemblyBudget
from .builds import FleetBuilds
from .commands import (
    DropEntry,
    EntryResult,
    FencePrimary,
    ForgetLost,
    PauseReplicas,
    PutEntry,
    PutTable,
    RecordTerm,
    ResumeReplicas,
    SetOwners,
    SetPrimary,
    TableResult,
)
from .documents import pack_document, unpack_document
from .errors import InvalidTable
from .leadership import DirectoryLeadership, holder_name
from .records import (
    ProxyReply,
    ProxyReport,
    RateReply,
    RoutingTable,
    TargetEntry,
)
from .table_chunks import TableChunk, TableChunks
from .view_changes import ViewChanges

COMMIT_TIMEOUT_S = 2.0
CONFIRM_TIMEOUT_S = 0.4
# Pause between confirmation rounds, which are most of the bytes between data centres.
# A proxy whose callers may be waiting for news ends it. In seconds.
ROUND_PAUSE_S = 0.04


class DirectoryMember:
    """Serves the directory, and changes it while this member leads.

    :ivar leadership: soft state as leader; ``None`` while this member is not leader.
    :ivar chunks: the changes between recent routing tables, as processes fetch them.
    :ivar view_changes: the changes between recent views.
    :ivar grants_leases: whether proxies rely on primaries under leases, because the
        platform doesn't stop a former primary itself.
    :ivar builds: what the processes run that reported to this member as leader.
    """

    __slots__ = (
        "log",
        "state",
        "clock",
        "committer",
        "confirmer",
        "leadership",
        "chunks",
        "view_changes",
        "grants_leases",
        "builds",
    )

    def __init__(
        self,
        log: ConsensusLog,
        state: ControlState,
        clock: Clock,
        grants_leases: bool = False,
    ):
        self.log = log
        self.state = state
        self.clock = clock
        self.committer = Committer(log)
        self.confirmer = LeadershipConfirmer(log, ROUND_PAUSE_S)
        self.leadership: DirectoryLeadership | None = None
        budget = AssemblyBudget()
        directory = state.directory
        self.chunks = TableChunks(directory.recent_tables, budget)
        self.view_changes = ViewChanges(directory.recent_views, budget)
        self.grants_leases = grants_leases
        self.builds = FleetBuilds()

    # Requests.

    def report(self, report: ProxyReport) -> ProxyReply:
        """Records a proxy's report and returns what the proxy doesn't have yet.

        :raises NotLeading: if this member does not lead.
        """
        received_at = self.clock.now()
        leadership = self.current_leadership()
        is_new = leadership.receive_report(report, received_at)
        if is_new:
            record_event(EventName.proxy_seen, proxy_id=report.proxy_id)
        self.builds.record(report.proxy_id, report.build, received_at)
        leadership.leases.acknowledge(holder_name(report), report.drained_version)
        leadership.leaving.learn(report.leaving_ages, received_at)
        # Its callers may be waiting for a primary.
        lacks_view = report.view_version < self.state.directory.view.version
        self.confirm(is_urgent=lacks_view)
        view = self.state.directory.view
        now = self.clock.now()
        proxies = max(leadership.count_caller_facing_proxies(), 1)
        change = None
        if report.view_version < view.version:
            is_small = leadership.is_small_fleet(now)
            change = self.view_changes.change_for(report, view, is_small, now)
        holds_view = change is not None or report.view_version >= view.version
        grants_lease = self.grants_leases and report.wants_lease and holds_view
        if grants_lease:
            # Another leadership may have begun here during the confirmation.
            leadership = self.current_leadership()
            leadership.grant_lease(report, view.version, received_at)
        rates = self._answer_rates(report, received_at)
        leaving = view.leaving_targets() if report.wants_targets else []
        gets_ages = change is not None or report.wants_leaving_ages
        leaving_ages = leadership.leaving.ages(leaving, now) if gets_ages else []
        wants_ages = leadership.wants_leaving_ages(leaving, now)
        return ProxyReply(
            view.version,
            proxies,
            self.log.member_addresses(),
            view.table.version,
            grants_lease,
            len(leadership.live_owners(now)),
            change,
            rates,
            wants_ages,
            leaving_ages,
        )

    def record_build(self, process_id: str, build: str) -> None:
        """Records what another member of control runs.

        :raises NotLeading: if this member does not lead.
        """
        self.current_leadership()
        self.builds.record(process_id, build, self.clock.now())

    def _answer_rates(
        self, report: ProxyReport, received_at: float
    ) -> RateReply | msgspec.UnsetType:
        """Returns the part of a reply that concerns rate limits, after confirmation.

        :param received_at: when the report arrived, in seconds of the clock.
        :raises NotLeading: if this member no longer leads.
        """
        if report.rates is msgspec.UNSET:
            return msgspec.UNSET
        # Another leadership may have begun here during the confirmation.
        leadership = self.current_leadership()
        view = self.state.directory.view
        return leadership.rate_shares.answer(
            report.proxy_id,
            report.rates,
            view.table.accounts,
            leadership.runners_in_use(view),
            received_at,
            self.clock.now(),
        )

    def table_chunk(self, base_version: int, version: int, offset: int) -> TableChunk:
        """Returns part of a change of the routing table; any member has it.

        :raises UnknownTable: if this member does not know the version.
        :raises UnknownBase: if it does not know the base.
        :raises AssemblyPostponed: if it has put together too many tables.
        """
        return self.chunks.chunk(base_version, version, offset, self.clock.now())

    def publish_table(self, document: bytes) -> TableResult:
        """Activates a routing table if its version is above the active one's.

        :raises InvalidTable: if it is not valid; nothing was changed.
        :raises NotLeading: if this member does not lead; nothing was changed.
        :raises CommitOutcomeUnknown: if it may or may not be active.
        """
        table = self._check(document)
        self.current_leadership()
        result = self.committer.commit(
            PutTable(pack_document(document)), TableResult, COMMIT_TIMEOUT_S
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
        :raises NotLeading: if this member can't confirm that it still leads.
        """
        self.current_leadership()
        self.confirm()
        return unpack_document(self.state.directory.document)

    def announce(self, entry: TargetEntry, sequence: int) -> None:
        """Records a target's announcement; returns once any change is committed.

        :raises NotLeading: if this member does not lead.
        :raises CommitOutcomeUnknown: if a change may or may not be committed.
        """
        leadership = self.current_leadership()
        now = self.clock.now()
        is_newest = leadership.receive_announcement(entry, sequence, now)
        directory = self.state.directory
        if directory.would_displace_configured(entry):
            self.confirm()
            return
        if self.grants_leases and entry.service in directory.view.primaries:
            # A former primary continues to claim the lead until it hears of the other.
            entry = msgspec.structs.replace(entry, claims_lead=False)
        known = directory.view.targets.get(entry.target_id)
        if not is_newest or directory.is_outdated(entry) or is_known(entry, known):
            self.confirm()
            return
        if is_late(entry, sequence, known):
            # Another leader has received a later one.
            record_event(
                EventName.announcement_late,
                target_id=entry.target_id,
                sequence=sequence,
                known_sequence=known.sequence,
            )
            self.confirm()
            return
        entry = msgspec.structs.replace(entry, sequence=sequence)
        self._record_leaving(leadership, entry, known, now)
        if self.commit_entry(PutEntry(entry)):
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

    def _record_leaving(
        self,
        leadership: DirectoryLeadership,
        entry: TargetEntry,
        known: TargetEntry | None,
        now: float,
    ) -> None:
        """Records when a target began to leave, before that is acknowledged.

        :param known: the target as it announced itself before, if it did.
        """
        incarnation = entry.incarnation()
        if not entry.leaving:
            leadership.leaving.forget(incarnation)
        elif known is None or not known.leaving or known.incarnation() != incarnation:
            leadership.leaving.retain(
                [*self.state.directory.view.targets.values(), entry]
            )
            leadership.leaving.record(incarnation, now)

    def remove(self, target_id: str, started_at_ms: int | None) -> None:
        """Removes a target that has left.

        :param started_at_ms: incarnation that left; ``None`` means the known one.
        :raises NotLeading: if this member does not lead.
        """
        self.current_leadership()
        known = self.state.directory.view.targets.get(target_id)
        if known is None:
            self.confirm()
            return
        if started_at_ms is None:
            started_at_ms = known.started_at_ms
        self.drop(DropEntry(target_id, started_at_ms), "it announced that it has left")

    # Used by the controllers.

    def current_leadership(self) -> DirectoryLeadership:
        """Returns the current leadership, beginning or ending it as needed.

        :raises NotLeading: if this member does not lead.
        """
        since = self.log.leader_since()
        known = self.leadership
        if since is None:
            self.leadership = None
            raise NotLeading("this member does not lead")
        if known is None or known.leader_since != since:
            known = DirectoryLeadership(since, self.log.term())
            self.leadership = known
        return known

    def confirm(self, is_urgent: bool = False) -> None:
        """Returns once a quorum has confirmed, after the call, that this member leads.

        :param is_urgent: whether callers of a proxy wait for the result.
        :raises NotLeading: if no quorum did.
        """
        self.confirmer.confirm(CONFIRM_TIMEOUT_S, is_urgent)

    def drop(self, command: DropEntry, reason: str) -> None:
        """Removes a target.

        :raises NotLeading: if this member does not lead.
        :raises CommitOutcomeUnknown: if the target may or may not be removed.
        """
        if self.commit_entry(command):
            record_event(
                EventName.target_forgotten,
                target_id=command.target_id,
                reason=reason,
            )

    def commit_entry(
        self,
        command: (
            PutEntry
            | DropEntry
            | SetPrimary
            | RecordTerm
            | FencePrimary
            | SetOwners
            | PauseReplicas
            | ResumeReplicas
            | ForgetLost
        ),
    ) -> bool:
        """Commits a change to the directory.

        :returns: whether it changed anything.
        :raises NotLeading: if nothing was proposed.
        :raises CommitOutcomeUnknown: if it may or may not be committed.
        """
        result = self.committer.commit(command, EntryResult, COMMIT_TIMEOUT_S)
        return result.applied

    def _check(self, document: bytes) -> RoutingTable:
        try:
            check_nesting(document)
            return self.state.directory.codec.decode(document)
        except (BadMessage, InvalidTable) as error:
            record_event(EventName.table_refused, reason=str(error))
            raise InvalidTable(str(error)) from error


def is_known(entry: TargetEntry, known: TargetEntry | None) -> bool:
    """Whether an announcement says nothing new."""
    if known is None:
        return False
    return msgspec.structs.replace(entry, sequence=known.sequence) == known


def is_late(entry: TargetEntry, sequence: int, known: TargetEntry | None) -> bool:
    """Whether an incarnation has announced something else after an announcement.

    A leader may not have received that itself.

    :param sequence: number of the announcement.
    """
    if known is None or known.incarnation() != entry.incarnation():
        return False
    return sequence <= known.sequence

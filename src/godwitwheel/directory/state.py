"""The directory's replicated state."""

import msgspec

from ..observe.events import EventName, record_event
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
from .documents import unpack_document
from .errors import InvalidTable
from .lost_targets import LostTargets, LostTargetsSnapshot
from .promotion_terms import PromotionTerms
from .records import (
    DirectoryView,
    OwnerEntry,
    PausedReplicas,
    RoutingTable,
    TargetEntry,
)
from .table_changes import RecentTables
from .tables import TableCodec
from .view_changes import RecentViews

MAX_DEPARTED = 1024


class DirectorySnapshot(msgspec.Struct, frozen=True):
    """The whole state of :class:`Directory`."""

    version: int = 0
    document: bytes = b""
    targets: dict[str, TargetEntry] = {}
    primaries: dict[str, str] = {}
    tokens: dict[str, int] = {}
    gone: dict[str, int] = {}
    owners: dict[str, OwnerEntry] = {}
    fences: dict[str, str] = {}
    paused: dict[str, PausedReplicas] = {}
    lost: LostTargetsSnapshot = LostTargetsSnapshot()
    terms: dict[str, PromotionTerms] = {}


class Directory:
    """Applies commands, and builds the view that proxies route by.

    :ivar document: the routing table as published, in its stored form; empty before the
        first.
    :ivar tokens: highest fencing token of an order, by service.
    :ivar recent_tables: the tables that were active recently.
    :ivar recent_views: the views that were active recently.
    :ivar departed: start times of targets that left, by id, in order of departure.
    :ivar paused: services whose replicas may be paused for a promotion.
    :ivar lost: targets that are gone and may hold acknowledged commits.
    :ivar terms: the terms of the promotions, by service.
    """

    __slots__ = (
        "codec",
        "view",
        "document",
        "tokens",
        "terms",
        "departed",
        "paused",
        "lost",
        "recent_tables",
        "recent_views",
    )

    def __init__(self, codec: TableCodec):
        self.codec = codec
        self.view = DirectoryView()
        self.document = b""
        self.tokens: dict[str, int] = {}
        self.terms: dict[str, PromotionTerms] = {}
        self.departed: dict[str, int] = {}
        self.paused: dict[str, PausedReplicas] = {}
        self.lost = LostTargets()
        self.recent_tables = RecentTables()
        self.recent_views = RecentViews()

    def put_table(self, index: int, command: PutTable) -> TableResult:
        """Activates a table, if its version is higher than the active one's."""
        table = self._decode(command.document)
        if table is None:
            return TableResult(False, self.view.table.version)
        if self.document and table.version <= self.view.table.version:
            return TableResult(False, self.view.table.version)
        self.document = command.document
        self._update_view(index, table=table)
        self.lost.apply_table(table, self.view.targets)
        self.recent_tables.add(table)
        return TableResult(True, table.version)

    def put_entry(self, index: int, command: PutEntry) -> EntryResult:
        """Adds or replaces a target, unless a later incarnation is known."""
        entry = command.entry
        known = self.view.targets.get(entry.target_id)
        if known == entry or self.is_outdated(entry):
            return EntryResult(False)
        targets = dict(self.view.targets)
        for other in self._replaced_by(entry):
            del targets[other.target_id]
            self._record_loss(other)
        targets[entry.target_id] = entry
        # It answers for itself.
        self.lost.forget(entry.service, [entry.incarnation()])
        primaries = self._primaries_after(entry, known)
        if primaries != self.view.primaries:
            self._name_primary(entry.service)
        self._update_view(index, targets=targets, primaries=primaries)
        return EntryResult(True)

    def is_outdated(self, entry: TargetEntry) -> bool:
        """Whether the entry is of an incarnation that has been replaced."""
        if self.departed.get(entry.target_id, -1) >= entry.started_at_ms:
            return True
        return any(
            other.started_at_ms > entry.started_at_ms
            for target_id, other in self.view.targets.items()
            if target_id == entry.target_id or other.address == entry.address
        )

    def would_displace_configured(self, entry: TargetEntry) -> bool:
        """Whether an entry of an unknown service would replace one of a known service.

        Another writer may have announced it; a target of a new service announces itself
        again once its service is configured.
        """
        services = self.view.table.services
        if entry.service in services:
            return False
        return any(
            other.service in services
            for target_id, other in self.view.targets.items()
            if target_id == entry.target_id or other.address == entry.address
        )

    def drop_entry(self, index: int, command: DropEntry) -> EntryResult:
        """Removes a target, and unless it may return, blocks its incarnation."""
        known = self.view.targets.get(command.target_id)
        if known is None or known.started_at_ms > command.started_at_ms:
            return EntryResult(False)
        if not command.may_return:
            self._record_departure(command)
        targets = dict(self.view.targets)
        del targets[command.target_id]
        self._record_loss(known)
        self._update_view(index, targets=targets)
        return EntryResult(True)

    def set_primary(self, index: int, command: SetPrimary) -> EntryResult:
        """Sets a service's primary, unless an order with a higher token did."""
        if command.token and command.token < self.tokens.get(command.service, 0):
            return EntryResult(False)
        if command.token:
            self.tokens[command.service] = command.token
            # The platform has answered the order, so that it isn't carried out late.
            self._forget_candidate(command.service)
        primaries = {**self.view.primaries, command.service: command.target_id}
        self._name_primary(command.service, command.term)
        fences = dict(self.view.fences)
        fences.pop(command.service, None)
        if primaries != self.view.primaries or fences != self.view.fences:
            self._update_view(index, primaries=primaries, fences=fences)
        return EntryResult(True)

    def fence_primary(self, index: int, command: FencePrimary) -> EntryResult:
        """Fences a service's primary, or sets the candidate of a fenced one."""
        if self.view.fences.get(command.service) == command.candidate:
            return EntryResult(False)
        terms = self.terms_of(command.service)
        self.terms[command.service] = terms.with_candidate(command.above_term)
        fences = {**self.view.fences, command.service: command.candidate}
        self._update_view(index, fences=fences)
        return EntryResult(True)

    def record_term(self, index: int, command: RecordTerm) -> EntryResult:
        """Records a primary's term, unless another target was named meanwhile."""
        service = command.service
        if self.view.primaries.get(service) != command.target_id:
            return EntryResult(False)
        recorded = self.terms_of(service).with_term(command.term)
        is_new = recorded != self.terms_of(service)
        self.terms[service] = recorded
        return EntryResult(is_new)

    def pause_replicas(self, index: int, command: PauseReplicas) -> EntryResult:
        """Records that replicas are being paused, and the candidate for promotion."""
        self.paused[command.service] = PausedReplicas(index, command.candidate)
        return EntryResult(True)

    def resume_replicas(self, index: int, command: ResumeReplicas) -> EntryResult:
        """Ends a pause, unless a later one has begun."""
        paused = self.paused.get(command.service)
        if paused is None or paused.index != command.paused_at:
            return EntryResult(False)
        del self.paused[command.service]
        return EntryResult(True)

    def forget_lost(self, index: int, command: ForgetLost) -> EntryResult:
        """Forgets lost targets whose commits enough others hold."""
        return EntryResult(self.lost.forget(command.service, command.incarnations))

    def set_owners(self, index: int, command: SetOwners) -> EntryResult:
        """Replaces the owners of services."""
        if command.owners == self.view.owners:
            return EntryResult(False)
        self._update_view(index, owners=command.owners)
        return EntryResult(True)

    def snapshot(self) -> DirectorySnapshot:
        """Returns all that :meth:`restore` needs."""
        view = self.view
        return DirectorySnapshot(
            view.version,
            self.document,
            view.targets,
            view.primaries,
            self.tokens,
            self.departed,
            view.owners,
            view.fences,
            dict(self.paused),
            self.lost.snapshot(),
            dict(self.terms),
        )

    def restore(self, snapshot: DirectorySnapshot) -> None:
        """Replaces the whole state."""
        self.document = snapshot.document
        table = RoutingTable()
        decoded = self._decode(snapshot.document) if snapshot.document else None
        if decoded is not None:
            table = decoded
            self.recent_tables.add(table)
        self.view = DirectoryView(
            snapshot.version,
            table,
            snapshot.targets,
            snapshot.primaries,
            snapshot.owners,
            snapshot.fences,
        )
        self.recent_views.add(self.view)
        self.tokens = dict(snapshot.tokens)
        self.departed = dict(snapshot.gone)
        self.paused = dict(snapshot.paused)
        self.lost.restore(snapshot.lost)
        # Snapshots of earlier versions don't name the synchronous services.
        self.lost.apply_table(table, snapshot.targets)
        self.terms = dict(snapshot.terms)

    def terms_of(self, service: str) -> PromotionTerms:
        """Returns what is known of the terms of a service's promotions."""
        return self.terms.get(service, PromotionTerms())

    def _name_primary(self, service: str, term: int = 0) -> None:
        """Records that a primary was named, and in which term if that is known."""
        self.lost.name_primary(service)
        self.terms[service] = self.terms_of(service).with_primary(term)

    def _decode(self, stored: bytes) -> RoutingTable | None:
        """Decodes a stored document.

        :returns: ``None`` if an earlier version of the codec has accepted a document
            that this one refuses: what is in the log must not end the process.
        """
        try:
            return self.codec.decode(unpack_document(stored))
        except InvalidTable as error:
            record_event(EventName.table_refused, reason=str(error))
            return None

    def _forget_candidate(self, service: str) -> None:
        paused = self.paused.get(service)
        if paused is not None:
            self.paused[service] = PausedReplicas(paused.index)

    def _replaced_by(self, entry: TargetEntry) -> list[TargetEntry]:
        """Returns the targets that have ended, as an announcement shows."""
        return [
            other
            for other in self.view.targets.values()
            if other.address == entry.address or other.target_id == entry.target_id
            if other.incarnation() != entry.incarnation()
        ]

    def _record_loss(self, entry: TargetEntry) -> None:
        has_led = self.view.primaries.get(entry.service) == entry.target_id
        self.lost.record(entry, has_led)

    def _record_departure(self, command: DropEntry) -> None:
        self.departed.pop(command.target_id, None)
        self.departed[command.target_id] = command.started_at_ms
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def _primaries_after(
        self, entry: TargetEntry, known: TargetEntry | None
    ) -> dict[str, str]:
        """Returns the primaries after an announcement.

        A target that starts to report itself as primary has been promoted; one that
        continues to do so may not know yet that another was.
        """
        primaries = self.view.primaries
        claimed_before = known is not None and known.claims_lead
        if entry.claims_lead and (not claimed_before or entry.service not in primaries):
            return {**primaries, entry.service: entry.target_id}
        return primaries

    def _update_view(self, index: int, **fields: object) -> None:
        self.view = msgspec.structs.replace(self.view, version=index, **fields)
        self.recent_views.add(self.view)

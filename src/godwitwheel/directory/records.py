"""Records of the directory, and the messages between proxies and control."""

import enum

import msgspec

from ..wire.numbers import MAX_NUMBER, Count, Integer, Rate

# Account of statements and connections that belong to no client account.
NO_ACCOUNT = ""


class Consistency(enum.StrEnum):
    """Consistency that a route's reads need."""

    primary = "primary"
    bounded_staleness = "bounded_staleness"
    read_your_writes = "read_your_writes"


class Route(msgspec.Struct, frozen=True):
    """How statements for one database are served.

    :ivar database: database name that callers use.
    :ivar statement_timeout_ms: limit for one statement, in milliseconds.
    :ivar latency_objective_ms: objective for a whole operation, in milliseconds.
    :ivar priority: 0 is the highest priority.
    :ivar max_staleness_ms: largest staleness of data that a read may return, in
        milliseconds.
    :ivar public: whether callers need no key.
    """

    database: str
    service: str
    consistency: Consistency
    statement_timeout_ms: Integer
    latency_objective_ms: Integer
    priority: Integer = 0
    max_staleness_ms: Integer = 0
    public: bool = True


class ServicePolicy(msgspec.Struct, frozen=True):
    """What the configuration declares for the targets of a service.

    :ivar max_connections: connection cap of each target, over all proxies together.
    :ivar synchronous_replicas: replicas that hold a commit before it is
        acknowledged; 0 if the primary acknowledges it alone.
    """

    name: str
    max_connections: Integer
    synchronous_replicas: Integer = 0


class AccountPolicy(msgspec.Struct, frozen=True):
    """What the configuration declares for a client account.

    :ivar key_digests: digests of the keys that name the account; see
        :func:`godwitwheel.accounts.keys.digest_of`.
    :ivar rate_per_s: operations a second over all processes, ``None`` for no limit.
    :ivar burst: operations above that rate that may run at once.
    """

    name: str
    key_digests: list[str] = []
    rate_per_s: float | None = None
    burst: float = 0.0


class SessionLimits(msgspec.Struct, frozen=True):
    """Time limits for callers' sessions.

    :ivar start_timeout_ms: time for a new session to complete its startup, in
        milliseconds.
    :ivar transaction_idle_ms: idle time in a transaction after which it is ended, in
        milliseconds.
    """

    start_timeout_ms: Integer = 3000
    transaction_idle_ms: Integer = 3000


class RoutingTable(msgspec.Struct, frozen=True):
    """All routes, services and client accounts, at one version.

    :ivar version: 0 before the first table; the highest published version is active.
    """

    version: Count = 0
    routes: dict[str, Route] = {}
    services: dict[str, ServicePolicy] = {}
    limits: SessionLimits = SessionLimits()
    accounts: dict[str, AccountPolicy] = {}


class Incarnation(msgspec.Struct, frozen=True):
    """One run of a target, from its start to its end.

    :ivar started_at_ms: Unix time at which it started; a later one under the same id
        knows nothing of it.
    """

    target_id: str
    started_at_ms: int


class TargetEntry(msgspec.Struct, frozen=True):
    """A target as it announced itself.

    :ivar started_at_ms: Unix time at which this incarnation started.
    :ivar slots: number of statements that it runs concurrently.
    :ivar leaving: it is draining and accepts no new work.
    :ivar claims_lead: it reports that it is the primary.
    :ivar sequence: number of the announcement, within its incarnation, that changed the
        entry last; 0 if it is not known.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    started_at_ms: int
    leaving: bool = False
    claims_lead: bool = False
    sequence: int = 0

    def incarnation(self) -> Incarnation:
        """Returns which run of the target announced itself."""
        return Incarnation(self.target_id, self.started_at_ms)


class OwnerEntry(msgspec.Struct, frozen=True):
    """The process that holds the connections to a service's targets."""

    proxy_id: str
    address: str


class PausedReplicas(msgspec.Struct, frozen=True):
    """The replicas of a service that may be paused for a promotion.

    :ivar index: log index of the command that recorded it.
    :ivar candidate: target that an unanswered order may promote, or empty.
    """

    index: int
    candidate: str = ""


class DirectoryView(msgspec.Struct, frozen=True):
    """The routing information that proxies use.

    :ivar version: log index of the latest change.
    :ivar primaries: by service, the primary or the target that was ordered to become
        it.
    :ivar owners: by service, the process that holds its connections; every proxy opens
        its own connections to a service that is not listed.
    :ivar fences: services whose primary must not be used because it is being replaced,
        each with the target that may have been ordered to take over, or an empty string
        before the first order.
    """

    version: Count = 0
    table: RoutingTable = RoutingTable()
    targets: dict[str, TargetEntry] = {}
    primaries: dict[str, str] = {}
    owners: dict[str, OwnerEntry] = {}
    fences: dict[str, str] = {}

    def leaving_targets(self) -> list[TargetEntry]:
        """Returns the targets that are leaving."""
        return [target for target in self.targets.values() if target.leaving]


class LeavingAge(msgspec.Struct, frozen=True):
    """How long ago a target announced that it leaves.

    :ivar age_ms: time since control received the announcement, in milliseconds.
    """

    incarnation: Incarnation
    age_ms: Count


class PrimaryReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a proxy has observed of a service's primary.

    :ivar target_id: target that the proxy considers the primary, or empty.
    :ivar is_proven: whether the last query confirmed that it is the primary.
    :ivar proof_age_ms: time since it was last confirmed or, if that is later, since the
        proxy was told that it is the primary, in milliseconds.
    :ivar was_proven: whether it was confirmed since the proxy was told that it is the
        primary.
    :ivar named_id: target that the proxy was told is the primary, if it considers
        another one.
    """

    service: str
    target_id: str
    is_proven: bool
    proof_age_ms: int
    was_proven: bool = True
    named_id: str = ""


class TableChange(msgspec.Struct, frozen=True):
    """The difference between a proxy's routing table and the active one.

    :ivar base_version: version to apply it to; 0 if ``table`` is complete.
    :ivar table: the new table, with only those routes and accounts that differ from the
        base.
    :ivar removed: databases whose routes were removed.
    :ivar removed_accounts: names of the client accounts that were removed.
    """

    base_version: Count
    table: RoutingTable
    removed: list[str] = []
    removed_accounts: list[str] = []


class OwnedServices(msgspec.Struct, frozen=True):
    """The services whose connections one process holds."""

    proxy_id: str
    address: str
    services: list[str]


class ViewChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """The difference between a process's view and the active one, without tables.

    :ivar base_version: version of the view to apply it to; 0 if it is complete.
    :ivar version: version of the resulting view.
    :ivar has_targets: whether both views include targets, primaries and fences.
    :ivar owners: by process, the services that it has become the owner of.
    """

    base_version: Count
    version: Count
    has_targets: bool = True
    targets: dict[str, TargetEntry] = {}
    primaries: dict[str, str] = {}
    owners: list[OwnedServices] = []
    fences: dict[str, str] = {}
    removed_targets: list[str] = []
    removed_primaries: list[str] = []
    removed_owners: list[str] = []
    removed_fences: list[str] = []


class AccountDemand(msgspec.Struct, frozen=True):
    """The operations of an account on a runner.

    :ivar rate_per_s: operations requested per second, a moving average over about 1 s.
    :ivar used: operations admitted in the last window.
    """

    account: str
    rate_per_s: Rate
    used: Count = 0


class RateShare(msgspec.Struct, frozen=True):
    """A runner's share of an account's limit.

    :ivar operations: operations that it may run in any window.
    """

    account: str
    operations: Rate


class RateReport(msgspec.Struct, frozen=True):
    """What a runner, which connects to targets, reports about rate limits.

    :ivar run_id: differs after a restart of the process.
    :ivar sequence: increases with each report of a run.
    :ivar leader_term: term of the leader that granted its shares, 0 for none.
    :ivar share_version: version of the shares that it holds, 0 for none.
    :ivar held_shares: the shares that it holds, for a leader that does not know them;
        ``None`` if it does.
    """

    run_id: str
    sequence: Count
    leader_term: Count = 0
    share_version: Count = 0
    demands: list[AccountDemand] = []
    held_shares: list[RateShare] | None = None


class RateReply(msgspec.Struct, frozen=True):
    """The leader's reply to a :class:`RateReport`.

    :ivar leader_term: the leader's term.
    :ivar share_version: version of the shares whose lease the reply begins or renews;
        0 if it does neither.
    :ivar shares: all shares of the runner; ``None`` if it keeps those that it holds.
    """

    leader_term: Count
    share_version: Count = 0
    shares: list[RateShare] | None = None


class ProxyReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """A proxy's periodic report to the leader.

    :ivar view_version: version of the view that the proxy holds; 0 if it holds none, or
        one that lacks what it wants.
    :ivar table_version: version of its routing table.
    :ivar unreachable: targets that the proxy can't currently reach.
    :ivar leaving: whether the proxy is shutting down.
    :ivar owner_address: for an owner, the address at which it runs the statements of
        other proxies; empty for a proxy that serves callers.
    :ivar wants_lease: whether it uses targets itself and needs a lease for that.
    :ivar drained_version: the proxy relies on no primary of a view below this version.
    :ivar wants_targets: whether it connects to targets itself, or is an owner; the
        others need no targets, primaries and fences.
    :ivar rates: set by runners where accounts have limits; otherwise left out of the
        message.
    :ivar build: what the proxy runs, or empty in most reports.
    :ivar wants_leaving_ages: whether it does not know the age of a leaving target.
    :ivar leaving_ages: of the leaving targets, as far as known, if the leader has asked
        for them.
    """

    proxy_id: str
    data_centre: str
    view_version: Count
    primaries: list[PrimaryReport] = []
    unreachable: list[str] = []
    leaving: bool = False
    owner_address: str = ""
    table_version: Count = 0
    wants_lease: bool = False
    drained_version: Count = 0
    wants_targets: bool = True
    rates: RateReport | msgspec.UnsetType = msgspec.UNSET
    build: str = ""
    wants_leaving_ages: bool = False
    leaving_ages: list[LeavingAge] = []


class ProxyReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The leader's reply to a :class:`ProxyReport`.

    :ivar proxies: number of known proxies that serve callers, at least 1.
    :ivar view_version: version of the active view.
    :ivar table_version: version of the active table, which the proxy fetches itself.
    :ivar members: addresses of all control members.
    :ivar owners: number of processes that may own connections to targets.
    :ivar grants_lease: whether the proxy gets a lease, which belongs to this view.
    :ivar view_change: leads to the active view; ``None`` if the proxy holds that, or is
        to ask again because the leader is busy with the views of others.
    :ivar rates: set if the report's are; otherwise left out of the message.
    :ivar wants_leaving_ages: whether the leader asks for the ages of leaving targets.
    :ivar leaving_ages: of the leaving targets, as far as known, with a change of the
        view and if the proxy has asked for them.
    """

    view_version: Count
    proxies: int
    members: list[str] = []
    table_version: Count = 0
    grants_lease: bool = False
    owners: int = 0
    view_change: ViewChange | None = None
    rates: RateReply | msgspec.UnsetType = msgspec.UNSET
    wants_leaving_ages: bool = False
    leaving_ages: list[LeavingAge] = []


class Redirect(msgspec.Struct, frozen=True):
    """Redirects to the leader.

    :ivar leader: its address, empty if no leader is known.
    :ivar silence_ms: time since the redirecting member last heard from the leader, in
        milliseconds.
    """

    leader: str
    silence_ms: Count = MAX_NUMBER

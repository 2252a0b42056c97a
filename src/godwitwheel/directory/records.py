"""Records of the directory, and the messages between proxies and control."""

import enum

import msgspec

from ..wire.numbers import Count


class Consistency(enum.StrEnum):
    """What a read of a route must see."""

    primary = "primary"
    bounded_staleness = "bounded_staleness"
    read_your_writes = "read_your_writes"


class Route(msgspec.Struct, frozen=True):
    """How statements for one database are served.

    :ivar database: name by which callers ask for it.
    :ivar statement_timeout_ms: limit for one statement, in milliseconds.
    :ivar latency_objective_ms: aim for a whole operation, in milliseconds.
    :ivar priority: 0 is the most important.
    :ivar max_staleness_ms: oldest data that a read may show, in milliseconds.
    """

    database: str
    service: str
    consistency: Consistency
    statement_timeout_ms: int
    latency_objective_ms: int
    priority: int = 0
    max_staleness_ms: int = 0


class ServicePolicy(msgspec.Struct, frozen=True):
    """What is declared for the targets of a service.

    :ivar max_connections: cap of each target over all proxies together.
    :ivar synchronous_replicas: replicas that hold a commit before it is
        acknowledged; 0 means that the primary alone vouches for it.
    """

    name: str
    max_connections: int
    synchronous_replicas: int = 0


class SessionLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send.

    :ivar start_timeout_ms: time until a new session has introduced itself.
    :ivar transaction_idle_ms: rest inside a transaction before it is ended.
    """

    start_timeout_ms: int = 3000
    transaction_idle_ms: int = 3000


class RoutingTable(msgspec.Struct, frozen=True):
    """All routes and services, at one version.

    :ivar version: 0 before the first one; the highest that was published counts.
    """

    version: Count = 0
    routes: dict[str, Route] = {}
    services: dict[str, ServicePolicy] = {}
    limits: SessionLimits = SessionLimits()


class TargetEntry(msgspec.Struct, frozen=True):
    """A target as it announced itself.

    :ivar started_at_ms: Unix time at which this incarnation started.
    :ivar slots: statements that it runs at once.
    :ivar leaving: it asked for no new work.
    :ivar claims_lead: it says that it is the primary.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    started_at_ms: int
    leaving: bool = False
    claims_lead: bool = False


class OwnerEntry(msgspec.Struct, frozen=True):
    """The process that holds the connections to a service's targets."""

    proxy_id: str
    address: str


class DirectoryView(msgspec.Struct, frozen=True):
    """What proxies route by.

    :ivar version: log index of the latest change.
    :ivar primaries: target that leads, or was ordered to, by service.
    :ivar owners: by service, who holds its connections; a service that is not named
        has connections from every proxy.
    """

    version: Count = 0
    table: RoutingTable = RoutingTable()
    targets: dict[str, TargetEntry] = {}
    primaries: dict[str, str] = {}
    owners: dict[str, OwnerEntry] = {}


class PrimaryReport(msgspec.Struct, frozen=True):
    """What a proxy has seen of a service's primary.

    :ivar target_id: target that the proxy takes for the primary, or empty.
    :ivar is_proven: whether the last question was answered as a primary answers.
    :ivar proof_age_ms: time since it last proved to lead, in milliseconds.
    """

    service: str
    target_id: str
    is_proven: bool
    proof_age_ms: int


class TableChange(msgspec.Struct, frozen=True):
    """What a proxy lacks of the routing table.

    :ivar base_version: version that it is to be applied to; 0 if it is whole.
    :ivar table: the new table, with only those routes that differ from the base.
    :ivar removed: databases whose routes are gone.
    """

    base_version: Count
    table: RoutingTable
    removed: list[str] = []


class ProxyReport(msgspec.Struct, frozen=True):
    """A proxy's periodic call to the leader.

    :ivar view_version: version of the view that the proxy holds.
    :ivar table_version: version of its routing table.
    :ivar unreachable: targets that the proxy can't reach at present.
    :ivar owner_address: where it runs statements of other proxies; empty for a proxy
        that serves callers.
    """

    proxy_id: str
    data_centre: str
    view_version: Count
    primaries: list[PrimaryReport] = []
    unreachable: list[str] = []
    leaving: bool = False
    owner_address: str = ""
    table_version: Count = 0


class ProxyReply(msgspec.Struct, frozen=True):
    """The leader's answer.

    :ivar view: ``None`` if the proxy holds the newest; its table is sent apart.
    :ivar table_version: version of the table that belongs to the view.
    :ivar table_change: ``None`` if the proxy holds that table.
    :ivar members: addresses of all control members.
    :ivar proxies: number of proxies that reported lately.
    """

    view_version: Count
    proxies: int
    members: list[str] = []
    view: DirectoryView | None = None
    table_version: Count = 0
    table_change: TableChange | None = None


class Redirect(msgspec.Struct, frozen=True):
    """Names the leader's address, which is empty if no leader is known."""

    leader: str

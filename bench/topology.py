"""The deployments that the bench starts: sizes and names."""

from pathlib import Path

SERVICES = Path(__file__).parent / "services"


class Topology:
    """Sizes of a deployment.

    :ivar groups: names of the database groups.
    :ivar targets_per_group: targets of each group, spread over the data centres.
    :ivar services: folder of the service files.
    :ivar data_centre_latency_ms: one-way latency between data centres, in
        milliseconds; used with a relay only.
    :ivar caller_latency_ms: one-way latency to callers, in milliseconds.
    :ivar statement_ms: time that a statement holds its slot, in milliseconds.
    """

    __slots__ = (
        "name",
        "data_centres",
        "groups",
        "targets_per_group",
        "proxies",
        "slots",
        "connection_cap",
        "services",
        "data_centre_latency_ms",
        "caller_latency_ms",
        "statement_ms",
    )

    def __init__(
        self,
        name: str,
        data_centres: list[str],
        groups: list[str],
        services: Path,
        targets_per_group: int = 3,
        proxies: int = 6,
        slots: int = 2,
        connection_cap: int = 15,
        data_centre_latency_ms: float = 1.0,
        caller_latency_ms: float = 1.0,
        statement_ms: float = 2.0,
    ):
        self.name = name
        self.data_centres = data_centres
        self.groups = groups
        self.services = services
        self.targets_per_group = targets_per_group
        self.proxies = proxies
        self.slots = slots
        self.connection_cap = connection_cap
        self.data_centre_latency_ms = data_centre_latency_ms
        self.caller_latency_ms = caller_latency_ms
        self.statement_ms = statement_ms

    def data_centre(self, index: int) -> str:
        """Returns the data centre of the process number ``index`` of its kind."""
        return self.data_centres[index % len(self.data_centres)]


def ferreira() -> Topology:
    """Returns the deployment of hangar-ledger."""
    return Topology(
        "ferreira",
        ["carrasco", "melilla", "laguna"],
        ["hangars-carrasco", "hangars-melilla", "hangars-laguna"],
        SERVICES / "ferreira",
    )


def agency() -> Topology:
    """Returns the deployment of db-kit."""
    return Topology(
        "agency",
        ["parana-a", "villamaria-b", "rafaela-c"],
        ["kit-north", "kit-centre", "kit-south"],
        SERVICES / "agency",
        slots=3,
        connection_cap=40,
        data_centre_latency_ms=1.5,
        caller_latency_ms=3.0,
    )


def small() -> Topology:
    """Returns one group with three proxies, for scenarios."""
    return Topology(
        "small",
        ["carrasco", "melilla", "laguna"],
        ["hangars-carrasco"],
        SERVICES / "small",
        proxies=3,
    )

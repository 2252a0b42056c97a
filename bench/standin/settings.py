"""Settings of the stand-in target."""

from pathlib import Path

from godwitwheel.wire.target import Role


class TargetSettings:
    """Settings of a stand-in target from its command line.

    :ivar advertise: address that it announces: the relay's, if there is one.
    :ivar announce: addresses of the proxies that it announces itself to.
    :ivar follow: address of the primary to replicate from at the start.
    :ivar lag_s: age at which a replica applies an entry, in seconds.
    :ivar slots: statements that run at once; others wait.
    :ivar connect_s: time to open a database connection, in seconds.
    :ivar statement_s: time that a statement holds its slot, in seconds.
    """

    __slots__ = (
        "target_id",
        "group",
        "data_centre",
        "listen",
        "advertise",
        "announce",
        "role",
        "follow",
        "folder",
        "lag_s",
        "slots",
        "connection_cap",
        "connect_s",
        "statement_s",
    )

    def __init__(
        self,
        target_id: str,
        group: str,
        data_centre: str,
        listen: str,
        folder: Path,
        advertise: str = "",
        announce: list[str] | None = None,
        role: Role = Role.replica,
        follow: str = "",
        lag_s: float = 0.0,
        slots: int = 2,
        connection_cap: int = 15,
        connect_s: float = 0.01,
        statement_s: float = 0.0,
    ):
        self.target_id = target_id
        self.group = group
        self.data_centre = data_centre
        self.listen = listen
        self.advertise = advertise or listen
        self.announce = announce or []
        self.role = role
        self.follow = follow
        self.folder = folder
        self.lag_s = lag_s
        self.slots = slots
        self.connection_cap = connection_cap
        self.connect_s = connect_s
        self.statement_s = statement_s

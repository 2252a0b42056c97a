"""Settings of the control process."""


class ControlSettings:
    """Command line settings of the control process.

    :ivar data_folder: folder of the replicated log, the snapshots and the member's
        identity.
    :ivar members: addresses of the initial members by id; used only to bootstrap the
        cell. After that, the log defines the membership.
    :ivar join: start with an empty log as a learner of a running cell.
    :ivar election_timeout_s: shortest time without a message from the leader before an
        election, in seconds.
    :ivar append_interval_s: time between a leader's messages, in seconds.
    :ivar lease_s: length of a proxy's lease, in seconds.
    :ivar clock_drift: largest relative difference between the rates of two VMs'
        clocks.
    :ivar detection_s: time without an answer after which a primary counts as
        unreachable, in seconds.
    :ivar in_sync_lag_s: longest time that a replica may delay writes before it
        leaves the acknowledgement set, in seconds.
    :ivar log_file: file to which events are written; empty for standard error.
    """

    __slots__ = (
        "member_id",
        "data_centre",
        "listen",
        "advertise",
        "data_folder",
        "members",
        "join",
        "election_timeout_s",
        "append_interval_s",
        "lease_s",
        "clock_drift",
        "detection_s",
        "in_sync_lag_s",
        "log_file",
    )

    def __init__(
        self,
        member_id: str,
        data_centre: str,
        listen: str,
        data_folder: str,
        members: dict[str, str],
        advertise: str = "",
        join: bool = False,
        election_timeout_s: float = 0.5,
        append_interval_s: float = 0.05,
        lease_s: float = 0.6,
        clock_drift: float = 0.01,
        detection_s: float = 0.4,
        in_sync_lag_s: float = 0.5,
        log_file: str = "",
    ):
        self.member_id = member_id
        self.data_centre = data_centre
        self.listen = listen
        self.advertise = advertise or listen
        self.data_folder = data_folder
        self.members = members
        self.join = join
        self.election_timeout_s = election_timeout_s
        self.append_interval_s = append_interval_s
        self.lease_s = lease_s
        self.clock_drift = clock_drift
        self.detection_s = detection_s
        self.in_sync_lag_s = in_sync_lag_s
        self.log_file = log_file

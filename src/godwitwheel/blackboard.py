"""The blackboard: the mutable state that the controllers of one proxy share.

One event loop on one thread runs all controllers, so a field changes only where a
controller yields, and no lock is needed.
"""

from collections import deque

from .wire.control import ClusterView
from .wire.service import Configuration
from .wire.target import TargetStatus

MAX_POSITION_SAMPLES = 256


class ProxyIdentity:
    """Identity of this proxy process.

    :ivar incarnation: random number drawn at each start of the process.
    """

    __slots__ = ("proxy_id", "incarnation", "data_centre", "address")

    def __init__(self, proxy_id: str, incarnation: int, data_centre: str, address: str):
        self.proxy_id = proxy_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.address = address


class Lease:
    """The right to acknowledge writes and to read at in-sync replicas.

    :ivar expires_at: expiry in seconds of the clock; the lease duration counts from
        the sending of the heartbeat.
    """

    __slots__ = ("expires_at",)

    def __init__(self, expires_at: float = 0.0):
        self.expires_at = expires_at

    def is_valid(self, now: float) -> bool:
        """Whether the lease has not expired at ``now``."""
        return now < self.expires_at


class PositionSample:
    """A primary's log had reached ``position``, as observed at ``taken_at``.

    :ivar taken_at: when the request that observed it was sent, in seconds of the
        clock.
    """

    __slots__ = ("term", "position", "taken_at")

    def __init__(self, term: int, position: int, taken_at: float):
        self.term = term
        self.position = position
        self.taken_at = taken_at


class TargetState:
    """What a proxy last observed of one target, by probes and replies.

    :ivar answered_at: when the last answered probe was sent, in seconds of the
        clock; negative if none was answered.
    :ivar round_trip_s: moving average of the probe duration, in seconds.
    """

    __slots__ = ("status", "answered_at", "round_trip_s")

    def __init__(self):
        self.status: TargetStatus | None = None
        self.answered_at = -1.0
        self.round_trip_s = 0.0


class Blackboard:
    """Shared mutable state that the controllers of one proxy read and write.

    :ivar view: the newest committed view; its version never decreases.
    :ivar acknowledged_version: view version reported in the last heartbeat sent.
    :ivar configuration: the newest configuration; its revision never decreases.
    :ivar quotas: connections that this proxy may hold, by target.
    :ivar held: connections that this proxy holds or is opening, by target.
    :ivar demand: connections that this proxy could use now, by target.
    :ivar targets: the last observation of each target.
    :ivar samples: primary positions over time, by group, oldest first.
    :ivar announcements: the newest announcement of each target that has not been
        forwarded to control yet.
    :ivar control_leader: address of the control member last known to be the leader;
        empty if none is known.
    :ivar draining: whether the process is stopping and accepts no new connection.
    """

    __slots__ = (
        "identity",
        "lease",
        "view",
        "acknowledged_version",
        "configuration",
        "quotas",
        "held",
        "demand",
        "targets",
        "samples",
        "announcements",
        "control_leader",
        "draining",
    )

    def __init__(self, identity: ProxyIdentity):
        self.identity = identity
        self.lease = Lease()
        self.view = ClusterView()
        self.acknowledged_version = 0
        self.configuration = Configuration()
        self.quotas: dict[str, int] = {}
        self.held: dict[str, int] = {}
        self.demand: dict[str, int] = {}
        self.targets: dict[str, TargetState] = {}
        self.samples: dict[str, deque[PositionSample]] = {}
        self.announcements: dict[str, TargetStatus] = {}
        self.control_leader = ""
        self.draining = False

    def target_state(self, target_id: str) -> TargetState:
        """Returns the state of a target, creating it on first use."""
        return self.targets.setdefault(target_id, TargetState())

    def group_samples(self, group: str) -> deque[PositionSample]:
        """Returns the samples of a group's primary, creating the queue on first use."""
        return self.samples.setdefault(group, deque(maxlen=MAX_POSITION_SAMPLES))

"""What a proxy knows: controllers read it and write it.

One loop on one thread runs all of them, so a field changes only where a
controller yields, and nothing is locked.
"""

from collections import deque

from .wire.control import ClusterView
from .wire.service import Configuration
from .wire.target import TargetStatus

MAX_POSITION_SAMPLES = 256


class ProxyIdentity:
    """Who this process is.

    :ivar incarnation: random number of this start of the process.
    """

    __slots__ = ("proxy_id", "incarnation", "data_centre", "address")

    def __init__(self, proxy_id: str, incarnation: int, data_centre: str, address: str):
        self.proxy_id = proxy_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.address = address


class Lease:
    """The right to acknowledge writes and to read at in-sync replicas.

    :ivar expires_at: time of the clock, in seconds, counted from the moment at
        which the heartbeat was sent.
    """

    __slots__ = ("expires_at",)

    def __init__(self, expires_at: float = 0.0):
        self.expires_at = expires_at

    def is_valid(self, now: float) -> bool:
        """Whether the lease still holds at ``now``."""
        return now < self.expires_at


class PositionSample:
    """A primary had at least ``position`` at ``taken_at``.

    :ivar taken_at: when the probe was sent, in seconds of the clock.
    """

    __slots__ = ("term", "position", "taken_at")

    def __init__(self, term: int, position: int, taken_at: float):
        self.term = term
        self.position = position
        self.taken_at = taken_at


class TargetState:
    """What probes and answers have shown of one target.

    :ivar answered_at: when the last answered probe was sent, in seconds of the
        clock; negative if none was answered.
    :ivar round_trip_s: smoothed duration of a probe, in seconds.
    """

    __slots__ = ("status", "answered_at", "round_trip_s")

    def __init__(self):
        self.status: TargetStatus | None = None
        self.answered_at = -1.0
        self.round_trip_s = 0.0


class Blackboard:
    """All that the controllers of one proxy share.

    :ivar view: the newest committed view; it never goes back.
    :ivar acknowledged_version: view version reported in the last heartbeat sent.
    :ivar configuration: the newest configuration; it never goes back.
    :ivar quotas: connections that this proxy may hold, by target.
    :ivar held: connections that it holds or is opening, by target.
    :ivar demand: connections that it could use now, by target.
    :ivar targets: what is known of each target.
    :ivar samples: primary positions over time, by group, oldest first.
    :ivar announcements: the newest announcement of each target that has not been
        passed on yet.
    :ivar control_leader: address of the member that answered last.
    :ivar draining: the process stops and takes no new request.
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
        """Returns the state of a target, creating it at first use."""
        return self.targets.setdefault(target_id, TargetState())

    def group_samples(self, group: str) -> deque[PositionSample]:
        """Returns the primary's samples of a group, creating them at first use."""
        return self.samples.setdefault(group, deque(maxlen=MAX_POSITION_SAMPLES))

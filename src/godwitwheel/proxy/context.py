"""The objects that the parts of one proxy share besides the blackboard."""

import random

from ..blackboard import Blackboard
from ..decisions.retry_budget import RetryBudget
from ..internal.clock import Clock
from ..internal.signals import ChangeSignal
from .group_signals import GroupSignals
from .in_flight import WritesInFlight
from .metrics import ProxyMetrics
from .pools import TargetPools


class ProxyContext:
    """Collaborators of the executors; built once per proxy.

    :ivar signals: notified, by group, when the view, the lease or a position changes.
    :ivar lease_signal: notified when the view changes or the lease is granted or lost.
    :ivar in_flight: writes sent to a primary that are not answered yet.
    """

    __slots__ = (
        "blackboard",
        "clock",
        "pools",
        "signals",
        "lease_signal",
        "in_flight",
        "metrics",
        "retry_budget",
        "rng",
    )

    def __init__(
        self,
        blackboard: Blackboard,
        clock: Clock,
        pools: TargetPools,
        metrics: ProxyMetrics,
        rng: random.Random,
    ):
        self.blackboard = blackboard
        self.clock = clock
        self.pools = pools
        self.signals = GroupSignals()
        self.lease_signal = ChangeSignal()
        self.in_flight = WritesInFlight(blackboard)
        self.metrics = metrics
        self.retry_budget = RetryBudget()
        self.rng = rng

    def handle_authority_change(self) -> None:
        """Handles a new view and a granted or lost lease.

        Interrupts writes that may no longer be acknowledged and wakes waiting tasks.
        """
        self.in_flight.interrupt_revoked(self.clock.now())
        self.signals.notify_all()
        self.lease_signal.notify()

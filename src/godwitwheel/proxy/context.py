"""What the parts of one proxy share besides the blackboard."""

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
    """Collaborators of the executors; wiring builds it once.

    :ivar signals: woken when the view, the lease or a position changes.
    :ivar lease_signal: woken when the lease is granted or lost.
    :ivar in_flight: writes that a primary is working on.
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

    def authority_changed(self) -> None:
        """Wakes and interrupts what a new view or a lost lease concerns."""
        self.in_flight.interrupt_revoked(self.clock.now())
        self.signals.notify_all()
        self.lease_signal.notify()

"""Faults that the soak injects from outside the programs, and when they may begin."""

import random
import time
from abc import ABC, abstractmethod

from .databases import DEFAULT_LAG_S, SoakGroup, SoakTarget
from .fleet_processes import FleetProcesses, SoakProcess
from .mischief import DiskState, InjectedFaults
from .platform_calls import Operator, PromotionEndpoint

# Only one disk may be lost at a time: this long after a loss, the member is taken to
# have caught up.
DISK_LOSS_SPACING_S = 12.0
# Longer than the grace period in the settings.
STOP_TIMEOUT_S = 8.0
LATE_ORDER_DELAY_S = 3.0


class FaultContext:
    """The parts of the system that faults act on."""

    def __init__(
        self,
        fleet: FleetProcesses,
        groups: dict[str, SoakGroup],
        endpoint: PromotionEndpoint,
        operator: Operator,
        rng: random.Random,
    ):
        self.fleet = fleet
        self.groups = groups
        self.endpoint = endpoint
        self.operator = operator
        self.rng = rng
        self.disk_lost_at = -DISK_LOSS_SPACING_S

    def targets(self) -> list[SoakTarget]:
        """Returns the targets of all groups."""
        return [t for group in self.groups.values() for t in group.targets.values()]

    def hosts(self) -> list[str]:
        """Returns every host that has a link."""
        targets = [t.address.partition(":")[0] for t in self.targets()]
        return [*self.fleet.core_hosts, *self.fleet.front_hosts, *targets]


class Fault(ABC):
    """One fault that begins and ends.

    :ivar what: the process, host or target that it affects, or empty.
    """

    __slots__ = ("context", "what")

    def __init__(self, context: FaultContext):
        self.context = context
        self.what = ""

    def may_begin(self) -> bool:
        """Whether earlier losses allow it now."""
        return True

    @abstractmethod
    def begin(self) -> None:
        """Injects the fault."""

    def end(self) -> None:
        """Ends the fault; does nothing where it ends by itself."""
        return

    def __str__(self) -> str:
        return f"{type(self).__name__} {self.what}"


class ProcessFault(Fault):
    """A fault of one process."""

    __slots__ = ("process",)

    roles = ("core", "owner", "front")

    def __init__(self, context: FaultContext):
        super().__init__(context)
        role = context.rng.choice(self.roles)
        self.process: SoakProcess = context.rng.choice(context.fleet.of_role(role))
        self.what = self.process.process_id


class Killed(ProcessFault):
    """The process is killed and started again."""

    __slots__ = ()

    def begin(self) -> None:
        self.process.kill()

    def end(self) -> None:
        self.process.start_again()


class KilledInSeries(Killed):
    """The process is killed, and killed again while it starts."""

    __slots__ = ()

    def end(self) -> None:
        self.process.start_again()
        self.process.kill()
        self.process.start_again()


class Stopped(ProcessFault):
    """The process is asked to stop, and started again once it has ended."""

    __slots__ = ()

    def begin(self) -> None:
        self.context.fleet.record_stop_request(self.process.host)
        self.process.terminate()

    def end(self) -> None:
        self.process.resume()
        self.process.wait_or_kill(STOP_TIMEOUT_S)
        self.process.start_again()


class Frozen(ProcessFault):
    """The process is paused."""

    __slots__ = ()

    def begin(self) -> None:
        if self.process.is_running():
            self.process.pause()

    def end(self) -> None:
        self.process.resume()


class DiskLost(ProcessFault):
    """A control member is killed and restarts with an empty disk."""

    __slots__ = ()

    roles = ("core",)

    def may_begin(self) -> bool:
        lost_at = self.context.disk_lost_at
        return time.monotonic() - lost_at >= DISK_LOSS_SPACING_S

    def begin(self) -> None:
        self.context.disk_lost_at = time.monotonic()
        self.process.kill()
        self.context.fleet.lose_disk(self.process)

    def end(self) -> None:
        self.context.disk_lost_at = time.monotonic()
        self.process.start_again()


class AllControlKilled(Fault):
    """All control members are killed at the same moment; their disks are kept."""

    __slots__ = ()

    def begin(self) -> None:
        for process in self.context.fleet.of_role("core"):
            process.kill()

    def end(self) -> None:
        for process in self.context.fleet.of_role("core"):
            process.start_again()


class HostFault(Fault):
    """A fault of the clock or the disk of a control member's host."""

    __slots__ = ("host",)

    def __init__(self, context: FaultContext):
        super().__init__(context)
        self.host = context.rng.choice(context.fleet.core_hosts)
        self.what = self.host

    @abstractmethod
    def injected_faults(self) -> InjectedFaults:
        """Returns the faults of the host's clock and disk."""

    def begin(self) -> None:
        self.context.fleet.set_injected_faults(self.host, self.injected_faults())

    def end(self) -> None:
        self.context.fleet.set_injected_faults(self.host, InjectedFaults())


class DiskSlow(HostFault):
    """Syncs are slow."""

    __slots__ = ()

    def injected_faults(self) -> InjectedFaults:
        return InjectedFaults(disk=DiskState.slow)


class DiskFull(HostFault):
    """Syncs fail with ENOSPC."""

    __slots__ = ()

    def injected_faults(self) -> InjectedFaults:
        return InjectedFaults(disk=DiskState.full)


class ClockStepped(HostFault):
    """The wall clock jumps."""

    __slots__ = ()

    def injected_faults(self) -> InjectedFaults:
        return InjectedFaults(
            clock_offset_s=self.context.rng.choice([-30.0, 5.0, 3600.0])
        )


class LinkFault(Fault):
    """A fault of all network links of one host."""

    __slots__ = ("host",)

    def __init__(self, context: FaultContext):
        super().__init__(context)
        self.host = context.rng.choice(context.hosts())
        self.what = self.host

    def others(self) -> list[str]:
        """Returns the other hosts."""
        return [host for host in self.context.hosts() if host != self.host]


class CutOff(LinkFault):
    """The host is isolated in both directions; callers still reach it."""

    __slots__ = ()

    def begin(self) -> None:
        for other in self.others():
            self.context.fleet.links.block(self.host, other)
            self.context.fleet.links.block(other, self.host)

    def end(self) -> None:
        self.context.fleet.links.heal()


class CutOneWay(CutOff):
    """What the host sends does not arrive; it still receives."""

    __slots__ = ()

    def begin(self) -> None:
        for other in self.others():
            self.context.fleet.links.block(self.host, other)


class Delayed(LinkFault):
    """All links of the host have a delay."""

    __slots__ = ()

    def begin(self) -> None:
        delay_s = self.context.rng.choice([0.005, 0.05, 0.3])
        for other in self.others():
            self.context.fleet.links.delay_s[self.host, other] = delay_s
            self.context.fleet.links.delay_s[other, self.host] = delay_s

    def end(self) -> None:
        self.context.fleet.links.heal()


class Reset(LinkFault):
    """The open connections of the host are reset."""

    __slots__ = ()

    def begin(self) -> None:
        for connection in self.context.fleet.links.connections_of(self.host):
            connection.reset()


class Silenced(LinkFault):
    """The host's open connections discard all data, without an end; new ones work."""

    __slots__ = ()

    def begin(self) -> None:
        for connection in self.context.fleet.links.connections_of(self.host):
            connection.is_discarding = True


class TargetFault(Fault):
    """A fault of a target: the primary with probability 0.5, else any of the group."""

    __slots__ = ("target",)

    def __init__(self, context: FaultContext):
        super().__init__(context)
        group = context.rng.choice(sorted(context.groups))
        targets = list(context.groups[group].targets.values())
        primary = context.groups[group].primary
        chosen = context.rng.choice(targets)
        self.target = primary if context.rng.random() < 0.5 else chosen
        self.what = self.target.target_id


class Dark(TargetFault):
    """The target is unresponsive for a while."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.is_unresponsive = True

    def end(self) -> None:
        self.target.is_unresponsive = False


class Crashed(TargetFault):
    """The target's connections end, and it is unresponsive for a while."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.is_unresponsive = True
        self.target.crash()

    def end(self) -> None:
        self.target.is_unresponsive = False


class AnswersLost(TargetFault):
    """The target runs statements, but some answers are lost with their connection."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.answer_loss_rate = self.context.rng.choice([0.1, 0.5])

    def end(self) -> None:
        self.target.answer_loss_rate = 0.0


class Lagging(TargetFault):
    """The target has a high replication lag."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.lag_s = self.context.rng.choice([0.3, 1.0, 4.0])

    def end(self) -> None:
        self.target.lag_s = DEFAULT_LAG_S


class Leaving(TargetFault):
    """The target's heartbeats state for a while that it is draining."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.leaving = True

    def end(self) -> None:
        self.target.leaving = False


class OrdersLate(Fault):
    """Some promotion orders are carried out late, and their answers lost."""

    __slots__ = ()

    def begin(self) -> None:
        self.context.endpoint.late_share = 0.7
        self.context.endpoint.delay_s = LATE_ORDER_DELAY_S

    def end(self) -> None:
        self.context.endpoint.late_share = 0.0


class TableChanged(Fault):
    """The operator changes the routing table."""

    __slots__ = ()

    def begin(self) -> None:
        self.context.operator.publish(limit_s=2.0)


FAULT_TYPES: list[type[Fault]] = [
    Killed,
    KilledInSeries,
    Stopped,
    Frozen,
    DiskLost,
    AllControlKilled,
    DiskSlow,
    DiskFull,
    ClockStepped,
    CutOff,
    CutOneWay,
    Delayed,
    Reset,
    Silenced,
    Dark,
    Crashed,
    AnswersLost,
    Lagging,
    Leaving,
    OrdersLate,
    TableChanged,
]


def draw_fault(context: FaultContext) -> Fault:
    """Draws faults until one may begin now."""
    while True:
        fault = context.rng.choice(FAULT_TYPES)(context)
        if fault.may_begin():
            return fault

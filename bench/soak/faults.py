"""Faults that the soak causes from outside the programs, and when they may come."""

import random
import time
from abc import ABC, abstractmethod

from .databases import USUAL_LAG_S, SoakGroup, SoakTarget
from .fleet_processes import FleetProcesses, SoakProcess
from .mischief import DiskState, Mischief
from .platform_calls import Operator, PromotionEndpoint

# A lost disk counts until its member has caught up; only one may be lost at a time.
DISK_LOSS_SPACING_S = 12.0
# Longer than the grace period that the settings state.
STOP_LIMIT_S = 8.0
LATE_ORDER_S = 3.0


class World:
    """What faults act on."""

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
    """One fault that begins and is taken back."""

    __slots__ = ("world", "what")

    def __init__(self, world: World):
        self.world = world
        self.what = ""

    def may_begin(self) -> bool:
        """Whether it is allowed beside what was lost already."""
        return True

    @abstractmethod
    def begin(self) -> None:
        """Causes the fault."""

    def end(self) -> None:
        """Takes it back; many faults are over by themselves."""
        return

    def __str__(self) -> str:
        return f"{type(self).__name__} {self.what}"


class ProcessFault(Fault):
    """A fault of one process."""

    __slots__ = ("process",)

    roles = ("core", "owner", "front")

    def __init__(self, world: World):
        super().__init__(world)
        role = world.rng.choice(self.roles)
        self.process: SoakProcess = world.rng.choice(world.fleet.of_role(role))
        self.what = self.process.process_id

    def restart(self) -> None:
        """Starts the process again unless another fault has done so."""
        if not self.process.is_running():
            self.process.start()


class Killed(ProcessFault):
    """The process ends at once and is started again."""

    __slots__ = ()

    def begin(self) -> None:
        self.process.kill()

    def end(self) -> None:
        self.restart()


class KilledInSeries(Killed):
    """The process is killed again while it starts."""

    __slots__ = ()

    def end(self) -> None:
        self.restart()
        self.process.kill()
        self.restart()


class Stopped(ProcessFault):
    """The process is asked to stop and started again once it has."""

    __slots__ = ()

    def begin(self) -> None:
        self.world.fleet.note_graceful(self.process.host)
        self.process.terminate()

    def end(self) -> None:
        self.process.resume()
        self.process.end_within(STOP_LIMIT_S)
        self.restart()


class Frozen(ProcessFault):
    """The process stands still."""

    __slots__ = ()

    def begin(self) -> None:
        if self.process.is_running():
            self.process.pause()

    def end(self) -> None:
        self.process.resume()


class DiskLost(ProcessFault):
    """A control member ends and comes back on an empty disk."""

    __slots__ = ()

    roles = ("core",)

    def may_begin(self) -> bool:
        lost_at = self.world.disk_lost_at
        return time.monotonic() - lost_at >= DISK_LOSS_SPACING_S

    def begin(self) -> None:
        self.world.disk_lost_at = time.monotonic()
        self.process.kill()
        self.world.fleet.lose_disk(self.process)

    def end(self) -> None:
        self.world.disk_lost_at = time.monotonic()
        self.restart()


class AllControlKilled(Fault):
    """All control members end at the same moment; their disks are kept."""

    __slots__ = ()

    def begin(self) -> None:
        for process in self.world.fleet.of_role("core"):
            process.kill()

    def end(self) -> None:
        for process in self.world.fleet.of_role("core"):
            if not process.is_running():
                process.start()


class HostFault(Fault):
    """A fault of the clock or the disk of a host of control."""

    __slots__ = ("host",)

    def __init__(self, world: World):
        super().__init__(world)
        self.host = world.rng.choice(world.fleet.core_hosts)
        self.what = self.host

    @abstractmethod
    def mischief(self) -> Mischief:
        """Returns what the host is to do."""

    def begin(self) -> None:
        self.world.fleet.set_mischief(self.host, self.mischief())

    def end(self) -> None:
        self.world.fleet.set_mischief(self.host, Mischief())


class DiskSlow(HostFault):
    """Syncs take long."""

    __slots__ = ()

    def mischief(self) -> Mischief:
        return Mischief(disk=DiskState.slow)


class DiskFull(HostFault):
    """Syncs fail."""

    __slots__ = ()

    def mischief(self) -> Mischief:
        return Mischief(disk=DiskState.full)


class ClockStepped(HostFault):
    """The time of day jumps."""

    __slots__ = ()

    def mischief(self) -> Mischief:
        return Mischief(clock_offset_s=self.world.rng.choice([-30.0, 5.0, 3600.0]))


class LinkFault(Fault):
    """A fault of all links of one host."""

    __slots__ = ("host",)

    def __init__(self, world: World):
        super().__init__(world)
        self.host = world.rng.choice(world.hosts())
        self.what = self.host

    def others(self) -> list[str]:
        """Returns the other hosts."""
        return [host for host in self.world.hosts() if host != self.host]


class CutOff(LinkFault):
    """Nothing passes either way; callers still reach it."""

    __slots__ = ()

    def begin(self) -> None:
        for other in self.others():
            self.world.fleet.links.cut_way(self.host, other)
            self.world.fleet.links.cut_way(other, self.host)

    def end(self) -> None:
        self.world.fleet.links.heal()


class CutOneWay(CutOff):
    """What it sends does not arrive."""

    __slots__ = ()

    def begin(self) -> None:
        for other in self.others():
            self.world.fleet.links.cut_way(self.host, other)


class Delayed(LinkFault):
    """All its links are slow."""

    __slots__ = ()

    def begin(self) -> None:
        delay_s = self.world.rng.choice([0.005, 0.05, 0.3])
        for other in self.others():
            self.world.fleet.links.delay_s[self.host, other] = delay_s
            self.world.fleet.links.delay_s[other, self.host] = delay_s

    def end(self) -> None:
        self.world.fleet.links.heal()


class Reset(LinkFault):
    """Its connections are reset."""

    __slots__ = ()

    def begin(self) -> None:
        for pair in self.world.fleet.links.of_host(self.host):
            pair.reset()


class Silenced(LinkFault):
    """Its open connections pass nothing any more; new ones work."""

    __slots__ = ()

    def begin(self) -> None:
        for pair in self.world.fleet.links.of_host(self.host):
            pair.is_silent = True


class TargetFault(Fault):
    """A fault of a target, half of the time of a primary."""

    __slots__ = ("target",)

    def __init__(self, world: World):
        super().__init__(world)
        group = world.rng.choice(sorted(world.groups))
        targets = list(world.groups[group].targets.values())
        primary = world.groups[group].primary
        chosen = world.rng.choice(targets)
        self.target = primary if world.rng.random() < 0.5 else chosen
        self.what = self.target.target_id


class Dark(TargetFault):
    """It answers nothing for a while."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.is_unresponsive = True

    def end(self) -> None:
        self.target.is_unresponsive = False


class Crashed(TargetFault):
    """Its connections end, and none opens for a while."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.is_unresponsive = True
        self.target.crash()

    def end(self) -> None:
        self.target.is_unresponsive = False


class AnswersLost(TargetFault):
    """It runs statements, and some answers are lost with their connection."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.lost_share = self.world.rng.choice([0.1, 0.5])

    def end(self) -> None:
        self.target.lost_share = 0.0


class Lagging(TargetFault):
    """It applies late."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.lag_s = self.world.rng.choice([0.3, 1.0, 4.0])

    def end(self) -> None:
        self.target.lag_s = USUAL_LAG_S


class Leaving(TargetFault):
    """It announces that it leaves, and takes it back."""

    __slots__ = ()

    def begin(self) -> None:
        self.target.leaving = True

    def end(self) -> None:
        self.target.leaving = False


class OrdersLate(Fault):
    """Answers to orders are lost, and the orders carried out late."""

    __slots__ = ()

    def begin(self) -> None:
        self.world.endpoint.lost_share = 0.7
        self.world.endpoint.delay_s = LATE_ORDER_S

    def end(self) -> None:
        self.world.endpoint.lost_share = 0.0


class TableChanged(Fault):
    """The operator changes the routing table."""

    __slots__ = ()

    def begin(self) -> None:
        self.world.operator.publish(limit_s=2.0)


KINDS: list[type[Fault]] = [
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


def draw_fault(world: World) -> Fault:
    """Draws a fault that may begin now."""
    while True:
        fault = world.rng.choice(KINDS)(world)
        if fault.may_begin():
            return fault

"""One seed of the soak: start, faults in overlapping series, recovery, verdict."""

import contextlib
import itertools
import random
import time
from pathlib import Path

from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import running_task, sleep, spawn
from godwitwheel.wire.server import Server
from godwitwheel.wire.streams import StreamServer

from .callers import Balancer, Caller, Served
from .calm import Calm
from .databases import SoakGroup, SoakTarget
from .faults import Fault, Stopped, TableChanged, World, draw_fault
from .fleet_processes import CALLS_PORT, ZONES, FleetProcesses
from .platform_calls import (
    Operator,
    PromotionEndpoint,
    TargetBeats,
    database_of,
)
from .promises import Promises

SERVICES = ["bookings", "orders"]
TARGETS_PER_GROUP = 3
TARGET_PORT = 7500
START_LIMIT_S = 30.0
RECOVERY_LIMIT_S = 20.0
POLL_S = 0.1
FAULT_PAUSE_S = (0.1, 1.5)
FAULT_LENGTH_S = (0.2, 3.0)
MOST_AT_ONCE = 3
PLANNED = (Stopped, TableChanged)


class SoakOptions:
    """What one run is made of.

    :ivar seconds: how long faults are caused.
    """

    __slots__ = ("seed", "seconds", "fronts", "cores", "callers")

    def __init__(
        self, seed: int, seconds: float, fronts: int, cores: int, callers: int
    ):
        self.seed = seed
        self.seconds = seconds
        self.fronts = fronts
        self.cores = cores
        self.callers = callers


class Verdict:
    """What a run has shown.

    :ivar violations: promises that were broken.
    :ivar faults: what was done, with the time.
    """

    __slots__ = ("seed", "violations", "served", "refused", "commits", "faults")

    def __init__(self, seed: int, promises: Promises, faults: list[str]):
        self.seed = seed
        self.violations = promises.violations
        self.served = promises.served
        self.refused = promises.refused
        self.commits = sum(map(len, promises.acknowledged.values()))
        self.faults = faults

    def relay_errors(self) -> int:
        """Returns how many errors the relay noted."""
        return sum(" relay: " in line for line in self.faults)


class Soak:
    """A running system and what disturbs it."""

    def __init__(self, options: SoakOptions, folder: Path):
        self.options = options
        self.rng = random.Random(options.seed)
        self.promises = Promises()
        self.stack = contextlib.ExitStack()
        self.fleet = FleetProcesses(folder, options.fronts, options.cores)
        self.served = Served()
        self.balancer = Balancer(self.fleet.front_hosts)
        self.calm = Calm(self.fleet, self.promises)
        self.groups = {name: self._group(name) for name in SERVICES}
        self.endpoint = PromotionEndpoint(self.groups, self._rng())
        controls = self.fleet.control_addresses()
        self.operator = Operator(SERVICES, controls, self.promises, self._rng())
        self.world = World(
            self.fleet, self.groups, self.endpoint, self.operator, self.rng
        )
        self.prober = self._caller()
        self.log: list[str] = []
        self.started_at = time.monotonic()

    def __enter__(self) -> "Soak":
        try:
            self.stack.enter_context(self.fleet)
            self._start_targets()
            routes = {("POST", "/failover"): self.endpoint.failover}
            calls = Server(routes, self._unforeseen)
            address = f"{self.fleet.calls_host}:{CALLS_PORT}"
            self.stack.enter_context(calls.listening(address))
        except BaseException:
            self.stack.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stack.close()

    def run(self) -> Verdict:
        """Plays the whole run."""
        for host in self.fleet.front_hosts:
            self._task(lambda host=host: self.balancer.run(host))
        self._wait(self._publishes, START_LIMIT_S, "START", "no table was taken")
        self._start_callers()
        self._wait(self._serves_all, START_LIMIT_S, "START", "not all was served")
        self._task(self.operator.run_reads)
        self._cause_faults()
        self._end_of_faults()
        self.promises.check_disowned()
        for error in self.fleet.errors:
            # Connections that were reset while the relay took them in, mostly.
            self._note(f"relay: {error!r}")
        return Verdict(self.options.seed, self.promises, self.log)

    def _cause_faults(self) -> None:
        ends_at = time.monotonic() + self.options.seconds
        running = []
        while time.monotonic() < ends_at:
            running = [task for task in running if not task.dead]
            if len(running) < MOST_AT_ONCE:
                fault = draw_fault(self.world)
                length_s = self.rng.uniform(*FAULT_LENGTH_S)
                running.append(spawn(self._play, fault, length_s))
            sleep(self.rng.uniform(*FAULT_PAUSE_S))
        for task in running:
            task.wait()
        self.fleet.links.heal()

    def _play(self, fault: Fault, length_s: float) -> None:
        planned = isinstance(fault, PLANNED)
        if not planned:
            self.calm.begin_fault()
        self._note(f"{fault} for {length_s:.1f} s")
        try:
            fault.begin()
            sleep(length_s)
            fault.end()
        finally:
            if not planned:
                self.calm.end_fault()
        self._note(f"{fault} is over")

    def _end_of_faults(self) -> None:
        self.served.at.clear()
        self._wait(self._serves_all, RECOVERY_LIMIT_S, "RECOVER", "not all is served")
        self._wait(self._publishes, RECOVERY_LIMIT_S, "RECOVER", "no table was taken")
        newest = self.operator.version
        self._wait(
            lambda: self.operator.read() == newest,
            RECOVERY_LIMIT_S,
            "CONFIG",
            f"version {newest} is not read back",
        )

    def _publishes(self) -> bool:
        return self.operator.publish(limit_s=5.0)

    def _serves_all(self) -> bool:
        """Whether every proxy has served every route; tries those that have not."""
        serves_all = True
        for host, service, consistency in itertools.product(
            self.fleet.front_hosts, SERVICES, Consistency
        ):
            if (host, database_of(service, consistency)) not in self.served.at:
                self.prober.try_once(host, service, consistency)
                serves_all = False
        return serves_all

    def _wait(self, condition, limit_s: float, rule: str, what: str) -> None:
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if condition():
                return
            sleep(POLL_S)
        self.promises.broke(rule, f"{what} after {limit_s} s")

    def _start_callers(self) -> None:
        for _ in range(self.options.callers):
            self._task(self._caller().run)

    def _caller(self) -> Caller:
        return Caller(
            self.calm, self.balancer, self.promises, self.served, SERVICES, self._rng()
        )

    def _group(self, service: str) -> SoakGroup:
        group = SoakGroup(service, self.promises, self._rng())
        offset = 100 + 10 * SERVICES.index(service)
        for index in range(TARGETS_PER_GROUP):
            host = self.fleet.address(offset + index)
            address = f"{host}:{TARGET_PORT}"
            target_id = f"{service}-{index + 1}"
            group.add(SoakTarget(group, target_id, address, ZONES[index % len(ZONES)]))
        return group

    def _start_targets(self) -> None:
        controls = self.fleet.control_addresses()
        beats = TargetBeats(self.groups, controls, self._rng())
        for group in self.groups.values():
            self._task(group.run_replication)
            for target in group.targets.values():
                server = StreamServer(target.serve, self._unforeseen)
                self.stack.enter_context(server.listening(target.address))
                self.fleet.relay(target.address.partition(":")[0], TARGET_PORT)
                self._task(lambda target=target: beats.run(target))

    def _task(self, function) -> None:
        self.stack.enter_context(running_task(function, self._unforeseen))

    def _unforeseen(self, error: Exception) -> None:
        """Notes an error of the soak itself, which proves nothing of the system."""
        self.promises.broke("SOAK", repr(error))

    def _rng(self) -> random.Random:
        return random.Random(self.rng.random())

    def _note(self, text: str) -> None:
        at_s = time.monotonic() - self.started_at
        self.log.append(f"{at_s:7.2f} {text}")

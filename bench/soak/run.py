"""One seed of the soak: start, overlapping faults, recovery, verdict."""

import contextlib
import itertools
import random
import time
from pathlib import Path

from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import running_task, sleep, spawn
from godwitwheel.wire.server import Server
from godwitwheel.wire.streams import StreamServer

from .accounts import AccountBook
from .callers import Caller, LoadBalancer, SuccessTimes
from .calm import FaultTracker
from .databases import SoakGroup, SoakTarget
from .faults import Fault, FaultContext, Stopped, TableChanged, draw_fault
from .fleet_processes import (
    DATA_CENTRES,
    PLATFORM_CALLS_PORT,
    DeployedProcess,
    FleetProcesses,
    SoakProcess,
)
from .platform_calls import (
    HeartbeatSender,
    Operator,
    PromotionEndpoint,
    database_of,
)
from .promises import PromiseChecker

# Number of synchronous replicas of each service.
SERVICES = {"bookings": 0, "orders": 1}
TARGETS_PER_GROUP = 3
TARGET_PORT = 7500
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 20.0
POLL_S = 0.1
FAULT_PAUSE_S = (0.1, 1.5)
FAULT_DURATION_S = (0.2, 3.0)
MAX_CONCURRENT_FAULTS = 3
PLANNED_FAULTS = (Stopped, TableChanged)


class SoakOptions:
    """Options of one run.

    :ivar seconds: how long faults are injected.
    :ivar fronts: number of session proxies.
    :ivar cores: number of control members.
    :ivar is_deployed: whether processes are started with the deploy file's commands.
    """

    __slots__ = ("seed", "seconds", "fronts", "cores", "callers", "is_deployed")

    def __init__(
        self,
        seed: int,
        seconds: float,
        fronts: int,
        cores: int,
        callers: int,
        is_deployed: bool = False,
    ):
        self.is_deployed = is_deployed
        self.seed = seed
        self.seconds = seconds
        self.fronts = fronts
        self.cores = cores
        self.callers = callers

    def has_accounts(self) -> bool:
        """Whether callers have keys of client accounts: with every second seed."""
        return self.seed % 2 == 0


class Verdict:
    """Result of a run.

    :ivar violations: promises that were broken.
    :ivar faults: start and end of each fault, and errors of the relay, with the time
        since the start in seconds.
    """

    __slots__ = ("seed", "violations", "served", "refused", "commits", "faults")

    def __init__(self, seed: int, promises: PromiseChecker, faults: list[str]):
        self.seed = seed
        self.violations = promises.violations
        self.served = promises.served
        self.refused = promises.refused
        self.commits = sum(map(len, promises.acknowledged.values()))
        self.faults = faults

    def relay_errors(self) -> int:
        """Returns how many errors the relay reported."""
        return sum(" relay: " in line for line in self.faults)


class Soak:
    """A running system, its simulated environment and the faults injected into it."""

    def __init__(self, options: SoakOptions, folder: Path):
        self.options = options
        self.rng = random.Random(options.seed)
        self.promises = PromiseChecker()
        self.stack = contextlib.ExitStack()
        process_type = DeployedProcess if options.is_deployed else SoakProcess
        self.fleet = FleetProcesses(folder, options.fronts, options.cores, process_type)
        self.successes = SuccessTimes()
        self.balancer = LoadBalancer(self.fleet.front_hosts)
        self.fault_tracker = FaultTracker(self.fleet, self.promises)
        self.accounts = AccountBook(random.Random(options.seed), options.has_accounts())
        self.groups = {name: self._create_group(name) for name in SERVICES}
        self.endpoint = PromotionEndpoint(self.groups, self._derived_rng())
        control_addresses = self.fleet.control_addresses()
        self.operator = Operator(
            SERVICES,
            self.accounts,
            control_addresses,
            self.promises,
            self._derived_rng(),
        )
        self.fault_context = FaultContext(
            self.fleet, self.groups, self.endpoint, self.operator, self.rng
        )
        self.prober = self._create_caller()
        self.event_log: list[str] = []
        self.started_at = time.monotonic()

    def __enter__(self) -> "Soak":
        try:
            self.stack.enter_context(self.fleet)
            self._start_targets()
            routes = {("POST", "/failover"): self.endpoint.failover}
            calls = Server(routes, self._report_own_error)
            address = f"{self.fleet.platform_calls_host}:{PLATFORM_CALLS_PORT}"
            self.stack.enter_context(calls.listening(address))
        except BaseException:
            self.stack.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stack.close()

    def run(self) -> Verdict:
        """Runs the seed from the start to the verdict."""
        for host in self.fleet.front_hosts:
            self._start_task(lambda host=host: self.balancer.run(host))
        self._wait_until(
            self._publish_table, START_TIMEOUT_S, "START", "no table acknowledged"
        )
        self._start_callers()
        self._wait_until(
            self._serve_all_routes,
            START_TIMEOUT_S,
            "START",
            "not all routes served",
        )
        self._start_task(self.operator.run_reads)
        self._inject_faults()
        self._check_recovery()
        self.promises.check_refused_operations()
        for error in self.fleet.errors:
            # Mostly connections that were reset while the relay accepted them.
            self._log_event(f"relay: {error!r}")
        return Verdict(self.options.seed, self.promises, self.event_log)

    def _inject_faults(self) -> None:
        ends_at = time.monotonic() + self.options.seconds
        running = []
        try:
            while time.monotonic() < ends_at:
                running = [task for task in running if not task.dead]
                if len(running) < MAX_CONCURRENT_FAULTS:
                    fault = draw_fault(self.fault_context)
                    duration_s = self.rng.uniform(*FAULT_DURATION_S)
                    running.append(spawn(self._run_fault, fault, duration_s))
                sleep(self.rng.uniform(*FAULT_PAUSE_S))
            for task in running:
                task.wait()
        finally:
            # The end of a fault starts processes, which nobody would end.
            for task in running:
                task.kill()
        self.fleet.links.heal()

    def _run_fault(self, fault: Fault, duration_s: float) -> None:
        is_planned = isinstance(fault, PLANNED_FAULTS)
        if not is_planned:
            self.fault_tracker.begin_fault()
        self._log_event(f"{fault} for {duration_s:.1f} s")
        try:
            fault.begin()
            sleep(duration_s)
            fault.end()
        finally:
            if not is_planned:
                self.fault_tracker.end_fault()
        self._log_event(f"{fault} is over")

    def _check_recovery(self) -> None:
        self.successes.last_at.clear()
        self._wait_until(
            self._serve_all_routes,
            RECOVERY_TIMEOUT_S,
            "RECOVER",
            "not all routes served",
        )
        self._wait_until(
            self._publish_table,
            RECOVERY_TIMEOUT_S,
            "RECOVER",
            "no table acknowledged",
        )
        self._wait_until(
            self._receives_everywhere,
            RECOVERY_TIMEOUT_S,
            "RECOVER",
            "a replica is still paused",
        )
        newest = self.operator.version
        self._wait_until(
            lambda: self.operator.read() == newest,
            RECOVERY_TIMEOUT_S,
            "CONFIG",
            f"version {newest} is not read back",
        )

    def _receives_everywhere(self) -> bool:
        """Whether no replica is paused for a promotion any more."""
        return not any(
            target.paused_below
            for group in self.groups.values()
            for target in group.targets.values()
        )

    def _publish_table(self) -> bool:
        return self.operator.publish(limit_s=5.0)

    def _serve_all_routes(self) -> bool:
        """Runs a statement where a proxy has not served a route yet.

        :returns: whether every proxy had served every route before.
        """
        all_served = True
        for host, service, consistency in itertools.product(
            self.fleet.front_hosts, SERVICES, Consistency
        ):
            if (host, database_of(service, consistency)) not in self.successes.last_at:
                self.prober.try_once(host, service, consistency)
                all_served = False
        return all_served

    def _wait_until(self, condition, limit_s: float, rule: str, what: str) -> None:
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if condition():
                return
            sleep(POLL_S)
        self.promises.report_violation(rule, f"{what} after {limit_s} s")

    def _start_callers(self) -> None:
        for _ in range(self.options.callers):
            self._start_task(self._create_caller().run)

    def _create_caller(self) -> Caller:
        return Caller(
            self.fault_tracker,
            self.balancer,
            self.promises,
            self.successes,
            list(SERVICES),
            self.accounts,
            self._derived_rng(),
        )

    def _create_group(self, service: str) -> SoakGroup:
        group = SoakGroup(
            service, self.promises, self._derived_rng(), SERVICES[service]
        )
        offset = 100 + 10 * list(SERVICES).index(service)
        for index in range(TARGETS_PER_GROUP):
            host = self.fleet.address(offset + index)
            address = f"{host}:{TARGET_PORT}"
            target_id = f"{service}-{index + 1}"
            group.add(
                SoakTarget(
                    group, target_id, address, DATA_CENTRES[index % len(DATA_CENTRES)]
                )
            )
        return group

    def _start_targets(self) -> None:
        control_addresses = self.fleet.control_addresses()
        heartbeats = HeartbeatSender(
            self.groups, control_addresses, self._derived_rng()
        )
        for group in self.groups.values():
            self._start_task(group.run_replication)
            for target in group.targets.values():
                server = StreamServer(target.serve, self._report_own_error)
                self.stack.enter_context(server.listening(target.address))
                self.fleet.add_relay(target.address.partition(":")[0], TARGET_PORT)
                self._start_task(lambda target=target: heartbeats.run(target))

    def _start_task(self, function) -> None:
        self.stack.enter_context(running_task(function, self._report_own_error))

    def _report_own_error(self, error: Exception) -> None:
        """Reports an error of the soak itself, not of the system that it tests."""
        self.promises.report_violation("SOAK", repr(error))

    def _derived_rng(self) -> random.Random:
        return random.Random(self.rng.random())

    def _log_event(self, text: str) -> None:
        at_s = time.monotonic() - self.started_at
        self.event_log.append(f"{at_s:7.2f} {text}")

"""The programs of the system, run as child processes of the soak."""

import contextlib
import random
import shutil
import time
from pathlib import Path

import msgspec

from bench.processes import ManagedProcess
from fleet.settings import (
    SETTINGS_VARIABLE,
    Bounds,
    FleetSettings,
    ListenAddresses,
    PlatformCalls,
)
from godwitwheel.internal.loop import sleep
from tests.common.processes import process_environment

from .accounts import WITHDRAWAL_BOUND_S
from .deployed import DeployFile
from .mischief import InjectedFaults, write_injected_faults
from .relay import Links, Relay

DATA_CENTRES = ["north", "middle", "south"]
PLATFORM_CALLS_PORT = 7300
FRONT_PORT = 7301
READINESS_PORT = 7302
CONTROL_PORT = 7303
INTERNAL_PORTS = [7440, 7455]
EXIT_POLL_S = 0.05


class SoakProcess(ManagedProcess):
    """The process of one role on one host.

    :ivar host: IP address of its host.
    :ivar folder: holds its settings, the faults to inject (``mischief.json``), its log
        and its data.
    :ivar is_starting: whether a task is starting it.
    """

    __slots__ = ("role", "host", "folder", "is_paused", "is_starting")

    def __init__(self, role: str, name: str, host: str, folder: Path):
        arguments = [host, str(folder / "mischief.json"), role]
        output = folder / "log.txt"
        super().__init__(f"{name}/{role}", "bench.soak.launch", arguments, output)
        self.role = role
        self.host = host
        self.folder = folder
        self.is_paused = False
        self.is_starting = False

    def environment(self) -> dict[str, str]:
        settings = str(self.folder / "settings.json")
        return {
            **process_environment(),
            SETTINGS_VARIABLE: settings,
            "EVENTLET_NO_GREENDNS": "yes",
        }

    def start(self) -> None:
        self.is_starting = True
        try:
            super().start()
        finally:
            self.is_starting = False
        self.is_paused = False

    def start_again(self) -> None:
        """Starts the process unless another fault has done so, or is about to.

        Starting a process yields to other tasks before it counts as running.
        """
        if not self.is_starting and not self.is_running():
            self.start()

    def pause(self) -> None:
        super().pause()
        self.is_paused = True

    def wait_or_kill(self, limit_s: float) -> None:
        """Waits for a process that was asked to stop; kills it after ``limit_s``."""
        deadline = time.monotonic() + limit_s
        while self.is_running() and time.monotonic() < deadline:
            sleep(EXIT_POLL_S)
        self.kill()

    def resume(self) -> None:
        if self.is_paused and self.is_running():
            super().resume()
        self.is_paused = False


class DeployedProcess(SoakProcess):
    """A process started with the deploy file's own command, which nothing patches.

    Faults of its links, its clock and its disk have no effect on it.
    """

    __slots__ = ("deploy_file",)

    def __init__(self, role: str, name: str, host: str, folder: Path):
        super().__init__(role, name, host, folder)
        self.deploy_file = DeployFile()

    def command(self) -> list[str]:
        return self.deploy_file.command(self.role, self.host, INTERNAL_PORTS[0])

    def environment(self) -> dict[str, str]:
        return self.deploy_file.environment(self.role, self.folder / "settings.json")


class FleetProcesses:
    """All hosts of the system, and the relays in front of them.

    :ivar process_type: how processes are started.

    :ivar stop_requested_at: when the processes of a host were last asked to stop.
    :ivar network: first three octets of every address, drawn so that no other run is
        likely to use them.
    """

    def __init__(
        self,
        folder: Path,
        fronts: int,
        cores: int,
        process_type: type[SoakProcess] = SoakProcess,
    ):
        self.folder = folder
        self.process_type = process_type
        # Not drawn from the seed: two runs of the same seed may overlap.
        rng = random.SystemRandom()
        self.network = f"127.{rng.randint(2, 250)}.{rng.randint(0, 250)}"
        self.links = Links()
        self.errors: list[Exception] = []
        self.stack = contextlib.ExitStack()
        self.processes: list[SoakProcess] = []
        self.core_hosts = [self.address(1 + index) for index in range(cores)]
        self.front_hosts = [self.address(51 + index) for index in range(fronts)]
        self.stop_requested_at: dict[str, float] = {}
        self.platform_calls_host = self.address(250)

    def address(self, number: int) -> str:
        """Returns the address of a host by its number."""
        return f"{self.network}.{number}"

    def __enter__(self) -> "FleetProcesses":
        for index, host in enumerate(self.core_hosts):
            self._add_host(host, index, ["core", "owner"])
        for index, host in enumerate(self.front_hosts):
            self._add_host(host, index, ["front"])
        self.add_relay(self.platform_calls_host, PLATFORM_CALLS_PORT)
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes:
            process.resume()
            process.kill()
        self.stack.close()

    def add_relay(self, host: str, port: int) -> None:
        """Starts the relay in front of an address."""
        relay = Relay(host, port, self.links, self.errors.append)
        self.stack.enter_context(relay.listening())

    def of_role(self, role: str) -> list[SoakProcess]:
        """Returns the processes of one role."""
        return [process for process in self.processes if process.role == role]

    def on_host(self, host: str) -> list[SoakProcess]:
        """Returns the processes of one host."""
        return [process for process in self.processes if process.host == host]

    def data_centre_of(self, host: str) -> str:
        """Returns the data centre of a host of the system."""
        hosts = self.core_hosts if host in self.core_hosts else self.front_hosts
        return DATA_CENTRES[hosts.index(host) % len(DATA_CENTRES)]

    def control_addresses(self) -> list[str]:
        """Returns the control addresses for targets and the operator."""
        return [f"{host}:{CONTROL_PORT}" for host in self.core_hosts]

    def record_stop_request(self, host: str) -> None:
        """Records that the processes of a host are asked to stop."""
        self.stop_requested_at[host] = time.monotonic()

    def set_injected_faults(self, host: str, faults: InjectedFaults) -> None:
        """Replaces the faults that are injected into a host's clock and disk."""
        for process in self.on_host(host):
            write_injected_faults(process.folder / "mischief.json", faults)

    def lose_disk(self, process: SoakProcess) -> None:
        """Empties the disk of a process that is not running.

        Its settings then state that its next start is not the first one.
        """
        data = process.folder / "data"
        shutil.rmtree(data)
        data.mkdir()
        self._write_settings(process, first_start=False)

    def _add_host(self, host: str, index: int, roles: list[str]) -> None:
        for role in roles:
            name = f"{role}-{index + 1}"
            folder = self.folder / name
            (folder / "data").mkdir(parents=True)
            process = self.process_type(role, name, host, folder)
            self.processes.append(process)
            self._write_settings(process, first_start=True)
            write_injected_faults(folder / "mischief.json", InjectedFaults())
        ports = {"core": [7440, CONTROL_PORT], "owner": [7441], "front": [7440]}
        for role in roles:
            for port in ports[role]:
                self.add_relay(host, port)

    def _write_settings(self, process: SoakProcess, first_start: bool) -> None:
        host = process.host
        is_core = host in self.core_hosts
        listen = ListenAddresses(
            "" if is_core else f"{host}:{FRONT_PORT}",
            "" if is_core else f"{host}:{READINESS_PORT}",
            f"{host}:{CONTROL_PORT}" if is_core else "",
        )
        settings = FleetSettings(
            process.process_id.partition("/")[0],
            host,
            self.data_centre_of(host),
            listen,
            INTERNAL_PORTS,
            seeds=self.control_addresses()[:3],
            first_start=first_start,
            data_folder=str(process.folder / "data") if is_core else None,
            bounds=Bounds(
                bounds_withdrawals=True,
                withdrawal_bound_ms=1000.0 * WITHDRAWAL_BOUND_S,
            ),
            platform_calls=PlatformCalls(
                f"{self.platform_calls_host}:{PLATFORM_CALLS_PORT}"
            ),
        )
        path = process.folder / "settings.json"
        path.write_bytes(msgspec.json.encode(settings))

"""Runs a whole deployment as processes on loopback and injects faults."""

import contextlib
import shutil
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.target import Role, TargetStatus
from tests.common.processes import (
    free_address,
    process_environment,
    wait_until,
)

from .command_lines import CommandLines, Member, data_folder, joined_addresses
from .links import SetLinks
from .processes import ManagedProcess
from .standin.interface import CountersReply, Query, QueryReply, SetLag
from .topology import Topology

CALL_TIMEOUT_S = 2.0
RELAY_TIMEOUT_S = 20.0
READY_LIMIT_S = 30.0
PUBLISH_TIMEOUT_S = 20.0


class Deployment:
    """Control members, proxies and stand-in targets of one topology.

    :ivar members: every process by its id.
    :ivar folder: logs, data and output of all processes.
    :ivar with_relay: whether processes connect to each other through the relay.
    """

    __slots__ = (
        "topology",
        "folder",
        "with_relay",
        "members",
        "relay",
        "client",
        "relay_control",
        "cuts",
        "lag_ms",
        "keep_folder",
    )

    def __init__(
        self,
        topology: Topology,
        with_relay: bool = False,
        lag_ms: int = 0,
        folder: Path | None = None,
    ):
        self.topology = topology
        self.with_relay = with_relay
        self.lag_ms = lag_ms
        self.keep_folder = folder is not None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="godwitwheel-bench-"))
        self.members: dict[str, Member] = {}
        self.relay: ManagedProcess | None = None
        self.relay_control = ""
        self.cuts: list[tuple[str, str]] = []
        self.client = Client()

    def __enter__(self) -> "Deployment":
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            self._define_processes()
            self._start_all()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()
        if not self.keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def stop(self) -> None:
        """Ends every process that this deployment started."""
        self.client.__exit__(None, None, None)
        for member in self.members.values():
            member.process.kill()
        if self.relay is not None:
            self.relay.kill()

    # The processes and their files.

    def of_kind(self, kind: str) -> list[Member]:
        """Returns the members of a kind: ``control``, ``proxy`` or ``target``."""
        return [member for member in self.members.values() if member.kind == kind]

    def proxy_addresses(self) -> list[str]:
        """Returns the addresses on which the proxies accept callers."""
        return [member.listen for member in self.of_kind("proxy")]

    def targets_of(self, group: str) -> list[str]:
        """Returns the ids of a group's targets."""
        return [name for name, m in self.members.items() if m.group == group]

    def process_ids_in(self, data_centre: str) -> list[str]:
        """Returns the ids of the processes in a data centre."""
        found = self.members.items()
        return [name for name, member in found if member.data_centre == data_centre]

    def log_files(self) -> list[Path]:
        """Returns the event logs of all processes."""
        return sorted(self.folder.glob("*.log"))

    # State, as the processes report it.

    def status(self, target_id: str) -> TargetStatus | None:
        """Returns a target's status, or ``None`` if it does not answer."""
        address = self.members[target_id].listen
        with contextlib.suppress(WireError):
            return self.client.call(
                address, "/v1/status", None, TargetStatus, CALL_TIMEOUT_S
            )
        return None

    def primary_of(self, group: str) -> str:
        """Returns the running primary of a group's highest term, or empty."""
        found = []
        for target_id in self.targets_of(group):
            if not self.members[target_id].process.is_running():
                continue
            status = self.status(target_id)
            if status is not None and status.role is Role.primary and status.term:
                found.append((status.term, target_id))
        return max(found)[1] if found else ""

    def counters(self, target_id: str) -> CountersReply:
        """Returns a target's counters."""
        address = self.members[target_id].listen
        path = "/bench/counters"
        return self.client.call(address, path, None, CountersReply, CALL_TIMEOUT_S)

    def query(self, target_id: str, sql: str) -> list[list]:
        """Runs a query directly on a target's store."""
        address = self.members[target_id].listen
        reply = self.client.call(address, "/bench/query", Query(sql), QueryReply, 10.0)
        return reply.rows

    def is_ready(self, proxy_id: str) -> bool:
        """Whether a proxy reports that it is ready for callers."""
        url = f"http://{self.members[proxy_id].listen}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as reply:
                return reply.status == 200
        except (urllib.error.URLError, OSError):
            return False

    # Faults.

    def kill(self, process_id: str) -> None:
        """Kills a process (``SIGKILL``)."""
        self.members[process_id].process.kill()

    def pause(self, process_id: str) -> None:
        """Pauses a process (``SIGSTOP``)."""
        self.members[process_id].process.pause()

    def resume(self, process_id: str) -> None:
        """Resumes a paused process."""
        self.members[process_id].process.resume()

    def terminate(self, process_id: str) -> None:
        """Requests a graceful stop of a process (``SIGTERM``)."""
        self.members[process_id].process.terminate()

    def restart(self, process_id: str, lose_disk: bool = False) -> None:
        """Starts a killed process again, with its data or with an empty data folder."""
        member = self.members[process_id]
        if lose_disk:
            shutil.rmtree(data_folder(self.folder, process_id), ignore_errors=True)
        member.process.start()

    def set_lag(self, target_id: str, lag_ms: int) -> None:
        """Sets the replication lag of a replica."""
        address = self.members[target_id].listen
        message = SetLag(lag_ms)
        self.client.call(address, "/bench/lag", message, TargetStatus, CALL_TIMEOUT_S)

    def leave(self, target_id: str) -> None:
        """Makes a target announce that it is leaving."""
        address = self.members[target_id].listen
        self.client.call(address, "/bench/leave", {}, TargetStatus, CALL_TIMEOUT_S)

    def isolate(self, process_ids: list[str]) -> None:
        """Cuts the links between ``process_ids`` and all other processes."""
        outside = [name for name in self.members if name not in process_ids]
        self.cuts = [(one, other) for one in process_ids for other in outside]
        self._set_links()

    def cut_links(self, pairs: list[tuple[str, str]]) -> None:
        """Cuts exactly these links and restores all others."""
        self.cuts = pairs
        self._set_links()

    def heal(self) -> None:
        """Restores every link."""
        self.cut_links([])

    # Starting.

    def _define_processes(self) -> None:
        topology = self.topology
        for index in range(3):
            self._add_process(
                f"control-{index + 1}", "control", topology.data_centre(index)
            )
        for index in range(topology.proxies):
            self._add_process(
                f"proxy-{index + 1}", "proxy", topology.data_centre(index)
            )
        for offset, group in enumerate(topology.groups):
            for index in range(topology.targets_per_group):
                data_centre = topology.data_centre(offset + index)
                self._add_process(f"{group}-{index + 1}", "target", data_centre, group)
        lines = CommandLines(self.topology, self.members, self.folder, self.lag_ms)
        for member in self.members.values():
            member.process.arguments += lines.arguments(member)

    def _add_process(
        self, process_id: str, kind: str, data_centre: str, group: str = ""
    ) -> None:
        module = "bench.target" if kind == "target" else "godwitwheel"
        number = len(self.members) + 1
        source_ip = f"127.0.1.{number}" if self.with_relay else ""
        output = self.folder / f"{process_id}.out"
        process = ManagedProcess(process_id, module, [], output, source_ip)
        listen = free_address()
        advertise = free_address() if self.with_relay else listen
        self.members[process_id] = Member(
            process, kind, data_centre, group, listen, advertise
        )

    def _start_all(self) -> None:
        if self.with_relay:
            self._start_relay()
        for member in self.members.values():
            member.process.start()
        self.publish(self.topology.services)
        proxies = [member.process.process_id for member in self.of_kind("proxy")]
        for proxy_id in proxies:
            what = f"{proxy_id} is ready ({self.folder})"
            wait_until(lambda name=proxy_id: self.is_ready(name), what, READY_LIMIT_S)
        for group in self.topology.groups:
            what = f"{group} has a primary ({self.folder})"
            wait_until(lambda name=group: self.primary_of(name), what, READY_LIMIT_S)

    def _start_relay(self) -> None:
        self.relay_control = free_address()
        arguments = ["--control", self.relay_control]
        for process_id, member in self.members.items():
            link = f"{process_id}={member.advertise}={member.listen}"
            source = f"{member.process.source_ip}={process_id}"
            arguments += ["--link", link, "--source", source]
        output = self.folder / "relay.out"
        self.relay = ManagedProcess("relay", "bench.relay", arguments, output)
        self.relay.start()
        wait_until(self._try_set_links, "the relay answers")

    def _try_set_links(self) -> bool:
        try:
            self._set_links()
        except WireError:
            return False
        return True

    def _set_links(self) -> None:
        links = SetLinks(self.cuts, self._latencies())
        self.client.call(self.relay_control, "/links", links, dict, RELAY_TIMEOUT_S)

    def _latencies(self) -> list[tuple[str, str, float]]:
        found = []
        names = list(self.members)
        for index, one in enumerate(names):
            for other in names[index + 1 :]:
                is_remote = (
                    self.members[one].data_centre != self.members[other].data_centre
                )
                if is_remote and self.topology.data_centre_latency_ms:
                    found.append((one, other, self.topology.data_centre_latency_ms))
        return found

    def publish(self, folder: Path) -> None:
        """Publishes a folder of service files, retrying until it is accepted."""
        wait_until(lambda: self._try_publish(folder), "the publish is accepted")

    def _try_publish(self, folder: Path) -> bool:
        command = [sys.executable, "-m", "godwitwheel", "publish"]
        command += ["--control", joined_addresses(self.of_kind("control")), str(folder)]
        finished = subprocess.run(
            command,
            env=process_environment(),
            capture_output=True,
            timeout=PUBLISH_TIMEOUT_S,
        )
        with (self.folder / "publish.out").open("ab") as output:
            output.write(finished.stdout + finished.stderr)
        return finished.returncode == 0

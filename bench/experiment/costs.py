"""Measures the processor time per statement and the memory per idle caller."""

import socket
import time
from pathlib import Path

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep
from godwitwheel.internal.validation import split_address
from tests.common.processes import free_address, wait_until

from ..deployment import Deployment
from ..load import LoadProcesses
from ..processes import ManagedProcess
from ..records import Ending
from ..topology import ferreira
from ..usage import processor_s, resident_bytes
from .base import Experiment

RATE_PER_S = 400.0
IDLE_S = 3.0
IDLE_CALLERS = 1000
_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"
_REPLY_BYTES = 4096


class Costs(Experiment):
    """Costs of a deployment's processes, and of the bare HTTP server."""

    name = "costs"

    def run(self) -> None:
        seconds = 20.0 if self.is_long else 5.0
        folder = self.folder / self.name
        with Deployment(ferreira(), folder=folder) as deployment:
            idle = self._idle_share(deployment)
            self._measure_load(deployment, seconds, idle)
            proxy = deployment.of_kind("proxy")[0]
            self._measure_memory("proxy", proxy.process, proxy.listen)
        self._measure_echo(folder, seconds)

    def _idle_share(self, deployment: Deployment) -> dict[str, float]:
        """Measures the share of a core that each kind of process uses when idle."""
        sleep(IDLE_S)
        before = processor_s_by_kind(deployment)
        sleep(IDLE_S)
        after = processor_s_by_kind(deployment)
        shares = {kind: (after[kind] - before[kind]) / IDLE_S for kind in after}
        for kind, share in shares.items():
            members = deployment.of_kind(kind)
            resident = [resident_bytes(m.process.child.pid) for m in members]
            self.rows.append(
                {
                    "what": f"{kind}, idle",
                    "core_percent": 100 * share / len(members),
                    "resident_mib": max(resident) / (1 << 20),
                }
            )
        return shares

    def _measure_load(
        self, deployment: Deployment, seconds: float, idle: dict[str, float]
    ) -> None:
        topology = deployment.topology
        before, started = processor_s_by_kind(deployment), time.monotonic()
        with LoadProcesses(
            deployment.proxy_addresses(),
            topology.name,
            topology.groups,
            RATE_PER_S,
            seconds,
            deployment.folder,
        ) as load:
            records = load.wait().records
        took_s = time.monotonic() - started
        after = processor_s_by_kind(deployment)
        self.check_answers(deployment, records)
        statements = sum(max(record.entries, 1) for record in records)
        done = sum(record.ending is Ending.done for record in records)
        for kind in after:
            used = after[kind] - before[kind] - idle[kind] * took_s
            self.rows.append(
                {
                    "what": f"{kind}, at {RATE_PER_S:.0f} requests/s over all",
                    "processor_ms_per_statement": 1000 * used / statements,
                    "done_share": done / len(records),
                }
            )

    def _measure_echo(self, folder: Path, seconds: float) -> None:
        """Measures the bare server under the same requests."""
        address = free_address()
        arguments = ["--listen", address]
        echo = ManagedProcess("echo", "bench.echo", arguments, folder / "echo.out")
        echo.start()
        try:
            wait_until(lambda: is_listening(address), "the echo server listens")
            before = processor_s(echo.child.pid)
            groups = ferreira().groups
            with LoadProcesses(
                [address], "ferreira", groups, RATE_PER_S, seconds, folder
            ) as load:
                records = load.wait().records
            used = processor_s(echo.child.pid) - before
            statements = sum(max(record.entries, 1) for record in records)
            self.rows.append(
                {
                    "what": "bare HTTP server",
                    "processor_ms_per_statement": 1000 * used / statements,
                }
            )
            self._measure_memory("bare HTTP server", echo, address)
        finally:
            echo.kill()

    def _measure_memory(self, what: str, process: ManagedProcess, address: str) -> None:
        before = resident_bytes(process.child.pid)
        callers = [idle_caller(address) for _ in range(IDLE_CALLERS)]
        after = resident_bytes(process.child.pid)
        for caller in callers:
            caller.close()
        self.rows.append(
            {
                "what": f"{what}, {IDLE_CALLERS} idle callers",
                "kib_per_caller": (after - before) / IDLE_CALLERS / 1024,
            }
        )

    def plot(self, axes: Axes) -> None:
        key = "processor_ms_per_statement"
        rows = [row for row in self.rows if key in row]
        axes.barh([row["what"] for row in rows], [row[key] for row in rows])
        axes.set_xlabel("processor time of a statement, ms")
        axes.set_title("Costs")


def processor_s_by_kind(deployment: Deployment) -> dict[str, float]:
    """Returns the processor time of all processes of each kind, in seconds."""
    return {
        kind: sum(processor_s(m.process.child.pid) for m in deployment.of_kind(kind))
        for kind in ("proxy", "control", "target")
    }


def is_listening(address: str) -> bool:
    """Whether something accepts connections."""
    try:
        socket.create_connection(split_address(address), 1.0).close()
    except OSError:
        return False
    return True


def idle_caller(address: str) -> socket.socket:
    """Returns a kept-alive connection that has received one answer."""
    caller = socket.create_connection(split_address(address), 5.0)
    caller.sendall(_REQUEST)
    caller.recv(_REPLY_BYTES)
    return caller

"""Measures the replicated log: three members in processes of their own, on real files.

Run ``python -m bench.consensus_bench``. The leader generates the load and
prints the results as JSON lines; the disk baseline runs in the parent process.
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from godwitwheel.consensus.driver import ConsensusLog
from godwitwheel.consensus.http_transport import consensus_routes
from godwitwheel.consensus.replicated import StateMachine
from godwitwheel.consensus.running import running_log
from godwitwheel.consensus.state import ConsensusOptions
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import Semaphore, sleep, spawn
from godwitwheel.wire.server import Server
from tests.common.processes import free_port, process_environment

COMMAND = b"x" * 200
MEMBERS = ("a", "b", "c")
TIMEOUT_S = 5.0
WARM_UP_S = 0.5


class Counter(StateMachine):
    """Counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index, command):
        self.count += 1
        return b""

    def take_snapshot(self):
        return b"%d" % self.count

    def load_snapshot(self, snapshot):
        self.count = int(snapshot)


def measure(name: str, callers: int, seconds: float, call: Callable) -> None:
    """Runs ``call`` in ``callers`` concurrent tasks and prints rate and latency."""
    latencies_ms = []
    started = time.perf_counter()
    processor_s = time.process_time()

    def run() -> None:
        while time.perf_counter() - started < seconds:
            began = time.perf_counter()
            call()
            latencies_ms.append((time.perf_counter() - began) * 1000)

    for task in [spawn(run) for _ in range(callers)]:
        task.wait()
    elapsed = time.perf_counter() - started
    latencies_ms.sort()
    result = {
        "name": name,
        "callers": callers,
        "per_second": round(len(latencies_ms) / elapsed),
        "median_ms": round(latencies_ms[len(latencies_ms) // 2], 2),
        "p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 2),
        "leader_core": round((time.process_time() - processor_s) / elapsed, 2),
    }
    print(json.dumps(result), flush=True)


def measure_fdatasync(folder: str, seconds: float) -> None:
    """Measures the disk's baseline: a loop that only writes and syncs."""
    fd = os.open(Path(folder) / "bare", os.O_WRONLY | os.O_CREAT)

    def write_and_sync() -> None:
        os.write(fd, COMMAND)
        os.fdatasync(fd)

    measure("bare fdatasync", 1, seconds, write_and_sync)
    os.close(fd)


def measure_all(log: ConsensusLog, seconds: float) -> None:
    """Runs every load on the leader."""
    serial = Semaphore(1)

    def propose() -> None:
        log.propose(COMMAND, TIMEOUT_S)

    def propose_serially() -> None:
        with serial:
            propose()

    def confirm() -> None:
        log.confirm_leadership(TIMEOUT_S)

    measure("one sync per proposal", 64, seconds, propose_serially)
    for callers in (1, 64):
        measure("propose", callers, seconds, propose)
        measure("confirm_leadership", callers, seconds, confirm)


def run_member(member_id: str, members: dict[str, str], folder: str, seconds: float):
    """Runs one member until it is killed; the leader ends after measuring."""
    options = ConsensusOptions(member_id, members[member_id], members)
    data_folder = Path(folder) / member_id
    rng = random.Random(member_id)
    with running_log(options, Counter(), data_folder, BootClock(), rng) as log:
        server = Server(consensus_routes(log), on_error=print)
        with server.listening(members[member_id]):
            while log.leader_since() is None:
                sleep(0.05)
            sleep(WARM_UP_S)
            measure_all(log, seconds)


def main() -> None:
    """Runs one member, or the disk baseline and then the whole cell."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--folder", default=None)
    parser.add_argument("--member", default="")
    parser.add_argument("--members", type=json.loads, default=None)
    arguments = parser.parse_args()
    if arguments.member:
        run_member(
            arguments.member, arguments.members, arguments.folder, arguments.seconds
        )
        return
    members = {name: f"127.0.0.1:{free_port()}" for name in MEMBERS}
    with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
        measure_fdatasync(folder, arguments.seconds)
        run_cell(members, folder, arguments.seconds)


def run_cell(members: dict[str, str], folder: str, seconds: float) -> None:
    """Runs the members as processes until one of them, the leader, has ended."""
    command = [sys.executable, "-m", "bench.consensus_bench", "--folder", folder]
    command += ["--members", json.dumps(members), "--seconds", str(seconds)]
    processes = [
        subprocess.Popen([*command, "--member", name], env=process_environment())
        for name in members
    ]
    try:
        while all(process.poll() is None for process in processes):
            time.sleep(0.1)
    finally:
        for process in processes:
            process.kill()
            process.wait()


if __name__ == "__main__":
    main()

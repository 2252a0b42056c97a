"""Starts the programs of the deploy file on loopback addresses and signals them."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ["carrasco", "melilla", "laguna"]
FRONT, READY, CONTROL, INTERNAL = 8784, 8785, 8782, 7440


def free_network():
    """Returns a loopback prefix on which the ports of a deployment are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, CONTROL, INTERNAL, INTERNAL + 1):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.10", port))
            return prefix
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Process:
    """One process of a role on a machine."""

    def __init__(self, role, section, settings, folder):
        self.role, self.section = role, section
        self.settings, self.folder = settings, folder
        self.child = None
        self.log = folder / f"{role}.log"

    def start(self):
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings))
        line = self.section["run"].replace("{{ip}}", self.settings["ip"])
        line = line.replace("{{internal_port_range.0}}", str(INTERNAL))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GODWITWHEEL_CONFIG": str(path),
            **self.section.get("env", {}),
        }
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(
                shlex.split(line),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Machine:
    """A machine with one process a role."""

    def __init__(self, fleet, name, kind, host, zone, number):
        self.fleet, self.name, self.kind = fleet, name, kind
        self.host, self.zone = host, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.processes = []
        roles = ["front"] if kind == "front" else ["core", "owner"]
        settings = fleet.settings_of(self)
        for role in roles:
            folder = self.folder / role
            folder.mkdir()
            section = fleet.roles[role]
            self.processes.append(Process(role, section, settings, folder))

    def start(self):
        for process in self.processes:
            process.start()
        self.fleet.record.write("machine", name=self.name, action="start")

    def signal(self, number):
        """Sends a signal to all processes of the machine at once."""
        for process in self.processes:
            process.signal(number)
        what = signal.Signals(number).name
        return self.fleet.record.write("machine", name=self.name, action=what)

    async def stop_and_start(self, grace_s):
        """Stops the machine as planned: SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while time.monotonic() < until and any(p.is_running() for p in self.processes):
            await asyncio.sleep(0.05)
        for process in self.processes:
            process.kill()
        await asyncio.sleep(0.2)
        self.start()
        return self.fleet.record.now()

    def log_lines(self, role):
        path = self.folder / role / f"{role}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue


class Fleet:
    """A small deployment: three core machines and some fronts."""

    def __init__(self, record, fronts=3, bounds=None, platform_address=""):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.platform_address = platform_address or f"{self.network}.90:9100"
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())[
            "roles"
        ]
        self.bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 4000,
            "ack_timeout_ms": 5000,
            "catch_up_s": 4,
            "drain_timeout_ms": 7000,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 3000,
            "downgrade_slack_ms": 250,
            "max_skew_ms": 12000,
            "recovery_s": 12,
            "require_fencing": True,
            "thaw_slack_ms": 300,
            **(bounds or {}),
        }
        self.core = [
            Machine(self, f"core-{zone}-1", "core", f"{self.network}.{10 + n}", zone, n)
            for n, zone in enumerate(ZONES)
        ]
        self.fronts = [
            Machine(
                self,
                f"front-{ZONES[n % 3]}-{n + 1}",
                "front",
                f"{self.network}.{20 + n}",
                ZONES[n % 3],
                n,
            )
            for n in range(fronts)
        ]

    @property
    def control_addresses(self):
        return [f"{self.network}.{10 + n}:{CONTROL}" for n in range(3)]

    @property
    def front_addresses(self):
        return [f"{machine.host}:{FRONT}" for machine in self.fronts]

    def settings_of(self, machine):
        is_front = machine.kind == "front"
        listen = {"front": FRONT, "ready": READY} if is_front else {"control": CONTROL}
        data = None
        if not is_front:
            data = machine.folder / "data"
            data.mkdir()
        return {
            "node_name": machine.name,
            "role": machine.kind,
            "machine_class": machine.kind,
            "serves": ["front"] if is_front else ["control"],
            "ip": machine.host,
            "zone": machine.zone,
            "region": "uy-south",
            "zones": dict.fromkeys(ZONES, "uy-south"),
            "listen_addresses": {k: f"{machine.host}:{p}" for k, p in listen.items()},
            "internal_port_range": [INTERNAL, INTERNAL + 15],
            "seeds": self.control_addresses,
            "bootstrap": True,
            "counts_as_loss": not is_front,
            "limits": {"cpu_share": 0.6, "cores": 2, "memory_mb": 300, "max_fds": 4300},
            "data_dir": None if data is None else str(data),
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "config_mode": "highest",
            "cloud_api": {
                "address": self.platform_address,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    def start(self):
        for machine in [*self.core, *self.fronts]:
            machine.start()

    def end(self):
        for machine in [*self.core, *self.fronts]:
            for process in machine.processes:
                process.kill()
        keep = os.environ.get("KEEP")
        if keep:
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, max_connections=41, sync_replicas=0):
    """Returns a configuration; ``routes`` maps databases to (type, service)."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "database": database,
                "path_prefix": "/",
                "type": kind,
                "timeout_ms": 800,
                "target_latency_ms": 200,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "max_staleness_ms": 1500,
            }
            for database, (kind, service) in routes.items()
        ],
        "services": [
            {
                "name": name,
                "health_check_path": "/health",
                "max_connections": max_connections,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": sync_replicas,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tx_idle_ms": 3000,
        },
    }


async def wait_served(record, fleet, database, limit_s=25.0):
    """Waits until a write is served by every front."""
    from standins import Caller

    until = time.monotonic() + limit_s
    for address in fleet.front_addresses:
        while True:
            try:
                caller = await Caller.connect(address, database)
                _, outcome, _ = await caller.query("warm0", "WRITE w0 warm")
                caller.close()
                if outcome.startswith("COMPLETE"):
                    break
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                pass
            if time.monotonic() > until:
                raise TimeoutError(f"{address} serves nothing")
            await asyncio.sleep(0.2)
    return record.write("served_by_all")

"""Starts the project's programs and small stand-ins for all that surrounds them.

Standard library only. Everything runs on loopback addresses and the real clock:
three core machines (a ``core`` and an ``owner`` process each) and some front machines,
started with the commands of ``deploy/system.toml``. Backends, platform, operator and
clients are stand-ins that follow PROTOCOL.md.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["carrasco", "melilla", "laguna"]
BOUNDS = {
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
}
HEARTBEAT_S = 1.2
# Statements that a backend runs at once.
SLOTS = 4
START = time.monotonic()


def now():
    """Returns seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self.path = path
        path.write_text("")

    def write(self, text):
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{now():8.3f} {text}\n")


def free_port(host):
    """Returns a port that is free on a loopback address."""
    while True:
        port = random.randint(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


async def http(address, method, path, body=None, headers=(), timeout=1.0):
    """Makes one HTTP call; follows no redirect.

    Returns status, headers and body; status 0 if no complete response came in time.
    """
    try:
        return await asyncio.wait_for(
            _http(address, method, path, body, headers), timeout
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""


async def _http(address, method, path, body, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else body
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}", "Connection: close"]
        lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        lines += [f"{k}: {v}" for k, v in headers]
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        return status, fields, await reader.readexactly(length)
    finally:
        writer.close()


ESTABLISHED = r"^ *\d+: [0-9A-F]{8}:([0-9A-F]{4}) [0-9A-F]{8}:[0-9A-F]{4} 01 .*$"


class Connections:
    """Which program holds the socket with a local port.

    The machine's list of connections may be long, so that it is read now and then only.
    """

    def __init__(self, programs):
        self.programs = programs
        self.by_port = {}
        self.read_at = -1.0

    def read(self):
        self.read_at = now()
        owners = {}
        for program in self.programs:
            folder = Path(f"/proc/{program.child.pid}/fd")
            with contextlib.suppress(OSError):
                for entry in folder.iterdir():
                    with contextlib.suppress(OSError):
                        owners[os.readlink(entry)] = program
        text = Path("/proc/net/tcp").read_text()
        for match in re.finditer(ESTABLISHED, text, re.MULTILINE):
            owner = owners.get(f"socket:[{match.group(0).split()[9]}]")
            if owner is not None:
                self.by_port[int(match.group(1), 16)] = owner

    async def program_of(self, port):
        """Returns the program, or ``None`` if no list of a second has it."""
        until = now() + 1.0
        while port not in self.by_port and now() < until:
            if now() - self.read_at > 0.2:
                self.read()
            else:
                await asyncio.sleep(0.02)
        return self.by_port.get(port)


class Program:
    """One process of the system."""

    def __init__(self, fleet, role, name, host, folder, settings):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.host = host
        self.folder = folder
        self.settings = settings
        self.child = None
        folder.mkdir(parents=True)
        if settings["data_dir"]:
            Path(settings["data_dir"]).mkdir(exist_ok=True)
        self.write_settings()

    def write_settings(self):
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings))

    def start(self):
        line = self.fleet.deploy["roles"][self.role]["run"]
        line = line.replace("{{ip}}", self.host)
        line = line.replace(
            "{{internal_port_range.0}}", str(self.settings["internal_port_range"][0])
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GODWITWHEEL_CONFIG": str(self.folder / "settings.json"),
            **self.fleet.deploy["roles"][self.role].get("env", {}),
        }
        with open(self.folder / "log.txt", "ab") as log:
            self.child = subprocess.Popen(
                shlex.split(line),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.fleet.record.write(f"START {self.name}")

    def send(self, number):
        self.fleet.record.write(f"SIGNAL {signal.Signals(number).name} {self.name}")
        self.child.send_signal(number)

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Fleet:
    """The system's processes, the platform and the operator."""

    def __init__(self, folder, fronts=2, bounds=None):
        folder = Path(folder)
        self.record = Record(folder / "record.txt")
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.temporary = tempfile.TemporaryDirectory()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.network = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        first = self.address(1)
        self.internal = random.randint(31000, 32000)
        self.ports = {name: free_port(first) for name in ("front", "ready", "control")}
        self.cores = [self.address(1 + i) for i in range(3)]
        self.fronts = [self.address(51 + i) for i in range(fronts)]
        self.platform = None
        self.platform_address = f"{self.address(250)}:{free_port(self.address(250))}"
        self.backend_port = free_port(self.address(101))
        self.programs = []
        self.connections = Connections(self.programs)
        self.version = 0
        self.groups = {}
        for i, host in enumerate(self.cores):
            self._add("core", f"core-{i + 1}", host, i)
            self._add("owner", f"core-{i + 1}", host, i)
        for i, host in enumerate(self.fronts):
            self._add("front", f"front-{i + 1}", host, i)

    def address(self, number):
        return f"{self.network}.{number}"

    def _add(self, role, machine, host, index):
        is_core = role != "front"
        folder = Path(self.temporary.name) / f"{machine}-{role}"
        listen = (
            {"control": f"{host}:{self.ports['control']}"}
            if is_core
            else {
                "front": f"{host}:{self.ports['front']}",
                "ready": f"{host}:{self.ports['ready']}",
            }
        )
        settings = {
            "node_name": machine,
            "role": role,
            "machine_class": "core" if is_core else "front",
            "serves": {"core": ["control"], "owner": [], "front": ["front"]}[role],
            "ip": host,
            "zone": ZONES[index % 3],
            "region": "uy-south",
            "zones": {zone: "uy-south" for zone in ZONES},
            "listen_addresses": listen,
            "internal_port_range": [self.internal, self.internal + 15],
            "seeds": [f"{core}:{self.ports['control']}" for core in self.cores],
            "bootstrap": True,
            "counts_as_loss": is_core,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4300,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_core else 0,
            },
            "data_dir": str(folder / "data") if is_core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
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
        self.programs.append(
            Program(self, role, f"{machine}/{role}", host, folder, settings)
        )

    def program(self, name):
        return next(each for each in self.programs if each.name == name)

    async def __aenter__(self):
        self.platform = Platform(self)
        await self.platform.listen()
        for program in self.programs:
            program.start()
        return self

    async def __aexit__(self, *exc):
        for program in self.programs:
            program.kill()
        for group in self.groups.values():
            group.stop()
        self.platform.server.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.temporary.name, keep], check=False)
        self.temporary.cleanup()

    # The operator.

    def configuration(self, routes, services):
        """Returns the next complete configuration.

        ``routes``: list of (database, service, type); ``services``: name to fields.
        """
        self.version += 1
        return {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{database}",
                    "database": database,
                    "path_prefix": "/",
                    "type": kind,
                    "timeout_ms": 800,
                    "target_latency_ms": 250,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                    **({} if kind == "primary" else {"max_staleness_ms": 1500}),
                }
                for database, service, kind in routes
            ],
            "services": [
                {
                    "name": name,
                    "health_check_path": "/health",
                    "max_connections": 41,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": 0,
                    **fields,
                }
                for name, fields in services.items()
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }

    async def control(self, method, path, body=None, limit_s=30.0):
        """Calls control like every caller of it: other nodes after a failure, 307s."""
        until = now() + limit_s
        pause = 0.05
        while now() < until:
            address = f"{random.choice(self.cores)}:{self.ports['control']}"
            at = path
            for _ in range(3):
                status, fields, answer = await http(address, method, at, body)
                if status != 307:
                    break
                rest = fields["location"].removeprefix("http://")
                address, _, at = rest.partition("/")
                at = "/" + at
            if status and status < 500 and status not in (307, 408, 429):
                return status, answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return 0, b""

    async def publish(self, configuration):
        body = json.dumps(configuration).encode()
        status, _ = await self.control("POST", "/api/config/put", body)
        self.record.write(f"CONFIG version {configuration['version']} -> {status}")
        return status == 200

    async def begin(self, configuration):
        """Publishes the first configuration; returns whether all fronts are ready."""
        is_published = await self.publish(configuration)
        if is_published and await self.until_ready():
            return True
        print(f"not started: published {is_published}")
        for program in self.programs:
            if program.child.poll() is not None:
                print(f"{program.name} ended with {program.child.poll()}")
        return False

    async def ready(self, host):
        status, _, _ = await http(
            f"{host}:{self.ports['ready']}", "GET", "/api/readiness"
        )
        return status == 200

    async def until_ready(self, limit_s=30.0):
        until = now() + limit_s
        for host in self.fronts:
            while not await self.ready(host):
                if now() > until:
                    return False
                await asyncio.sleep(0.1)
        return True


class Platform:
    """``POST /failover``, with fences.

    ``is_down``: calls hang and are never carried out.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.fences = {}
        self.is_down = False
        self.promote_s = 0.6
        self.server = None

    async def listen(self):
        host, _, port = self.fleet.platform_address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                order = json.loads(body)
                if self.is_down:
                    self.fleet.record.write(f"PLATFORM down, no answer to {order}")
                    await asyncio.sleep(60)
                status = self.failover(order, fields)
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}".encode()
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def failover(self, order, fields):
        service, target_id = order["service"], order["id"]
        holder = fields["godwitwheel-lease-holder"]
        token = int(fields["godwitwheel-fencing-token"])
        group = self.fleet.groups.get(service)
        backend = group.backends.get(target_id) if group else None
        status = 200
        if token < self.fences.get(service, -1) or backend is None or not backend.up:
            status = 409
        else:
            self.fences[service] = token
        self.fleet.record.write(
            f"FAILOVER {service} to {target_id} by {holder} token {token} -> {status}"
        )
        if status == 200 and group.primary is not backend:
            asyncio.get_running_loop().call_later(
                self.promote_s, group.promote, backend, token
            )
        return status


class Group:
    """The backends of one service and the replication between them."""

    def __init__(self, fleet, service, sync=0):
        self.fleet = fleet
        self.service = service
        self.sync = sync
        self.term = 1
        self.backends = {}
        self.primary = None
        self.log_history = []
        fleet.groups[service] = self

    def stop(self):
        for backend in self.backends.values():
            backend.stop()

    def promote(self, backend, token):
        if backend is self.primary or not backend.up:
            return
        if token < self.fleet.platform.fences[self.service]:
            return
        self.term += 1
        backend.start_term = self.term
        backend.paused = None
        old, self.primary = self.primary, backend
        self.fleet.record.write(
            f"PROMOTED {backend.id} term {self.term} with {len(backend.log)} commits, "
            f"before {old.id} with {len(old.log)}"
        )
        backend.applied = len(backend.log)
        for other in self.backends.values():
            if other is not backend:
                other.paused = None
                del other.log[len(backend.log) :]
                other.applied = min(other.applied, len(other.log))

    async def replicate(self, replica):
        """Sends the primary's log to one replica for as long as that runs."""
        while replica.up:
            await asyncio.sleep(0.004)
            primary = self.primary
            if primary is replica or replica.deaf or replica.paused is not None:
                continue
            if not primary.up or primary.isolated:
                continue
            if len(replica.log) < len(primary.log):
                replica.log.extend(primary.log[len(replica.log) :])
                asyncio.get_running_loop().call_later(
                    replica.lag_s, replica.apply, len(replica.log)
                )
                for waiter in primary.waiters[:]:
                    waiter.set()


class Backend:
    """One backend: the wire protocol, heartbeats, and its log of writes."""

    def __init__(self, group, number, zone):
        self.group = group
        self.fleet = group.fleet
        self.number = number
        self.host = self.fleet.address(number)
        self.address = f"{self.host}:{self.fleet.backend_port}"
        self.id = f"i-{group.service}-{number}"
        self.zone = zone
        self.slots = asyncio.Semaphore(SLOTS)
        self.log = []
        self.applied = 0
        self.start_term = 1
        self.lag_s = 0.02
        # Time that a read takes, and a write or commit, in seconds.
        self.read_s = 0.003
        self.write_s = 0.003
        self.deaf = False
        self.paused = None
        self.isolated = False
        self.dark = False
        # Programs that this backend has no path to: nothing of theirs is answered.
        self.cut_from = set()
        self.up = False
        self.draining = False
        self.waiters = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()
        self.tasks = []
        self.acknowledged_drain_at = None
        # Called with id and text of each read, write and commit that runs here.
        self.note_run = lambda run: None
        # Called with the id of each statement that arrives here.
        self.note_arrival = lambda query_id: None
        group.backends[self.id] = self
        group.primary = group.primary or self

    @property
    def is_primary(self):
        return self.group.primary is self

    async def start(self):
        self.up = True
        if not self.is_primary:
            # A new backend begins with the log of the primary.
            self.log = list(self.group.primary.log)
            self.applied = len(self.log)
        self.server = await asyncio.start_server(
            self.serve, self.host, self.fleet.backend_port, limit=1 << 21
        )
        self.tasks.append(asyncio.create_task(self.group.replicate(self)))
        self.tasks.append(asyncio.create_task(self.beat()))
        return self

    def stop(self):
        self.up = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    def crash(self):
        self.fleet.record.write(f"CRASH {self.id}")
        self.stop()

    def apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    def position(self):
        if not self.log:
            return f"{self.start_term if self.is_primary else 1}.0"
        term = self.log[self.applied - 1][0] if self.applied else 1
        if self.is_primary:
            term = self.group.term
        return f"{term}.{self.applied}"

    # Heartbeats.

    async def beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat_once(self):
        self.sequence += 1
        body = {
            "service": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }
        draining = self.draining
        status, _ = await self.fleet.control(
            "POST", f"/api/instances/{self.id}/heartbeat", json.dumps(body).encode(), 10
        )
        if draining and status == 200 and self.acknowledged_drain_at is None:
            self.acknowledged_drain_at = now()
            self.fleet.record.write(f"DRAINING of {self.id} acknowledged")
        return status

    async def drain(self):
        """Reports ``draining`` until it is acknowledged."""
        self.draining = True
        self.fleet.record.write(f"DRAINING {self.id}")
        await self.beat_once()

    async def leave(self):
        self.fleet.record.write(f"DEREGISTER {self.id} and exit")
        body = json.dumps({"born": self.born}).encode()
        await self.fleet.control(
            "POST", f"/api/instances/{self.id}/deregister", body, 5
        )
        self.stop()

    # The wire.

    async def until_reachable(self, port):
        if self.cut_from:
            program = await self.fleet.connections.program_of(port)
            while program in self.cut_from:
                await asyncio.sleep(0.05)
        while self.dark:
            await asyncio.sleep(0.05)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = BackendSession(self)
        port = writer.get_extra_info("peername")[1]
        self.fleet.connections.by_port.pop(port, None)
        try:
            start = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            await self.until_reachable(port)
            if start[0] != "START" or start[1] != self.group.service:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if len(start) > 3 and start[3] != self.id:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            await asyncio.sleep(0.012)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self.until_reachable(port)
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                query_id, _, text = rest.partition(" ")
                if query_id != "-":
                    self.fleet.record.write(f"ARRIVED {query_id} at {self.id}")
                    self.note_arrival(query_id)
                lines = await session.answer(query_id, text)
                await self.until_reachable(port)
                lines.append(f"READY {session.state} {self.position()}")
                writer.write(("\r\n".join(lines) + "\r\n").encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class BackendSession:
    """The state of one connection at a backend."""

    def __init__(self, backend):
        self.backend = backend
        self.state = "I"
        self.read_only = False
        self.term = 0
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def answer(self, query_id, text):
        backend, group = self.backend, self.backend.group
        full_text = text
        floor = None
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            floor = (int(term), int(number))
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._manage(word, rest)
        if word == "DISCARD":
            self.values, self.prepared = {}, {}
            return ["COMPLETE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            return ["COMPLETE -"]
        if word == "DEALLOCATE":
            self.prepared.pop(rest, None)
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["COMPLETE -"]
        if floor is not None and not self._holds(floor):
            return ["ERROR LAGGING -"]
        if word == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and not backend.is_primary:
                return ["ERROR READONLY -"]
            self.state, self.writes, self.term = "T", [], group.term
            return ["COMPLETE -"]
        async with backend.slots:
            is_read = word == "READ"
            await asyncio.sleep(backend.read_s if is_read else backend.write_s)
            return await self._run(query_id, word, rest, full_text)

    def _holds(self, floor):
        """Whether the applied log contains a position."""
        return self.backend.applied >= floor[1]

    def _manage(self, word, rest):
        backend = self.backend
        if (
            word == "PAUSE"
            and int(rest) > backend.group.term
            and not backend.is_primary
        ):
            backend.paused = int(rest)
            backend.fleet.record.write(f"PAUSED {backend.id}")
        if word == "RESUME":
            backend.paused = None
        role = "primary" if backend.is_primary else "replica"
        term = backend.group.term
        last = backend.log[-1][0] if backend.log else 1
        received = f"{term if backend.is_primary else last}.{len(backend.log)}"
        return [f"DATAROW {role} {term} {received} {term} 0 0 1", "COMPLETE -"]

    async def _run(self, query_id, word, rest, text):
        backend, group = self.backend, self.backend.group
        is_write = word == "WRITE"
        if word == "EXECUTE":
            name = rest.split(" ")[0]
            if name not in self.prepared:
                return ["ERROR NOSTMT -"]
            is_write = self.prepared[name][0] == "WRITE"
        in_transaction = self.state == "T"
        lost_lead = in_transaction and not self.read_only and self.term != group.term
        if word == "COMMIT":
            if lost_lead and self.writes:
                self.state = "E"
                return ["ERROR READONLY -"]
            writes, self.writes, self.state = self.writes, [], "I"
            if not writes:
                return ["COMPLETE " + self._sign(query_id, text)]
            return await self._commit(query_id, writes, text)
        if lost_lead or (is_write and not backend.is_primary):
            if in_transaction:
                self.state = "E"
            return ["ERROR READONLY -"]
        if is_write and in_transaction:
            self.writes.append(query_id)
            return ["DATAROW " + query_id, "COMPLETE " + self._sign(query_id, text)]
        if is_write:
            answer = await self._commit(query_id, [query_id], text)
            return ["DATAROW " + query_id, *answer]
        return ["DATAROW " + query_id, "COMPLETE " + self._sign(query_id, text)]

    def _sign(self, query_id, text):
        backend = self.backend
        backend.fleet.record.write(
            f"RUN {query_id} at {backend.id} applied {backend.applied}: {text!r}"
        )
        backend.note_run((query_id, text))
        return f"sig-{query_id}-{self.backend.id}"

    async def _commit(self, query_id, writes, text):
        backend, group = self.backend, self.backend.group
        signature = self._sign(query_id, text)
        backend.log.extend((group.term, each) for each in writes)
        backend.applied = len(backend.log)
        count = len(backend.log)
        term = group.term
        if group.sync:
            waiter = asyncio.Event()
            backend.waiters.append(waiter)
            try:
                while True:
                    waiter.clear()
                    if group.term != term:
                        # It lost the lead with the commit not yet acknowledged.
                        return ["ERROR FAILED lost the lead"]
                    holders = [
                        other
                        for other in group.backends.values()
                        if other is not backend and other.up and len(other.log) >= count
                    ]
                    if holders:
                        break
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(waiter.wait(), 0.05)
            finally:
                backend.waiters.remove(waiter)
        backend.fleet.record.write(
            f"COMMITTED {writes} at {backend.id} as {term}.{count}"
        )
        return ["COMPLETE " + signature]


class Client:
    """One session of a client at a front."""

    def __init__(self, fleet, host, database):
        self.fleet = fleet
        self.host = host
        self.database = database
        self.reader = None
        self.writer = None
        self.state = "I"

    async def open(self, timeout=2.0):
        """Returns whether the session is open."""
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.fleet.ports["front"]), timeout
            )
            self.writer.write(f"START {self.database} client\r\n".encode())
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)
            return line.startswith(b"READY")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def query(self, query_id, text, timeout=3.0):
        """Sends a statement; returns (kind, detail, rows).

        kind: ``COMPLETE``, an error code, ``CLOSED`` or ``NONE`` (no answer in time).
        """
        self.fleet.record.write(f"SENT {query_id} to {self.host}: {text!r}")
        try:
            result = await asyncio.wait_for(self._query(query_id, text), timeout)
        except TimeoutError:
            result = ("NONE", "", [])
        except (OSError, asyncio.IncompleteReadError):
            result = ("CLOSED", "", [])
        self.fleet.record.write(
            f"ANSWER {query_id}: {result[0]} {result[1]} {result[2]}"
        )
        return result

    async def _query(self, query_id, text):
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        rows = []
        kind, detail = "NONE", ""
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                kind, detail = "COMPLETE", rest
            elif word == "ERROR":
                kind, _, detail = rest.partition(" ")
            elif word == "READY":
                self.state = rest.split(" ")[0]
                return kind, detail, rows

    def close(self):
        if self.writer is not None:
            self.writer.close()


def main(case, limit_s=115.0):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def run():
        task = asyncio.ensure_future(case())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            status = await asyncio.wait_for(task, limit_s)
        except (TimeoutError, asyncio.CancelledError):
            print("the case was ended before its time, or took too long")
            status = 2
        except Exception as error:
            print(f"the case could not run: {error!r}")
            status = 2
        # All programs have ended; clients' tasks that are left need not be awaited.
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run())

"""Stand-ins of backends, platform, operator and clients, and a small deployment."""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "orders"
DATABASE = "orders-db"
PROMOTE_S = 1.0
HEARTBEAT_S = 1.2
LAG_S = 0.008
WORK_S = 0.003
SLOTS = 2
MAX_CONNECTIONS = 16
STEP_DOWN_S = 1.0


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, *words):
        with self.path.open("a") as file:
            file.write(f"{self.now():9.4f} " + " ".join(map(str, words)) + "\n")


class Backend:
    """A database backend that speaks the wire of PROTOCOL.md.

    The log holds pairs of term and statement id; the position is the last pair's
    term and the log's length.
    """

    def __init__(self, group, number, host, port):
        self.group = group
        self.id = f"i-backend-{number}"
        self.zone = ZONES[number]
        self.host, self.port = host, port
        self.log = []
        self.leads = number == 0
        self.term = 1
        self.is_dark = False
        self.is_paused = False
        self.cut_from = set()
        self.connections = set()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(SLOTS)

    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "1.0"

    def has(self, floor):
        term, number = map(int, floor.split("."))
        last = self.log[-1][0] if self.log else 1
        return (last, len(self.log)) >= (term, number)

    def reaches(self, other):
        if self.is_dark or other.is_dark:
            return False
        return not ({"replicas"} & (self.cut_from | other.cut_from))

    async def serve(self, reader, writer):
        peer = self.group.owner_of_port(writer.get_extra_info("peername")[1])
        self.group.peers.add(peer)
        connection = Connection(self, peer, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def is_silent_to(self, peer):
        return self.is_dark or peer in self.cut_from

    def go_dark(self):
        self.is_dark = True
        self.group.record.add("TROUBLE", self.id, "goes dark")

    def come_back(self):
        """The process starts again with its log, as a replica if another leads."""
        self.is_dark = self.is_paused = False
        if self.term < self.group.term:
            self.leads = False
        self.drop_connections(lambda connection: True)
        self.group.record.add("TROUBLE", self.id, "is back", self.position())

    def cut(self, names):
        self.cut_from = set(names)
        self.group.record.add("TROUBLE", self.id, "is cut off from", sorted(names))

    def heal(self):
        names, self.cut_from = self.cut_from, set()
        # What was held up for longer than the proxies wait does not arrive any more.
        self.drop_connections(lambda connection: connection.peer in names)
        self.group.record.add("TROUBLE", self.id, "is reached again", self.position())

    def drop_connections(self, matches):
        for connection in list(self.connections):
            if matches(connection):
                connection.writer.close()


class Connection:
    def __init__(self, backend, peer, reader, writer):
        self.backend, self.peer = backend, peer
        self.reader, self.writer = reader, writer
        self.state = "I"
        self.reads_only = False
        self.pending = []
        self.prepared = {}

    async def read(self):
        line = await self.reader.readuntil(b"\r\n")
        while self.backend.is_silent_to(self.peer):
            await asyncio.sleep(0.01)
        return line[:-2].decode()

    async def run(self):
        words = (await self.read()).split(" ")
        backend = self.backend
        if words[1] != SERVICE or (len(words) > 3 and words[3] != backend.id):
            self.send("ERROR WRONGNODE -")
            return
        if len(backend.connections) > MAX_CONNECTIONS:
            self.send("ERROR TOOMANY -")
            return
        async with backend.slots:
            await asyncio.sleep(0.012)
        self.send(f"READY I {backend.position()}")
        while True:
            word, _, rest = (await self.read()).partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = rest.partition(" ")
            lines = await self.answer(request_id, text)
            while backend.is_silent_to(self.peer):
                await asyncio.sleep(0.01)
            self.send(*lines, f"READY {self.state} {backend.position()}")

    def send(self, *lines):
        self.writer.write(("\r\n".join(lines) + "\r\n").encode())

    def fail(self, code):
        if self.state == "T" and code not in ("BUSY", "NOSTMT"):
            self.state = "E"
        return [f"ERROR {code} {self.backend.id}"]

    async def answer(self, request_id, text):
        backend = self.backend
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
            if not backend.has(floor):
                return self.fail("LAGGING")
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            async with backend.slots:
                return self.control(word, rest)
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        if word in ("SET", "DISCARD", "DEALLOCATE"):
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self.prepared[name] = access
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self.pending = "I", []
            return ["COMPLETE -"]
        if word == "BEGIN":
            self.reads_only = rest == "READ"
            if not self.reads_only and not backend.leads:
                return self.fail("READONLY")
            self.state = "T"
            return ["COMPLETE -"]
        async with backend.slots:
            await asyncio.sleep(WORK_S)
        return self.run_statement(request_id, word, rest)

    def control(self, word, rest):
        """Answers a command of the system itself with the row of ``STATUS``."""
        backend = self.backend
        if word == "STEPDOWN" and backend.leads and backend.term < int(rest):
            backend.leads = False
            backend.group.record.add("RUN", backend.id, "was told to step down")
        if word == "PAUSE" and not backend.leads and backend.term < int(rest):
            backend.is_paused = True
        if word == "RESUME":
            backend.is_paused = False
        role = "primary" if backend.leads else "replica"
        count = len(backend.connections)
        row = f"{role} {backend.term} {backend.position()} {backend.term} 8 0 {count}"
        return [f"DATAROW {row}", "COMPLETE -"]

    def run_statement(self, request_id, word, rest):
        backend = self.backend
        if word == "COMMIT":
            failed, pending = self.state == "E", self.pending
            self.state, self.pending = "I", []
            if failed or (pending and not backend.leads):
                return [f"ERROR READONLY {backend.id}"]
            for each in pending:
                backend.group.commit(backend, each)
            return [f"COMPLETE {backend.id}.{request_id}"]
        if word == "EXECUTE":
            name = rest.partition(" ")[0]
            if name not in self.prepared:
                return self.fail("NOSTMT")
            word = self.prepared[name]
        is_plain = self.state == "T" and not self.reads_only
        if (word == "WRITE" or is_plain) and not backend.leads:
            return self.fail("READONLY")
        if word == "WRITE" and self.state == "T":
            self.pending.append(request_id)
        elif word == "WRITE":
            backend.group.commit(backend, request_id)
        return ["DATAROW x", f"COMPLETE {backend.id}.{request_id}"]


class Commit:
    def __init__(self, backend, term, at, newer_term_since):
        self.backend, self.term, self.at = backend, term, at
        self.newer_term_since = newer_term_since


class Group:
    """The backends of the service, and the platform that promotes them."""

    def __init__(self, record):
        self.record = record
        self.term = 1
        self.promoted_at = {1: 0.0}
        self.commits = {}
        self.backends = []
        self.children = {}
        self.peers = set()

    def leader(self):
        return next((b for b in self.backends if b.leads and b.term == self.term), None)

    def commit(self, backend, request_id):
        backend.log.append((backend.term, request_id))
        since = None
        if self.term > backend.term:
            since = self.promoted_at[backend.term + 1]
        now = self.record.now()
        self.commits[request_id] = Commit(backend, backend.term, now, since)
        self.record.add("RUN", request_id, "committed", backend.id, backend.position())

    def owner_of_port(self, port):
        """Returns which process opened a loopback connection, by its local port."""
        inode = None
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].rpartition(":")[2], 16) == port:
                inode = fields[9]
                if inode != "0":
                    break
        for name, child in list(self.children.items()):
            folder = f"/proc/{child.pid}/fd"
            try:
                for descriptor in os.listdir(folder):
                    link = os.readlink(f"{folder}/{descriptor}")
                    if link == f"socket:[{inode}]":
                        return name
            except OSError:
                continue
        return "unknown"

    async def replicate(self):
        while True:
            await asyncio.sleep(LAG_S)
            leader = self.leader()
            if leader is None:
                continue
            for backend in self.backends:
                if backend is leader or not backend.reaches(leader):
                    continue
                if backend.leads:
                    asyncio.create_task(self.step_down(backend, leader))
                    continue
                if backend.is_paused:
                    continue
                if backend.log != leader.log[: len(backend.log)]:
                    self.record.add("RUN", backend.id, "is rolled back")
                backend.log = list(leader.log)
                backend.term = leader.term

    async def step_down(self, backend, leader):
        """A former primary goes on for a second after it can reach the new one."""
        if getattr(backend, "is_stepping_down", False):
            return
        backend.is_stepping_down = True
        await asyncio.sleep(STEP_DOWN_S)
        backend.is_stepping_down = False
        if backend.term < self.term and backend.reaches(leader):
            backend.leads = False
            self.record.add("RUN", backend.id, "has stepped down")

    async def failover(self, order, holder, token):
        """Answers at once; the promotion takes effect a second later."""
        backend = next((b for b in self.backends if b.id == order["id"]), None)
        if backend is None or backend.is_dark:
            return 409
        self.record.add("PLATFORM order", order["id"], holder, token, "answered 200")
        leader = self.leader()
        if leader is not backend:
            asyncio.create_task(self.promote(backend))
        return 200

    async def promote(self, backend):
        await asyncio.sleep(PROMOTE_S)
        if backend.is_dark:
            return
        self.term += 1
        backend.term, backend.leads = self.term, True
        for each in self.backends:
            each.is_paused = False
        self.promoted_at[self.term] = self.record.now()
        self.record.add("PLATFORM promoted", backend.id, "term", self.term)


async def http(host, port, method, path, body=b"", timeout=1.0):
    """Returns status, headers and body; status 0 if there was no answer."""

    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            head += "Content-Type: application/json\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            answer = await reader.readexactly(int(headers.get("content-length", "0")))
        finally:
            writer.close()
        return int(lines[0].split(" ")[1]), headers, answer

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""


class Deployment:
    """Three core and six front machines, started as the deploy file says."""

    started = []

    def __init__(self, folder, record, fenced):
        self.started.append(self)
        self.folder = Path(folder)
        self.record = record
        self.group = Group(record)
        net = f"127.{random.randint(10, 240)}.{random.randint(1, 250)}"
        self.cores = [f"{net}.{11 + n}" for n in range(3)]
        self.fronts = [f"{net}.{21 + n}" for n in range(6)]
        self.database_hosts = [f"{net}.{31 + n}" for n in range(3)]
        self.platform_host = f"{net}.41"
        self.port = self.free_ports(20)
        self.fenced = fenced
        self.version = 6
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.servers = []

    def free_ports(self, count):
        hosts = [*self.cores, *self.fronts, *self.database_hosts, self.platform_host]
        for _ in range(100):
            first = random.randint(20000, 30000)
            try:
                for host in hosts:
                    for port in range(first, first + count):
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return first
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def settings(self, host, zone, name, is_core):
        first = self.port
        listen = {"control": f"{host}:{first + 2}"}
        if not is_core:
            listen = {"front": f"{host}:{first}", "ready": f"{host}:{first + 1}"}
        bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000}
        bounds |= {"ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 7000}
        bounds |= {"grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000}
        bounds |= {"downgrade_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12}
        bounds |= {"require_fencing": self.fenced, "thaw_slack_ms": 300}
        return {
            "node_name": name,
            "role": "core" if is_core else "front",
            "machine_class": "core" if is_core else "front",
            "serves": ["control"] if is_core else ["front"],
            "ip": host,
            "zone": zone,
            "region": "region",
            "zones": {each: "region" for each in ZONES},
            "listen_addresses": listen,
            "internal_port_range": [first + 4, first + 19],
            "seeds": [f"{core}:{first + 2}" for core in self.cores],
            "bootstrap": True,
            "counts_as_loss": is_core,
            "limits": {"cpu_share": 0.6, "cores": 2, "memory_mb": 300, "max_fds": 4300},
            "data_dir": str(self.folder / f"{name}-data") if is_core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": bounds,
            "config_mode": "highest",
            "cloud_api": {
                "address": f"{self.platform_host}:{first + 3}",
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    async def start(self):
        await self.start_stand_ins()
        for number, host in enumerate(self.cores):
            name = f"core-{number + 1}"
            (self.folder / f"{name}-data").mkdir()
            self.launch(name, "core", self.settings(host, ZONES[number], name, True))
            self.launch(name, "owner", self.settings(host, ZONES[number], name, True))
        for number, host in enumerate(self.fronts):
            name = f"front-{number + 1}"
            self.launch(
                name, "front", self.settings(host, ZONES[number % 3], name, False)
            )

    async def start_stand_ins(self):
        for number, host in enumerate(self.database_hosts):
            backend = Backend(self.group, number, host, self.port)
            self.group.backends.append(backend)
            server = await asyncio.start_server(backend.serve, host, self.port)
            self.servers.append(server)
            asyncio.create_task(self.send_heartbeats(backend))
        platform = await asyncio.start_server(
            self.serve_platform, self.platform_host, self.port + 3
        )
        self.servers.append(platform)
        asyncio.create_task(self.group.replicate())

    def launch(self, name, role, settings):
        path = self.folder / f"{name}-{role}.json"
        path.write_text(json.dumps(settings))
        section = self.deploy["roles"][role]
        line = section["run"].replace("{{ip}}", settings["ip"])
        first = str(settings["internal_port_range"][0])
        line = line.replace("{{internal_port_range.0}}", first)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "GODWITWHEEL_CONFIG": str(path),
            **section.get("env", {}),
        }
        with (self.folder / f"{name}-{role}.log").open("ab") as output:
            self.group.children[f"{name}/{role}"] = subprocess.Popen(
                shlex.split(line),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def stop(self):
        for child in self.group.children.values():
            child.send_signal(signal.SIGKILL)
            child.wait()

    async def serve_platform(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                headers = {key.lower(): value for key, value in headers.items()}
                body = await reader.readexactly(int(headers["content-length"]))
                status = await self.group.failover(
                    json.loads(body),
                    headers["godwitwheel-lease-holder"],
                    headers["godwitwheel-fencing-token"],
                )
                reason = "OK" if status == 200 else "Conflict"
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    "Content-Length: 2\r\n\r\n{}".encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send_heartbeats(self, backend):
        last_role = None
        sent_at = 0.0
        while True:
            await asyncio.sleep(0.02)
            role = "primary" if backend.leads else "replica"
            is_due = time.monotonic() - sent_at >= HEARTBEAT_S or role != last_role
            if not is_due or backend.is_dark or "core" in backend.cut_from:
                continue
            backend.sequence += 1
            body = {
                "service": SERVICE,
                "address": f"{backend.host}:{backend.port}",
                "zone": backend.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "db_role": role,
                "sequence": backend.sequence,
                "born": backend.born,
            }
            status, _, _ = await http(
                random.choice(self.cores),
                self.port + 2,
                "POST",
                f"/api/instances/{backend.id}/heartbeat",
                json.dumps(body).encode(),
            )
            if status == 200:
                last_role, sent_at = role, time.monotonic()
            else:
                await asyncio.sleep(0.2)

    async def publish(self, limit_s=30.0):
        """Sends the configuration until it is acknowledged."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": "r-1",
                    "database": DATABASE,
                    "path_prefix": "/",
                    "type": "primary",
                    "timeout_ms": 800,
                    "target_latency_ms": 100,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 2,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_check_path": "/health",
                    "max_connections": MAX_CONNECTIONS,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": 0,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }
        body = json.dumps(document).encode()
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            host = random.choice(self.cores)
            for _ in range(3):
                status, headers, _ = await http(
                    host, self.port + 2, "POST", "/api/config/put", body
                )
                if status != 307:
                    break
                host = headers["location"].split("/")[2].rpartition(":")[0]
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_until_ready(self, limit_s=30.0):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answers = [
                await http(host, self.port + 1, "GET", "/api/readiness")
                for host in self.fronts
            ]
            if all(status == 200 for status, _, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False


class Write:
    def __init__(self, request_id, front):
        self.request_id, self.front = request_id, front
        self.answered_at = None
        self.answer = ""


class Client:
    """One session after the other on one front; each does one write at a time."""

    count = 0

    def __init__(self, deployment, front):
        self.deployment, self.front = deployment, front
        self.writes = []

    async def run(self):
        while True:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                await self.run_session()
            await asyncio.sleep(0.05)

    async def run_session(self):
        host = self.deployment.fronts[self.front]
        reader, writer = await asyncio.open_connection(host, self.deployment.port)
        try:
            writer.write(f"START {DATABASE}\r\n".encode())
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
            while line.startswith(b"READY"):
                await asyncio.sleep(random.uniform(0.02, 0.06))
                await self.write(reader, writer)
        finally:
            writer.close()

    async def write(self, reader, writer):
        Client.count += 1
        write = Write(f"w{Client.count}", self.front)
        self.writes.append(write)
        record = self.deployment.record
        record.add("SENT", write.request_id, f"front-{self.front + 1}")
        writer.write(f"QUERY {write.request_id} WRITE item data\r\n".encode())
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 3.0)
            word, _, rest = line.decode().strip().partition(" ")
            if word in ("COMPLETE", "ERROR"):
                write.answer = f"{word} {rest}"
            if word == "READY":
                break
        write.answered_at = record.now()
        record.add("ANSWERED", write.request_id, write.answer)

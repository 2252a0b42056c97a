"""Stand-ins for targets, their platform, the operator and callers, over loopback.

They use the standard library only and follow the pages on the wire protocol. Whatever a
caller sent, got and a target ran goes into the record.
"""

import asyncio
import contextlib
import json
import os
import socket
import sys
import time

PROMOTE_S = 0.6
REPLICATION_S = 0.02
STATEMENT_S = 0.004
SMALL_S = 0.001
HEARTBEAT_S = 1.2


class Record:
    """Writes what was sent, answered and run, one JSON line an event."""

    def __init__(self, path):
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self.started_at = time.monotonic()

    def now(self):
        return round(time.monotonic() - self.started_at, 4)

    def write(self, event, **fields):
        now = self.now()
        line = json.dumps({"t": now, "event": event, **fields}) + "\n"
        os.write(self.descriptor, line.encode())
        return now


def run_case(folder, play, trouble, limit_s=110):
    """Plays a case and ends the process with its exit status.

    :param play: coroutine function of a record, and of whether there is trouble.
    :param trouble: whether to bring about the disruption.
    """
    record = Record(folder / "record.txt")

    async def run():
        try:
            return await asyncio.wait_for(play(record, trouble), limit_s)
        except Exception as error:
            record.write("result", error=repr(error))
            print(f"could not run: {error!r}")
            return 2

    async def run_and_leave():
        status = await run()
        sys.stdout.flush()
        # The stand-ins' tasks end with the process.
        os._exit(status)

    asyncio.run(run_and_leave())


class Commit:
    __slots__ = ("term", "number", "item", "data", "request_id")

    def __init__(self, term, number, item, data, request_id):
        self.term = term
        self.number = number
        self.item = item
        self.data = data
        self.request_id = request_id


class Session:
    """One connection to a target."""

    def __init__(self, target):
        self.target = target
        self.prepared = {}
        self.state = "I"
        self.read_only = False
        self.writes = []


class Target:
    """A database server that reports to control and speaks the line protocol.

    :ivar is_fenced_off: whether it no longer leads, by the platform's word.
    :ivar linger_s: how long it serves after the drain timeout.
    """

    def __init__(self, service, target_id, host, port, zone, is_primary):
        self.service = service
        self.target_id = target_id
        self.host, self.port, self.zone = host, port, zone
        self.is_primary = is_primary
        self.term = 1
        self.log = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 3
        self.state = "ready"
        self.drain_acked_at = None
        self.is_up = False
        # Whether it receives nothing at present.
        self.is_deaf = False
        self.server = None
        self.writers = set()
        self.heartbeat_task = None
        self.beats_now = asyncio.Event()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def position(self):
        return f"{self.term}.{len(self.log)}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 21
        )
        self.is_up = True
        self.heartbeat_task = asyncio.create_task(self._heartbeats())

    def crash(self):
        """Ends as a killed process does."""
        self.is_up = False
        self.server.close()
        self.heartbeat_task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.service.record.write("crash", target=self.target_id)

    def follow(self, primary):
        """Becomes a replica, and rolls back what the primary does not have."""
        self.is_primary = False
        if self.is_up:
            self.log = list(primary.log)
            self.term = primary.term
        self.beats_now.set()

    async def leave(self):
        """Deregisters and exits, as after a planned shutdown."""
        path = f"/api/instances/{self.target_id}/deregister"
        for address in self.service.control_addresses:
            with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError):
                call = http_call(address, "POST", path, {"born": self.born})
                status, _ = await asyncio.wait_for(call, 1.0)
                if status == 200:
                    break
        self.crash()

    def beat(self):
        self.sequence += 1
        return {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _heartbeats(self):
        path = f"/api/instances/{self.target_id}/heartbeat"
        endpoint = ""
        while True:
            self.beats_now.clear()
            body = self.beat()
            addresses = [endpoint] if endpoint else []
            addresses += self.service.control_addresses
            for address in addresses:
                try:
                    status, answer = await asyncio.wait_for(
                        http_call(address, "POST", path, body), 1.0
                    )
                except (TimeoutError, OSError, ValueError):
                    endpoint = ""
                    continue
                if 200 <= status < 300:
                    endpoint = json.loads(answer or b"{}").get("heartbeat_endpoint", "")
                    if body["state"] == "draining" and self.drain_acked_at is None:
                        self.drain_acked_at = self.service.record.write(
                            "drain_acknowledged", target=self.target_id, by=address
                        )
                    break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.beats_now.wait(), HEARTBEAT_S)

    def announce(self, state):
        self.state = state
        self.service.record.write("announce", target=self.target_id, state=state)
        self.beats_now.set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            words = line.split(" ")
            is_right = words[:2] == ["START", self.service.name] and (
                len(words) < 4 or words[3] == self.target_id
            )
            if not is_right:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "TERMINATE":
                    return
                _, request_id, text = line.split(" ", 2)
                answer = await self._run(session, request_id, text)
                ready = f"READY {session.state} {self.position()}\r\n"
                writer.write((answer + ready).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, session, request_id, text):
        floor = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            floor = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if word in ("SET", "DISCARD", "DEALLOCATE"):
            if word == "DISCARD":
                session.prepared.clear()
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            session.prepared[name] = access
            return "COMPLETE -\r\n"
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            role = "primary" if self.is_primary else "replica"
            position = self.position()
            row = f"{role} {self.term} {position} {self.term} 0 0 {len(self.writers)}"
            return f"DATAROW {row}\r\nCOMPLETE -\r\n"
        self.service.passed_on.add(request_id)
        # Only reads, writes and commits take a slot, and time.
        has_work = word in ("READ", "WRITE", "EXECUTE", "COMMIT")
        await asyncio.sleep(STATEMENT_S if has_work else SMALL_S)
        if floor is not None and floor > (self.term, len(self.log)):
            return "ERROR LAGGING -\r\n"
        return await self._run_now(session, request_id, word, rest)

    async def _run_now(self, session, request_id, word, rest):
        record = self.service.record
        signature = f"COMPLETE {self.target_id}.{request_id}\r\n"
        if word == "BEGIN":
            session.read_only = rest == "READ"
            if not session.read_only and not self.is_primary:
                return f"ERROR READONLY {self.target_id}\r\n"
            session.state, session.writes = "T", []
            return signature
        if word == "ROLLBACK":
            session.state, session.writes = "I", []
            return signature
        has_lost_lead = not self.is_primary and not session.read_only
        if (
            session.state == "T"
            and has_lost_lead
            and (word != "COMMIT" or session.writes)
        ):
            session.state = "E"
            return f"ERROR READONLY {self.target_id}\r\n"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return "ERROR NOSTMT -\r\n"
            word = session.prepared[name]
        if word == "COMMIT":
            for item, data in session.writes:
                await self._commit(item, data, request_id)
            session.state, session.writes = "I", []
            record.write("run", target=self.target_id, id=request_id, what="COMMIT")
            return signature
        record.write("run", target=self.target_id, id=request_id, what=word)
        if word == "READ":
            found = [each for each in self.log if each.item == rest]
            data = found[-1].data if found else "-"
            return f"DATAROW {data}\r\n{signature}"
        if word == "WRITE":
            if not self.is_primary:
                return f"ERROR READONLY {self.target_id}\r\n"
            item, _, data = rest.partition(" ")
            if session.state == "T":
                session.writes.append((item, data))
            else:
                await self._commit(item, data, request_id)
            return signature
        return "ERROR MALFORMED -\r\n"

    async def _commit(self, item, data, request_id):
        commit = Commit(self.term, len(self.log) + 1, item, data, request_id)
        self.log.append(commit)
        self.service.record.write(
            "commit",
            target=self.target_id,
            id=request_id,
            position=self.position(),
            leads=self is self.service.leader,
        )
        received = self.service.replicate(self, commit)
        if self.service.sync_replicas:
            await received.wait()


class Service:
    """A service of one primary and its replicas.

    :ivar leader: the target that leads by the platform's last word.
    :ivar sync_replicas: replicas that hold a commit before it is acknowledged, 0 or 1.
    :ivar passed_on: ids of the statements that reached a target.
    :ivar acknowledged: ids of the commits that were acknowledged to callers.
    :ivar lacks: acknowledged commits that a promoted target did not have.
    """

    def __init__(
        self,
        record,
        name,
        hosts,
        control_addresses,
        port=9000,
        sync_replicas=0,
    ):
        self.sync_replicas = sync_replicas
        self.record = record
        self.name = name
        self.control_addresses = control_addresses
        self.passed_on = set()
        self.acknowledged = []
        self.lacks = []
        self.targets = {}
        for number, (host, zone) in enumerate(hosts):
            target_id = f"i-{name}{number}"
            self.targets[target_id] = Target(
                self, target_id, host, port, zone, is_primary=number == 0
            )
        self.leader = next(iter(self.targets.values()))

    def primary(self):
        return self.leader

    async def start(self):
        for target in self.targets.values():
            await target.start()

    def replicate(self, primary, commit):
        """Sends a commit to the replicas.

        :returns: an event that is set once one of them has received it.
        """
        received = asyncio.Event()
        loop = asyncio.get_running_loop()
        for target in self.targets.values():
            if target is not primary:
                loop.call_later(
                    REPLICATION_S, self._receive, primary, target, commit, received
                )
        return received

    def _receive(self, primary, target, commit, received):
        if not primary.is_up or primary is not self.leader or target.is_primary:
            return
        if not target.is_up or target.is_deaf:
            return
        # It also receives what it has missed.
        target.log += primary.log[len(target.log) : commit.number]
        target.term = primary.term
        received.set()

    def promote(self, target_id):
        target = self.targets[target_id]
        if target is self.leader:
            return
        former, self.leader = self.leader, target
        term = max(each.term for each in self.targets.values()) + 1
        target.is_primary = True
        target.term = term
        ids = {commit.request_id for commit in target.log}
        lacks = [each for each in self.acknowledged if each not in ids]
        self.lacks += lacks
        self.record.write("promoted", target=target_id, term=term, lacks=lacks)
        for each in self.targets.values():
            if each not in (target, former):
                each.follow(target)
        former.follow(target)
        target.beats_now.set()


class Platform:
    """Receives orders to promote.

    :ivar checks_fences: whether it refuses a token below one that it has seen.
    """

    def __init__(self, record, host, services, checks_fences, promote_s=PROMOTE_S):
        self.record = record
        self.host, self.port = host, 9100
        self.services = services
        self.checks_fences = checks_fences
        self.promote_s = promote_s
        self.highest = {}
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def _listener(self, backlog):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(backlog)
        listener.setblocking(False)
        return listener

    async def go_up(self):
        self.server = await asyncio.start_server(self._serve, sock=self._listener(64))
        self.record.write("platform", mode="up")

    def go_down(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.record.write("platform", mode="down")

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    return
                line, headers, body = request
                status = self._order(headers, json.loads(body))
                writer.write(http_head(f"HTTP/1.1 {status} -", b"{}"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _order(self, headers, order):
        service, target_id = order["service"], order["id"]
        token = int(headers["godwitwheel-fencing-token"])
        holder = headers["godwitwheel-lease-holder"]
        highest = self.highest.get(service, 0)
        self.record.write(
            "order", holder=holder, token=token, highest=highest, target=target_id
        )
        if token < highest and self.checks_fences:
            return 409
        self.highest[service] = max(highest, token)
        if not self.services[service].targets[target_id].is_up:
            return 409
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self.services[service].promote, target_id)
        return 200


def http_head(first_line, body):
    head = f"{first_line}\r\nContent-Type: application/json\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_http(reader):
    """Returns first line, headers and body of a message, or ``None`` at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.split("\r\n")
    headers = {}
    for each in rest:
        name, _, value = each.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return line, headers, await reader.readexactly(length)


async def http_call(address, method, path, body=None):
    """Sends one request; returns status and body. Follows a 307 twice."""
    for _ in range(3):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = body or b""
            if not isinstance(data, bytes):
                data = json.dumps(body).encode()
            writer.write(
                http_head(f"{method} {path} HTTP/1.1\r\nHost: {address}", data)
            )
            answer = await read_http(reader)
        finally:
            writer.close()
        if answer is None:
            raise OSError("no answer")
        line, headers, content = answer
        status = int(line.split(" ")[1])
        if status != 307:
            return status, content
        address = headers["location"].split("/")[2]
    return status, content


async def put_config(record, control_addresses, config, limit_s=30.0):
    """Sends a configuration until it is acknowledged."""
    until = time.monotonic() + limit_s
    record.write("config_sent", version=config["version"])
    while time.monotonic() < until:
        for address in control_addresses:
            try:
                call = http_call(address, "POST", "/api/config/put", config)
                status, _ = await asyncio.wait_for(call, 1.0)
            except (TimeoutError, OSError, ValueError):
                continue
            if status == 200:
                return record.write("config_acknowledged", version=config["version"])
        await asyncio.sleep(0.2)
    raise TimeoutError("the configuration was not acknowledged")


class Caller:
    """One caller's session."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address, database, limit_s=2.0):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 21), limit_s
        )
        writer.write(f"START {database}\r\n".encode())
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), limit_s)
        if not line.startswith(b"READY"):
            writer.close()
            raise OSError(line.decode().strip())
        return cls(reader, writer)

    async def query(self, request_id, text, limit_s=5.0):
        """Returns rows, the line ``COMPLETE`` or ``ERROR``, and the state."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        rows, outcome = [], ""
        while True:
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)
            word, _, rest = line[:-2].decode().partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "READY":
                return rows, outcome, rest.split(" ")[0]
            else:
                outcome = f"{word} {rest}"

    def close(self):
        self.writer.close()

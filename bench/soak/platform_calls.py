"""The platform's side of its calls: promotions, heartbeats, the routing table."""

import random
import time

import msgspec

from fleet.control_api import DatabaseRole, Heartbeat, TargetState
from fleet.failover_call import HOLDER_HEADER, TOKEN_HEADER, FailoverOrder
from fleet.tables import RouteEntry, ServiceEntry, TableDocument
from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.client import Client, HttpConnection
from godwitwheel.wire.codec import decode
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.http1 import ResponseReader
from godwitwheel.wire.server import Request, Response
from godwitwheel.wire.status import CONFLICT, TEMPORARY_REDIRECT

from .accounts import ACTIVATION_TIME_S, AccountBook
from .databases import MAX_CONNECTIONS, SLOTS, SoakGroup, SoakTarget
from .promises import PromiseChecker

HEARTBEAT_INTERVAL_S = 0.6
SOFTWARE_VERSION = "v1"
CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
PUBLISH_RETRY_PAUSE_S = 0.3
READ_INTERVAL_S = 0.5
STATEMENT_TIMEOUT_MS = 800
LATENCY_OBJECTIVE_MS = 200
MAX_STALENESS_MS = 1500


class PromotionEndpoint:
    """Receives promotion orders, and carries some of them out late.

    :ivar late_share: share of the orders that are carried out late, when the caller no
        longer waits for the answer.
    :ivar delay_s: by how much these are late, in seconds.
    """

    __slots__ = ("groups", "rng", "late_share", "delay_s")

    def __init__(self, groups: dict[str, SoakGroup], rng: random.Random):
        self.groups = groups
        self.rng = rng
        self.late_share = 0.0
        self.delay_s = 0.0

    def failover(self, request: Request) -> Response:
        """Carries out one promotion order."""
        order = decode(request.body, FailoverOrder)
        holder, token = request.header(HOLDER_HEADER), request.header(TOKEN_HEADER)
        if self.rng.random() < self.late_share:
            # The order is still carried out after the delay; its fencing token is
            # checked then.
            sleep(self.delay_s)
        group = self.groups.get(order.service)
        if group is None or not group.handle_promotion_order(
            order.target_id, holder, int(token)
        ):
            return Response({}, CONFLICT)
        return Response({})


class HeartbeatSender:
    """Sends the heartbeats of every target.

    :ivar control_addresses: addresses of control that receive them.
    """

    __slots__ = ("groups", "control_addresses", "client", "rng")

    def __init__(self, groups: dict[str, SoakGroup], control_addresses: list[str], rng):
        self.groups = groups
        self.control_addresses = control_addresses
        self.client = Client()
        self.rng = rng

    def run(self, target: SoakTarget) -> None:
        """Sends one target's heartbeats; picks a member anew after a failure."""
        address = self.rng.choice(self.control_addresses)
        while True:
            sleep(HEARTBEAT_INTERVAL_S)
            if not target.is_unresponsive and not self._send_heartbeat(target, address):
                address = self.rng.choice(self.control_addresses)

    def _send_heartbeat(self, target: SoakTarget, address: str) -> bool:
        target.sequence += 1
        state = TargetState.draining if target.leaving else TargetState.ready
        role = DatabaseRole.primary if target.is_primary() else DatabaseRole.replica
        heartbeat = Heartbeat(
            target.group.service,
            target.address,
            target.data_centre,
            SOFTWARE_VERSION,
            SLOTS,
            state,
            0,
            role,
            target.sequence,
            target.started_at_ms,
        )
        path = f"/api/instances/{target.target_id}/heartbeat"
        body = msgspec.json.encode(heartbeat)
        try:
            status, _ = self.client.exchange(
                address, "POST", path, body, CALL_TIMEOUT_S
            )
        except WireError:
            return False
        return status == 200


class Operator:
    """Changes the routing table and reads it back.

    :ivar services: number of synchronous replicas of each service.
    :ivar version: of the newest table that was sent.
    :ivar acknowledged: versions that were acknowledged, each with its time.
    :ivar documents: body of each table that was sent, by version.
    """

    __slots__ = (
        "services",
        "accounts",
        "control_addresses",
        "promises",
        "rng",
        "version",
        "acknowledged",
        "documents",
    )

    def __init__(
        self,
        services: dict[str, int],
        accounts: AccountBook,
        control_addresses: list[str],
        promises: PromiseChecker,
        rng,
    ):
        self.services = services
        self.accounts = accounts
        self.control_addresses = control_addresses
        self.promises = promises
        self.rng = rng
        self.version = 0
        self.acknowledged: list[tuple[int, float]] = []
        self.documents: dict[int, bytes] = {}

    def publish(self, limit_s: float) -> bool:
        """Sends a new table to randomly chosen members until one acknowledges it.

        :returns: whether it was acknowledged within ``limit_s``.
        """
        self.version += self.rng.randint(1, 3)
        version = self.version
        self.accounts.rotate()
        body = self.documents[version] = self._document(version)
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            status = self._call("POST", "/api/config/put", body)[0]
            if status == 200:
                self.acknowledged.append((version, time.monotonic()))
                self.accounts.record_acknowledged()
                return True
            if status in (400, 409, 422):
                self.promises.report_violation(
                    "CONFIG", f"version {version} refused: {status}"
                )
                return False
            sleep(PUBLISH_RETRY_PAUSE_S)
        return False

    def run_reads(self) -> None:
        """Reads the table back at regular intervals."""
        while True:
            sleep(READ_INTERVAL_S)
            self.read()

    def read(self) -> int:
        """Reads the table from a randomly chosen member and checks it.

        :returns: the version read, or 0 if the read failed.
        """
        requested_at = time.monotonic()
        status, body = self._call("GET", "/api/config/get", b"")
        if status != 200:
            return 0
        version = msgspec.json.decode(body, type=TableDocument).version
        due_versions = [
            v for v, at in self.acknowledged if at + ACTIVATION_TIME_S <= requested_at
        ]
        if version < max(due_versions, default=0):
            self.promises.report_violation(
                "CONFIG", f"read version {version}, but {max(due_versions)} was due"
            )
        if body != self.documents.get(version):
            self.promises.report_violation(
                "CONFIG", f"version {version} is not what was sent"
            )
        return version

    def _call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Calls a randomly chosen member, and follows its redirects to the leader.

        :returns: status and body; status 0 if no response came in time.
        """
        address = self.rng.choice(self.control_addresses)
        try:
            for _ in range(MAX_REDIRECTS):
                response = _exchange(address, method, path, body)
                if response.status != TEMPORARY_REDIRECT:
                    return response.status, response.body
                location = response.headers["location"].removeprefix("http://")
                address = location.partition("/")[0]
            response = _exchange(address, method, path, body)
        except WireError:
            return 0, b""
        return response.status, response.body

    def _document(self, version: int) -> bytes:
        routes = []
        for service in self.services:
            for kind in Consistency:
                database = database_of(service, kind)
                routes.append(
                    RouteEntry(
                        f"r-{database}",
                        database,
                        service,
                        kind,
                        # Lets tables differ in more than their version.
                        STATEMENT_TIMEOUT_MS + version % 7,
                        target_latency_ms=LATENCY_OBJECTIVE_MS,
                        priority=0 if kind is Consistency.primary else 1,
                        max_staleness_ms=MAX_STALENESS_MS,
                    )
                )
        services = [
            ServiceEntry(name, MAX_CONNECTIONS, synchronous_replicas)
            for name, synchronous_replicas in self.services.items()
        ]
        document = TableDocument(
            version, routes, services, accounts=self.accounts.entries()
        )
        return msgspec.json.encode(document)


def _exchange(address: str, method: str, path: str, body: bytes) -> ResponseReader:
    connection = HttpConnection(address)
    connection.connect(CALL_TIMEOUT_S)
    try:
        return connection.request(method, path, body, CALL_TIMEOUT_S)
    finally:
        connection.close()


def database_of(service: str, consistency: Consistency) -> str:
    """Returns the database name that routes to a service with one consistency."""
    return f"{service}-{consistency.value}"

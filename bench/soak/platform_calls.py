"""The platform's side of its calls: promotions, heartbeats, the operator's table."""

import random
import time

import msgspec

from fleet.control_api import DatabaseRole, Heartbeat, TargetState
from fleet.failover_call import HOLDER_HEADER, TOKEN_HEADER, FailoverOrder
from fleet.tables import RouteEntry, ServiceEntry, TableDocument
from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.client import Client
from godwitwheel.wire.codec import decode
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.server import Request, Response
from godwitwheel.wire.status import CONFLICT

from .databases import MAX_CONNECTIONS, SoakGroup, SoakTarget
from .promises import Promises

HEARTBEAT_INTERVAL_S = 0.6
CALL_TIMEOUT_S = 1.0
OPERATOR_PAUSE_S = 0.3
READ_INTERVAL_S = 0.5
# A change is in force on every member that can answer a read within this time.
IN_FORCE_S = 3.0
STATEMENT_TIMEOUT_MS = 800
OBJECTIVE_MS = 200
MAX_STALENESS_MS = 1500


class PromotionEndpoint:
    """Takes orders to promote; some answers are lost, and some come late.

    :ivar lost_share: share of the answers that are lost.
    """

    __slots__ = ("groups", "rng", "lost_share", "delay_s")

    def __init__(self, groups: dict[str, SoakGroup], rng: random.Random):
        self.groups = groups
        self.rng = rng
        self.lost_share = 0.0
        self.delay_s = 0.0

    def failover(self, request: Request) -> Response:
        """Carries out one order."""
        order = decode(request.body, FailoverOrder)
        holder, token = request.header(HOLDER_HEADER), request.header(TOKEN_HEADER)
        if self.rng.random() < self.lost_share:
            # It is carried out all the same, later, and its fence is checked then.
            sleep(self.delay_s)
        group = self.groups.get(order.service)
        if group is None or not group.order(order.target_id, holder, int(token)):
            return Response({}, CONFLICT)
        return Response({})


class TargetBeats:
    """Sends the heartbeats of every target.

    :ivar controls: addresses that take them.
    """

    __slots__ = ("groups", "controls", "client", "rng")

    def __init__(self, groups: dict[str, SoakGroup], controls: list[str], rng):
        self.groups = groups
        self.controls = controls
        self.client = Client()
        self.rng = rng

    def run(self, target: SoakTarget) -> None:
        """Sends those of one target, to another member after a failure."""
        address = self.rng.choice(self.controls)
        while True:
            sleep(HEARTBEAT_INTERVAL_S)
            if not target.is_unresponsive and not self._beat(target, address):
                address = self.rng.choice(self.controls)

    def _beat(self, target: SoakTarget, address: str) -> bool:
        target.sequence += 1
        state = TargetState.draining if target.leaving else TargetState.ready
        role = DatabaseRole.primary if target.is_primary() else DatabaseRole.replica
        beat = Heartbeat(
            target.group.service,
            target.address,
            target.zone,
            4,
            state,
            target.sequence,
            role,
            target.started_at_ms,
        )
        path = f"/api/instances/{target.target_id}/heartbeat"
        body = msgspec.json.encode(beat)
        try:
            status, _ = self.client.exchange(
                address, "POST", path, body, CALL_TIMEOUT_S
            )
        except WireError:
            return False
        return status == 200


class Operator:
    """Changes the routing table and reads it back.

    :ivar version: of the newest table that was sent.
    :ivar acknowledged: newest version that was acknowledged, and when.
    """

    __slots__ = (
        "services",
        "controls",
        "promises",
        "rng",
        "client",
        "version",
        "acknowledged",
        "documents",
    )

    def __init__(
        self, services: list[str], controls: list[str], promises: Promises, rng
    ):
        self.services = services
        self.controls = controls
        self.promises = promises
        self.rng = rng
        self.client = Client()
        self.version = 0
        self.acknowledged: list[tuple[int, float]] = []
        self.documents: dict[int, bytes] = {}

    def publish(self, limit_s: float) -> bool:
        """Sends a new table until it is acknowledged, to any member.

        :returns: whether it was acknowledged within the limit.
        """
        self.version += self.rng.randint(1, 3)
        version = self.version
        body = self.documents[version] = self._document(version)
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status = self._call("POST", "/api/config/put", body)[0]
            if status == 200:
                self.acknowledged.append((version, time.monotonic()))
                return True
            if status in (400, 409, 422):
                self.promises.broke("CONFIG", f"version {version} refused: {status}")
                return False
            sleep(OPERATOR_PAUSE_S)
        return False

    def run_reads(self) -> None:
        """Reads the table back all the while."""
        while True:
            sleep(READ_INTERVAL_S)
            self.read()

    def read(self) -> int:
        """Reads the table at any member and checks it.

        :returns: the version read, 0 if none was.
        """
        asked_at = time.monotonic()
        status, body = self._call("GET", "/api/config/get", b"")
        if status != 200:
            return 0
        version = msgspec.json.decode(body, type=TableDocument).version
        due = [v for v, at in self.acknowledged if at + IN_FORCE_S <= asked_at]
        if version < max(due, default=0):
            self.promises.broke("CONFIG", f"read {version} after {max(due)} was due")
        if body != self.documents.get(version):
            self.promises.broke("CONFIG", f"version {version} is not what was sent")
        return version

    def _call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        address = self.rng.choice(self.controls)
        try:
            return self.client.exchange(address, method, path, body, CALL_TIMEOUT_S)
        except WireError:
            return 0, b""

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
                        # Nothing but the version would change otherwise.
                        STATEMENT_TIMEOUT_MS + version % 7,
                        target_latency_ms=OBJECTIVE_MS,
                        priority=0 if kind is Consistency.primary else 1,
                        max_staleness_ms=MAX_STALENESS_MS,
                    )
                )
        services = [ServiceEntry(name, MAX_CONNECTIONS) for name in self.services]
        return msgspec.json.encode(TableDocument(version, routes, services))


def database_of(service: str, consistency: Consistency) -> str:
    """Returns the database through which a service is used in one way."""
    return f"{service}-{consistency.value}"

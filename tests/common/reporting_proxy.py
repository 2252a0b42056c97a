"""A small proxy for tests of the control process: probes, announces, heartbeats."""

import contextlib
import itertools
import random

from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.targets.errors import TargetError
from godwitwheel.targets.http_target import HttpTargetAdmin
from godwitwheel.wire.client import Client
from godwitwheel.wire.codec import decode
from godwitwheel.wire.control import (
    ClusterView,
    Heartbeat,
    HeartbeatReply,
    TargetObservation,
)
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.server import Request, Response, Server
from godwitwheel.wire.target import TargetStatus

INTERVAL_S = 0.1
TIMEOUT_S = 0.3


class ReportingProxy:
    """Owns its tasks from entering to leaving the block.

    :ivar replies: heartbeats answered so far.
    """

    def __init__(self, proxy_id: str, control: list[str]):
        self.proxy_id = proxy_id
        self.incarnation = random.getrandbits(31)
        self.control = itertools.cycle(control)
        self.leader = next(self.control)
        self.client = Client()
        self.admin = HttpTargetAdmin(self.client)
        self.clock = BootClock()
        self.view = ClusterView()
        self.revision = 0
        self.quotas: dict[str, int] = {}
        self.announced: dict[str, TargetStatus] = {}
        self.seen: dict[str, tuple[float, TargetStatus]] = {}
        self.replies = 0
        self.server = Server({("POST", "/v1/announce"): self._announce}, print)
        self.stack = contextlib.ExitStack()

    def __enter__(self) -> "ReportingProxy":
        self.stack.enter_context(self.server.listening("127.0.0.1:0"))
        for function in (self._run_probes, self._run_heartbeats):
            self.stack.callback(spawn(function).kill)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stack.close()

    def _announce(self, request: Request) -> Response:
        status = decode(request.body, TargetStatus)
        self.announced[status.target_id] = status
        return Response({})

    def _run_probes(self) -> None:
        while True:
            for record in list(self.view.targets.values()):
                spawn(self._probe, record.address)
            sleep(INTERVAL_S)

    def _probe(self, address: str) -> None:
        sent_at = self.clock.now()
        with contextlib.suppress(TargetError):
            status = self.admin.status(address, TIMEOUT_S)
            self.seen[status.target_id] = (sent_at, status)

    def _run_heartbeats(self) -> None:
        for sequence in itertools.count(1):
            try:
                self._beat(sequence)
            except WireError:
                self.leader = next(self.control)
                sleep(INTERVAL_S / 5)
            else:
                sleep(INTERVAL_S)

    def _beat(self, sequence: int) -> None:
        now = self.clock.now()
        heartbeat = Heartbeat(
            proxy_id=self.proxy_id,
            incarnation=self.incarnation,
            data_centre="dc",
            address=self.server.address,
            view_version=self.view.version,
            revision=self.revision,
            announcements=list(self.announced.values()),
            observations=[self._observe(item, now) for item in self.view.targets],
            sequence=sequence,
            quotas=self.quotas,
        )
        self.announced = {}
        reply = self.client.call(
            self.leader, "/v1/heartbeat", heartbeat, HeartbeatReply, TIMEOUT_S
        )
        self.view = reply.view or self.view
        self.revision = reply.revision
        self.quotas = reply.quotas
        self.replies += 1

    def _observe(self, target_id: str, now: float) -> TargetObservation:
        if target_id not in self.seen:
            return TargetObservation(target_id, -1)
        sent_at, status = self.seen[target_id]
        return TargetObservation(target_id, round((now - sent_at) * 1000), status)

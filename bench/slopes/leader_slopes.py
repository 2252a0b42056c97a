"""Costs of a control leader that receives the heartbeats of proxies."""

import io

from godwitwheel.internal.loop import sleep
from godwitwheel.wire.codec import encode

from .fit import REPEATS, allocated_bytes, processor_us
from .stand_ins import Control, commit_targets, heartbeat

HEARTBEAT_INTERVAL_S = 0.15
ROUNDS_OF_HISTORY = 22
SETTLE_ROUNDS = 20


class HeartbeatCost:
    """Cost of heartbeats at one size.

    :ivar heartbeat_us: processor time of one heartbeat's handler.
    :ivar decide_us: processor time of one round of the controllers.
    """

    __slots__ = ("heartbeat_us", "decide_us", "request_bytes", "reply_bytes")

    def __init__(
        self,
        heartbeat_us: float,
        decide_us: float,
        request_bytes: int,
        reply_bytes: int,
    ):
        self.heartbeat_us = heartbeat_us
        self.decide_us = decide_us
        self.request_bytes = request_bytes
        self.reply_bytes = reply_bytes


def post(control: Control, path: str, body: bytes) -> bytes:
    """Passes a request to the member's real route and returns the reply."""
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    response = control.server.respond(environ)
    if response.status != 200 or control.failures:
        raise RuntimeError(f"{response.status} {response.body!r} {control.failures}")
    return response.body


class LeaderLoad:
    """Fake proxies that send heartbeats to one real leader."""

    __slots__ = ("control", "proxies", "targets", "version", "sequence")

    def __init__(self, proxies: int, targets: int):
        self.control = Control()
        self.proxies = proxies
        self.targets = targets
        commit_targets(self.control, targets)
        for _ in range(SETTLE_ROUNDS):
            self.control.member.decide_once()
            sleep(0)
        self.version = self.control.state.cluster.view.version
        self.sequence = 0

    def bodies(self) -> list[bytes]:
        """Returns the encoded next heartbeat of every proxy."""
        self.sequence += 1
        return [
            encode(heartbeat(number, self.targets, self.sequence, self.version))
            for number in range(self.proxies)
        ]

    def send_heartbeats(self) -> bytes:
        """Sends one heartbeat of every proxy and returns the last reply."""
        self.control.clock.advance(HEARTBEAT_INTERVAL_S)
        for body in self.bodies():
            reply = post(self.control, "/v1/heartbeat", body)
        self.control.member.decide_once()
        sleep(0)
        return reply

    def measure(self) -> HeartbeatCost:
        """Measures after filling the leader's history windows."""
        for _ in range(ROUNDS_OF_HISTORY):
            reply = self.send_heartbeats()
        self.control.clock.advance(HEARTBEAT_INTERVAL_S)
        pending_bodies = iter(self.bodies())
        heartbeat_us = processor_us(
            lambda: post(self.control, "/v1/heartbeat", next(pending_bodies)),
            self.proxies // REPEATS,
        )
        decide_us = processor_us(self.control.member.decide_once, 2)
        return HeartbeatCost(heartbeat_us, decide_us, len(self.bodies()[0]), len(reply))


def leader_bytes(proxies: int, targets: int) -> int:
    """Returns the memory of a leader's state with full history windows."""

    def build() -> LeaderLoad:
        load = LeaderLoad(proxies, targets)
        for _ in range(ROUNDS_OF_HISTORY):
            load.send_heartbeats()
        return load

    return allocated_bytes(build)

"""What a control leader pays for proxies, targets, services and claims."""

import uuid

from godwitwheel.control.commands import ClaimCommand, OutcomeCommand, PublishCommand
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.caller import CallerAnswer, Outcome, StatementResult
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import Claim, Publish, RecordOutcome
from godwitwheel.wire.service import Access, RequestRule, Service, hash_services

from .fit import allocated_bytes, processor_us
from .stand_ins import Control, commit_targets, heartbeat

HEARTBEAT_INTERVAL_S = 0.15
ROUNDS = 3
SETTLE_TURNS = 20
REQUESTS_A_SERVICE = 8
KEY_TIME_MS = 1_700_000_000_000
WALL_S = KEY_TIME_MS / 1000.0
ANSWER = CallerAnswer(
    Outcome.done, [StatementResult(["id", "key"], [[123_456, "x" * 36]], 1)], "t" * 160
)


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
    """Hands a request to the member's real route and returns the reply."""
    import io

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


def measure_heartbeats(proxies: int, targets: int) -> HeartbeatCost:
    """Measures ``proxies`` heartbeating one leader, all with a granted lease."""
    control = Control()
    commit_targets(control, targets)
    version = control.state.cluster.view.version
    replies = []

    def bodies(sequence: int) -> list[bytes]:
        return [
            encode(heartbeat(number, targets, sequence, version))
            for number in range(proxies)
        ]

    for _ in range(SETTLE_TURNS):
        control.member.decide_once()
        sleep(0)
    version = control.state.cluster.view.version
    costs = []
    for sequence in range(1, ROUNDS + 1):
        control.clock.advance(HEARTBEAT_INTERVAL_S)
        waiting = iter(bodies(sequence))

        def one(waiting=waiting) -> None:
            replies.append(post(control, "/v1/heartbeat", next(waiting)))

        costs.append(processor_us_once(one, proxies))
        control.member.decide_once()
        sleep(0)
    decide_us = processor_us(control.member.decide_once, 2)
    return HeartbeatCost(min(costs), decide_us, len(bodies(9)[0]), len(replies[-1]))


def processor_us_once(function, times: int) -> float:
    """Returns the processor time of one of ``times`` calls, in microseconds."""
    import time

    start = time.process_time()
    for _ in range(times):
        function()
    return (time.process_time() - start) / times * 1e6


def leader_bytes(proxies: int, targets: int) -> int:
    """Returns the memory of a leader's state with these reports in it."""

    def build() -> Control:
        control = Control()
        commit_targets(control, targets)
        for number in range(proxies):
            body = encode(heartbeat(number, targets, 1, 0))
            post(control, "/v1/heartbeat", body)
        return control

    return allocated_bytes(build)


def services(count: int) -> dict[str, Service]:
    """Returns ``count`` services with eight requests each."""
    made = {}
    for number in range(count):
        requests = {
            f"request-{place}": RequestRule(f"db-{number:04d}", Access.read, 2_000)
            for place in range(REQUESTS_A_SERVICE)
        }
        made[f"service-{number:04d}"] = Service(f"service-{number:04d}", requests)
    return made


def publish(control: Control, revision: int, content: dict[str, Service]) -> None:
    """Commits one publish."""
    message = Publish(
        str(uuid.UUID(int=revision)), revision, f"{revision:032x}", content
    )
    control.commit(PublishCommand(message))


def configuration_bytes(count: int) -> tuple[int, int]:
    """Returns the size on the wire and in memory of ``count`` services."""

    def build() -> Control:
        control = Control()
        publish(control, 0, services(count))
        return control

    return len(encode(services(count))), allocated_bytes(build)


def publish_us(count: int) -> float:
    """Returns the processor time of one publish of ``count`` services."""
    control = Control()
    content = services(count)

    def one() -> None:
        publish(control, control.state.revisions.configuration.revision, content)
        hash_services(content)

    return processor_us(one, 3)


def revision_bytes(count: int) -> int:
    """Returns the memory after ``count`` publishes of one small service."""

    def build() -> Control:
        control = Control()
        content = services(1)
        for revision in range(count):
            publish(control, revision, content)
        return control

    return allocated_bytes(build)


def claim(control: Control, number: int) -> None:
    """Claims a key and records its outcome."""
    key = str(uuid.UUID(int=KEY_TIME_MS << 80 | 7 << 76 | 2 << 62 | number))
    digest = f"{number:032x}"
    message = Claim("kit", key, digest, f"{number:024x}", 86_400)
    control.commit(ClaimCommand(message, WALL_S))
    outcome = RecordOutcome("kit", key, f"{number:024x}", ANSWER)
    control.commit(OutcomeCommand(outcome, WALL_S))


def claims(count: int) -> Control:
    """Returns a member that remembers ``count`` keys with their answers."""
    control = Control()
    for number in range(count):
        claim(control, number)
    return control


def claim_bytes(count: int) -> tuple[int, int]:
    """Returns memory and snapshot size of ``count`` remembered keys."""
    return (
        allocated_bytes(lambda: claims(count)),
        len(claims(count).state.take_snapshot()),
    )


def claim_us() -> float:
    """Returns the processor time to apply one claim and its outcome."""
    control = Control()
    numbers = iter(range(10**9))
    return processor_us(lambda: claim(control, next(numbers)), 2_000)

"""Costs of configurations, revisions and claims in the replicated state."""

import uuid

from godwitwheel.control.commands import ClaimCommand, OutcomeCommand, PublishCommand
from godwitwheel.wire.caller import CallerAnswer, Outcome, StatementResult
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import Claim, Publish, RecordOutcome
from godwitwheel.wire.service import Access, RequestRule, Service, hash_services

from .fit import allocated_bytes, processor_us
from .stand_ins import Control

REQUESTS_A_SERVICE = 8
KEY_TIME_MS = 1_700_000_000_000
WALL_S = KEY_TIME_MS / 1000.0
ANSWER = CallerAnswer(
    Outcome.done, [StatementResult(["id", "key"], [[123_456, "x" * 36]], 1)], "t" * 160
)


def services(count: int) -> dict[str, Service]:
    """Returns ``count`` services with eight requests each."""
    result = {}
    for number in range(count):
        requests = {
            f"request-{request_number}": RequestRule(
                f"db-{number:04d}", Access.read, 2_000
            )
            for request_number in range(REQUESTS_A_SERVICE)
        }
        result[f"service-{number:04d}"] = Service(f"service-{number:04d}", requests)
    return result


def publish(control: Control, revision: int, content: dict[str, Service]) -> None:
    """Commits one published configuration."""
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

    def publish_once() -> None:
        publish(control, control.state.revisions.configuration.revision, content)
        hash_services(content)

    return processor_us(publish_once, 3)


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
    """Returns a member that stores ``count`` keys with their answers."""
    control = Control()
    for number in range(count):
        claim(control, number)
    return control


def claim_bytes(count: int) -> tuple[int, int]:
    """Returns memory and snapshot size of ``count`` stored keys."""
    return (
        allocated_bytes(lambda: claims(count)),
        len(claims(count).state.take_snapshot()),
    )


def claim_us() -> float:
    """Returns the processor time to apply one claim and its outcome."""
    control = Control()
    numbers = iter(range(10**9))
    return processor_us(lambda: claim(control, next(numbers)), 2_000)

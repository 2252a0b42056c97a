"""Open-loop load generation: requests start on schedule, while others still run."""

import random
import time
import uuid

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.wire.caller import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    NEW_SESSION,
    SESSION_HEADER,
    CallerAnswer,
)
from godwitwheel.wire.client import Client
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.errors import BadMessage, NoReply, NotSent

from .records import Ending, RequestKind, RequestRecord
from .workload import Mix, NamedRequest

DEADLINE_S = 2.0
# The proxy answers by the deadline; the caller waits a little longer for that answer.
ANSWER_TIMEOUT_S = DEADLINE_S + 1.0
MIN_RETRY_DELAY_S = 0.1
MAX_IN_FLIGHT = 4000


class Caller:
    """One caller with a session; it sends one request at a time."""

    __slots__ = ("name", "token")

    def __init__(self, name: str):
        self.name = name
        self.token = NEW_SESSION


class Traffic:
    """Sends requests of a mix to the proxies and records how each ended.

    :ivar resend_limit_s: how long a write that is not done is retried with the same
        key, in seconds; 0 sends every request once.
    :ivar run_id: part of the callers' names that differs between runs.
    :ivar records: one record for each attempt.
    :ivar idle: callers without a request in flight.
    :ivar callers: number of callers created so far.
    :ivar skipped: requests not sent because ``MAX_IN_FLIGHT`` were in flight.
    """

    __slots__ = (
        "proxies",
        "mix",
        "rng",
        "client",
        "run_id",
        "resend_limit_s",
        "records",
        "skipped",
        "idle",
        "in_flight",
        "callers",
    )

    def __init__(
        self,
        proxies: list[str],
        mix: Mix,
        client: Client,
        seed: int = 1,
        resend_limit_s: float = 8.0,
    ):
        self.proxies = proxies
        self.mix = mix
        self.rng = random.Random(seed)
        self.client = client
        self.run_id = uuid.uuid4().hex[:8]
        self.resend_limit_s = resend_limit_s
        self.records: list[RequestRecord] = []
        self.skipped = 0
        self.idle: list[Caller] = []
        self.in_flight = 0
        self.callers = 0

    def run(self, rate: float, seconds: float) -> None:
        """Starts ``rate`` requests a second for ``seconds``, at random intervals."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self.rng.expovariate(rate)
            sleep(max(due - time.monotonic(), 0.0))
            self.start_request(due)

    def start_request(self, due: float) -> None:
        """Starts one request drawn from the mix; ``due`` is its scheduled time."""
        if self.in_flight >= MAX_IN_FLIGHT:
            self.skipped += 1
            return
        request = self.rng.choices(self.mix.requests, self.mix.weights)[0]
        self.in_flight += 1
        spawn(self._run_request, request, due)

    def wait_for_answers(self) -> None:
        """Returns once nothing is in flight."""
        while self.in_flight:
            sleep(0.01)

    def _run_request(self, request: NamedRequest, due: float) -> None:
        caller = self._pick_caller()
        try:
            self.send_until_done(request, caller, due)
        finally:
            self.idle.append(caller)
            self.in_flight -= 1

    def _pick_caller(self) -> Caller:
        if self.idle and self.rng.random() < 0.9:
            return self.idle.pop(self.rng.randrange(len(self.idle)))
        self.callers += 1
        return Caller(f"caller-{self.run_id}-{self.callers}")

    def send_until_done(
        self, request: NamedRequest, caller: Caller, due: float
    ) -> RequestRecord:
        """Sends a request; retries a write with the same key until it is done.

        The retries also end after a refusal without ``retry_after_ms``, and after
        ``resend_limit_s``.
        """
        key = str(uuid7(time.time(), self.rng))
        while True:
            record = self.send(request, caller, key, self.rng.choice(self.proxies), due)
            elapsed_s = time.monotonic() - due
            has_expired = elapsed_s >= self.resend_limit_s
            if record.kind is not RequestKind.write or has_expired:
                return record
            if record.ending is Ending.done or _is_final(record):
                return record
            sleep(max(record.retry_after_ms / 1000, MIN_RETRY_DELAY_S))

    def send(
        self, request: NamedRequest, caller: Caller, key: str, proxy: str, due: float
    ) -> RequestRecord:
        """Sends a request once and records the answer."""
        headers = {
            SESSION_HEADER: caller.token,
            DEADLINE_HEADER: str(int(DEADLINE_S * 1000)),
        }
        if request.kind is RequestKind.write:
            headers[IDEMPOTENCY_KEY_HEADER] = key
        body = encode(request.build(key, caller.name))
        sent_at = time.monotonic()
        answer, ending, faults = self.exchange(request, proxy, body, headers)
        record = _build_record(
            request, caller, key, proxy, due, sent_at, answer, ending
        )
        if faults:
            record.faults.extend(faults)
        if answer.session:
            caller.token = answer.session
        self.records.append(record)
        return record

    def exchange(
        self, request: NamedRequest, proxy: str, body: bytes, headers: dict[str, str]
    ) -> tuple[CallerAnswer, Ending, list[str]]:
        """Sends a request and returns the answer, how it ended, and its faults."""
        empty_answer = CallerAnswer(outcome="unknown")
        try:
            _, reply = self.client.exchange(
                proxy, "POST", "/v1/request", body, ANSWER_TIMEOUT_S, headers
            )
        except NotSent:
            return empty_answer, Ending.not_sent, []
        except NoReply:
            return empty_answer, Ending.no_answer, []
        try:
            answer = decode(reply, CallerAnswer)
        except BadMessage as error:
            return (
                empty_answer,
                Ending.no_answer,
                [f"malformed: {error}: {reply[:200]!r}"],
            )
        return answer, Ending(answer.outcome.value), []


def _is_final(record: RequestRecord) -> bool:
    """Whether the request was refused and must not be retried."""
    return record.ending is Ending.not_run and not record.retry_after_ms


def _build_record(
    request: NamedRequest,
    caller: Caller,
    key: str,
    proxy: str,
    due: float,
    sent_at: float,
    answer: CallerAnswer,
    ending: Ending,
) -> RequestRecord:
    answered_at = time.monotonic()
    keys, entry_id, faults = [], 0, []
    if ending is Ending.done:
        content = request.read(answer, key, caller.name)
        keys, entry_id, faults = content.keys, content.entry_id, content.faults
    return RequestRecord(
        kind=request.kind,
        group=request.group,
        caller=caller.name,
        key=key,
        proxy=proxy,
        arrived_at=due,
        sent_at=sent_at,
        answered_at=answered_at,
        ending=ending,
        reason=str(answer.reason or ""),
        retry_after_ms=answer.retry_after_ms,
        served_by=answer.served_by,
        from_replica=answer.from_replica,
        replayed=answer.replayed,
        max_staleness_ms=request.max_staleness_ms,
        keys=keys,
        entry_id=entry_id,
        entries=request.entries,
        faults=faults,
    )


def uuid7(wall_s: float, rng: random.Random) -> uuid.UUID:
    """Returns a UUID of version 7, whose first 48 bits are the time in milliseconds."""
    value = (int(wall_s * 1000) << 80) | rng.getrandbits(80)
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return uuid.UUID(int=value)

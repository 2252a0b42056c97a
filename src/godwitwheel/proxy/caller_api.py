"""The interface to callers: validates a request, executes it and answers."""

import math

from ..decisions.sessions import Session, decode_token
from ..internal.sentinel import Refusal
from ..wire.caller import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    NEW_SESSION,
    SESSION_HEADER,
    CallerAnswer,
    CallerRequest,
    Outcome,
    Reason,
)
from ..wire.codec import decode
from ..wire.errors import BadMessage
from ..wire.server import Request, Response
from ..wire.service import Access, RequestRule, Service
from .answers import http_status, not_run, with_session
from .context import ProxyContext
from .errors import RequestEnded
from .keyed import KeyedWrites
from .reads import ReadExecutor
from .work import Work
from .writes import WriteExecutor

DEFAULT_DEADLINE_MS = 5_000
MAX_DEADLINE_MS = 60_000
MAX_KEY_CHARACTERS = 128
MAX_STATEMENTS = 100
MAX_SQL_CHARACTERS = 100_000


class CallerApi:
    """Serves ``POST /v1/request``.

    :ivar in_flight: number of requests not answered yet.
    """

    __slots__ = ("context", "reads", "writes", "keyed", "in_flight")

    def __init__(
        self,
        context: ProxyContext,
        reads: ReadExecutor,
        writes: WriteExecutor,
        keyed: KeyedWrites,
    ):
        self.context = context
        self.reads = reads
        self.writes = writes
        self.keyed = keyed
        self.in_flight = 0

    def handle(self, request: Request) -> Response:
        """Answers one request."""
        started_at = self.context.clock.now()
        self.in_flight += 1
        try:
            answer = self._answer(request, started_at)
        finally:
            self.in_flight -= 1
        self.context.metrics.record_answer(
            answer, self.context.clock.now() - started_at
        )
        return self._response(answer)

    def _answer(self, request: Request, started_at: float) -> CallerAnswer:
        try:
            work = self._validate(request, started_at)
        except RequestEnded as ended:
            return ended.answer
        answer = self._execute(work)
        if answer.session or not (work.session.is_complete or work.session.points):
            # No token is needed: a request without one gets the same session, which is
            # incomplete and has no positions.
            return answer
        return with_session(answer, work.session, self.context.blackboard)

    def _execute(self, work: Work) -> CallerAnswer:
        if work.is_read:
            return self.reads.run(work)
        if work.key:
            return self.keyed.run(work)
        return self.writes.run(work)

    def _response(self, answer: CallerAnswer) -> Response:
        headers = [(SESSION_HEADER, answer.session)]
        if answer.outcome is Outcome.not_run and answer.retry_after_ms:
            seconds = math.ceil(answer.retry_after_ms / 1000)
            headers.append(("Retry-After", str(seconds)))
        if self.context.blackboard.draining:
            headers.append(("Connection", "close"))
        return Response(answer, http_status(answer), headers)

    def _validate(self, request: Request, started_at: float) -> Work:
        """Validates everything that the caller sent.

        :raises RequestEnded: with the answer that names the error.
        """
        board = self.context.blackboard
        deadline_ms = _deadline_ms(request.header(DEADLINE_HEADER))
        message = _message(request.body)
        if not board.configuration.revision or not board.view.token_key:
            raise RequestEnded(not_run(Reason.not_configured, "no configuration yet"))
        service = _service(message, board.configuration.services)
        rule = _rule(message, service)
        return Work(
            message,
            service,
            rule,
            _session(request.header(SESSION_HEADER), board.view.token_key),
            _key(request.header(IDEMPOTENCY_KEY_HEADER), rule),
            started_at,
            started_at + deadline_ms / 1000.0,
        )


def _request_error(reason: Reason, message: str) -> RequestEnded:
    return RequestEnded(not_run(reason, message))


def _deadline_ms(text: str | None) -> int:
    if text is None:
        return DEFAULT_DEADLINE_MS
    is_number = text.isascii() and text.isdigit() and len(text) <= 6
    if not is_number or not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise _request_error(
            Reason.bad_request,
            f"{DEADLINE_HEADER}: got {text[:40]!r}, expected 1 to {MAX_DEADLINE_MS}",
        )
    return int(text)


def _message(body: bytes) -> CallerRequest:
    try:
        message = decode(body, CallerRequest)
    except BadMessage as error:
        raise _request_error(Reason.bad_request, str(error)) from error
    count = len(message.statements)
    if not 1 <= count <= MAX_STATEMENTS:
        raise _request_error(
            Reason.bad_request,
            f"statements: got {count}, expected 1 to {MAX_STATEMENTS}",
        )
    for statement in message.statements:
        if not 1 <= len(statement.sql.strip()) <= MAX_SQL_CHARACTERS:
            raise _request_error(
                Reason.bad_request,
                f"sql: expected 1 to {MAX_SQL_CHARACTERS} characters",
            )
    return message


def _service(message: CallerRequest, services: dict[str, Service]) -> Service:
    service = services.get(message.service)
    if service is None:
        raise _request_error(
            Reason.unknown_service, f"service: got {message.service[:80]!r}"
        )
    return service


def _rule(message: CallerRequest, service: Service) -> RequestRule:
    rule = service.requests.get(message.request)
    if rule is None:
        raise _request_error(
            Reason.unknown_request, f"request: got {message.request[:80]!r}"
        )
    return rule


def _session(token: str | None, token_key: str) -> Session:
    if token is None:
        return Session({}, is_complete=False)
    if token == NEW_SESSION:
        return Session({}, is_complete=True)
    session = decode_token(token, token_key)
    if isinstance(session, Refusal):
        raise _request_error(
            Reason.bad_session, f"{session.reason.value}: {session.detail}"
        )
    return session


def _key(key: str | None, rule: RequestRule) -> str:
    if rule.access is Access.read:
        return ""
    if key is None:
        if rule.repeatable:
            return ""
        raise _request_error(
            Reason.key_required, f"{IDEMPOTENCY_KEY_HEADER} is missing"
        )
    is_visible = key.isascii() and key.isprintable() and " " not in key
    if not is_visible or not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        raise _request_error(
            Reason.bad_request,
            f"{IDEMPOTENCY_KEY_HEADER}: expected 1 to {MAX_KEY_CHARACTERS} visible "
            "characters",
        )
    return key

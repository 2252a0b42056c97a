"""Interactive sessions for callers that speak HTTP with JSON.

A session is addressed by the id that is returned when it is opened, and runs one
statement at a time. An idle transaction is rolled back; a session that stays idle for
longer is ended.
"""

import itertools

import msgspec

from ..accounts.keys import digest_of
from ..internal.loop import sleep
from ..observe.events import EventName
from ..wire.codec import decode
from ..wire.server import Handler, Request, Response
from ..wire.service import Access
from ..wire.status import CONFLICT, NOT_FOUND, UNAUTHORIZED, UNAVAILABLE
from .access import authorize
from .context import SessionContext, SessionState
from .running.runner import RunnerSelector
from .session import Session
from .statements import Answer, ErrorCode, Statement, StatementKind, TransactionState

SESSIONS_PATH = "/v1/sessions"
SESSION_PATH = "/v1/sessions/{}"
STATEMENTS_PATH = "/v1/sessions/{}/statements"
MAX_SESSIONS = 5000
# Idle time after which a session is ended, in seconds.
SESSION_IDLE_S = 300.0
EXPIRY_POLL_S = 0.5
RETRY_AFTER_S = "1"


class OpenSessionRequest(msgspec.Struct, frozen=True):
    """Requests a session on a database."""

    database: str


class SessionOpened(msgspec.Struct, frozen=True):
    """The id of a new session."""

    session: str


class StatementRequest(msgspec.Struct, frozen=True):
    """One statement; see :class:`~.statements.Statement` for the fields."""

    kind: StatementKind
    request_id: str = "-"
    text: str = ""
    read_only: bool = False
    name: str = ""
    value: str = ""
    access: Access = Access.read
    shape: str = ""
    arguments: str = ""


class StatementAnswer(msgspec.Struct, frozen=True):
    """The complete answer to a statement.

    :ivar signature: signature of the target that ran it; empty if none did.
    :ivar error: ``None`` for success.
    """

    rows: list[str]
    signature: str
    error: ErrorCode | None
    detail: str
    state: TransactionState


class SessionProblem(msgspec.Struct, frozen=True):
    """Error body that says why a request was not served."""

    message: str


class HttpSession:
    """An open session.

    :ivar used_at: when its last statement ended, in seconds of the clock.
    :ivar is_busy: whether one of its statements is being served.
    """

    __slots__ = ("session", "used_at", "is_busy")

    def __init__(self, session: Session, now: float):
        self.session = session
        self.used_at = now
        self.is_busy = False


class HttpSessions:
    """Serves sessions over HTTP.

    :ivar prefix: start of every session id.
    :ivar numbers: numbers for the ids of new sessions.
    :ivar open: open sessions by id.
    :ivar is_draining: whether the process is stopping and opens no more sessions.
    """

    __slots__ = ("context", "runners", "prefix", "numbers", "open", "is_draining")

    def __init__(self, context: SessionContext, runners: RunnerSelector, prefix: str):
        self.context = context
        self.runners = runners
        self.prefix = prefix
        self.numbers = itertools.count(1)
        self.open: dict[str, HttpSession] = {}
        self.is_draining = False

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Returns the routes that callers use."""
        return {
            ("POST", SESSIONS_PATH): self.open_session,
            ("POST", STATEMENTS_PATH): self.run_statement,
            ("DELETE", SESSION_PATH): self.end_session,
        }

    def open_session(self, request: Request) -> Response:
        """Opens a session."""
        database = decode(request.body, OpenSessionRequest).database
        if self.is_draining or len(self.open) >= MAX_SESSIONS:
            return _problem("no room for a session", UNAVAILABLE)
        route = self.context.route(database)
        if route is None:
            return _problem(f"no such database: {database}", NOT_FOUND)
        session_id = f"{self.prefix}-{next(self.numbers)}"
        state = SessionState(session_id, database, digest_of(bearer_key(request)))
        refusal = authorize(self.context, state, route, self.context.now())
        if refusal is not None:
            is_unauthorized = refusal.error is ErrorCode.unauthorized
            status = UNAUTHORIZED if is_unauthorized else UNAVAILABLE
            return _problem(refusal.detail, status)
        session = Session(self.context, self.runners, state)
        self.open[session_id] = HttpSession(session, self.context.now())
        return Response(SessionOpened(session_id))

    def run_statement(self, request: Request) -> Response:
        """Runs a statement of a session."""
        statement = _to_statement(decode(request.body, StatementRequest))
        self.context.check_statement(statement)
        held = self.open.get(request.parameters[0])
        if held is None:
            return _problem("no such session; open another", NOT_FOUND)
        if held.is_busy:
            return _problem("a statement of the session is being served", CONFLICT)
        held.is_busy = True
        try:
            answer = held.session.execute(statement)
        finally:
            held.is_busy = False
            held.used_at = self.context.now()
        return Response(_to_response(answer))

    def end_session(self, request: Request) -> Response:
        """Ends a session and rolls back what is open."""
        held = self.open.get(request.parameters[0])
        if held is None:
            return _problem("no such session", NOT_FOUND)
        if held.is_busy:
            return _problem("a statement of the session is being served", CONFLICT)
        del self.open[request.parameters[0]]
        held.session.close()
        return Response({})

    def run_expiry(self) -> None:
        """Periodically ends idle transactions and sessions."""
        while True:
            sleep(EXPIRY_POLL_S)
            self.expire(self.context.now())

    def expire(self, now: float) -> None:
        """Ends transactions and sessions that have been idle for too long.

        While the process stops, every session without a transaction is ended.
        """
        limits = self.context.board.view.table.limits
        transaction_s = limits.transaction_idle_ms / 1000.0
        for session_id, held in list(self.open.items()):
            idle_s = now - held.used_at
            if held.is_busy:
                continue
            if held.session.transaction is not None and idle_s >= transaction_s:
                held.session.expire()
            is_idle = held.session.transaction is None
            if idle_s >= SESSION_IDLE_S or (self.is_draining and is_idle):
                self.open.pop(session_id, None)
                held.session.close()
                self.context.log.record(
                    EventName.session_expired, now, session_id=session_id
                )


def bearer_key(request: Request) -> str:
    """Returns the key in a request's ``Authorization`` header, or an empty string."""
    scheme, _, key = (request.header("Authorization") or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _problem(message: str, status: int) -> Response:
    headers = [("Retry-After", RETRY_AFTER_S)] if status == UNAVAILABLE else []
    return Response(SessionProblem(message), status, headers)


def _to_statement(message: StatementRequest) -> Statement:
    return Statement(
        message.kind,
        message.request_id,
        message.text,
        message.read_only,
        message.name,
        message.value,
        message.access,
        message.shape,
        message.arguments,
    )


def _to_response(answer: Answer) -> StatementAnswer:
    return StatementAnswer(
        [row.decode(errors="replace") for row in answer.rows],
        answer.signature,
        answer.error,
        answer.detail,
        answer.state,
    )

"""The stand-in's HTTP interface: the target interface and routes for the bench.

Routes for the bench: ``POST /bench/log`` (replication), ``POST /bench/lag``,
``POST /bench/leave``, ``POST /bench/query``, ``GET /bench/counters``.
"""

import time
from collections.abc import Callable

import msgspec

from godwitwheel.internal.loop import sleep, wait_for
from godwitwheel.wire.codec import decode
from godwitwheel.wire.http1 import RequestHead
from godwitwheel.wire.server import Handler, HttpProtocol, Request, Response
from godwitwheel.wire.target import (
    Follow,
    ProblemCode,
    Promote,
    SessionOpened,
    Statement,
    TargetProblem,
    TransactionStep,
)

from .errors import TargetRefusal
from .log import PullLog
from .replication import Replication
from .session import Session
from .state import TargetState

PROTOCOL_KEY = "bench.protocol"


class SetLag(msgspec.Struct, frozen=True):
    """Sets the age at which a replica applies an entry, in milliseconds."""

    lag_ms: int


class Query(msgspec.Struct, frozen=True):
    """Runs a query directly on the store, bypassing sessions and slots."""

    sql: str


class QueryReply(msgspec.Struct, frozen=True):
    """The rows of a query."""

    rows: list[list]


class CountersReply(msgspec.Struct, frozen=True):
    """Counters of the target; see :class:`bench.standin.state.Counters`."""

    statements: int
    sessions: int
    refused_over_cap: int
    most_connections: int
    last_work_after_leaving_s: float


class TargetProtocol(HttpProtocol):
    """A TCP connection and the database session that belongs to it."""

    session: Session | None = None

    def environ_of(self, head: RequestHead, body: bytes) -> dict:
        environ = super().environ_of(head, body)
        environ[PROTOCOL_KEY] = self
        return environ

    def finish(self) -> None:
        if self.session is not None:
            self.session.close()
        super().finish()


class TargetInterface:
    """HTTP handlers of one stand-in.

    :ivar opening: number of sessions that are being opened.
    """

    __slots__ = ("state", "replication", "opening")

    def __init__(self, state: TargetState, replication: Replication):
        self.state = state
        self.replication = replication
        self.opening = 0

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Returns the table of routes."""
        handlers = {
            ("GET", "/v1/status"): self.show_status,
            ("POST", "/v1/session"): self.open_session,
            ("POST", "/v1/statement"): self.run_statement,
            ("POST", "/v1/begin"): self.begin,
            ("POST", "/v1/commit"): self.commit,
            ("POST", "/v1/rollback"): self.roll_back,
            ("POST", "/v1/promote"): self.promote,
            ("POST", "/v1/follow"): self.follow,
            ("POST", "/bench/log"): self.read_log,
            ("POST", "/bench/lag"): self.set_lag,
            ("POST", "/bench/leave"): self.leave,
            ("POST", "/bench/query"): self.query,
            ("GET", "/bench/counters"): self.show_counters,
        }
        return {
            route: _with_refusal_replies(handler) for route, handler in handlers.items()
        }

    def show_status(self, request: Request) -> Response:
        return Response(self.state.status())

    def open_session(self, request: Request) -> Response:
        protocol = request.environ[PROTOCOL_KEY]
        state = self.state
        if protocol.session is not None:
            raise TargetRefusal(ProblemCode.bad_request, "the session is open already")
        if len(state.sessions) + self.opening >= state.settings.connection_cap:
            state.counters.refused_over_cap += 1
            code = ProblemCode.too_many_connections
            raise TargetRefusal(code, "the connection cap is reached", 503)
        self.opening += 1
        try:
            sleep(state.settings.connect_s)
            protocol.session = Session(state)
        finally:
            self.opening -= 1
        self._count_session()
        return Response(SessionOpened(state.term, state.role))

    def run_statement(self, request: Request) -> Response:
        session = _session_of(request)
        statement = decode(request.body, Statement)
        self.state.counters.count_work()
        return Response(session.run(statement))

    def begin(self, request: Request) -> Response:
        session = _session_of(request)
        self.state.counters.count_work()
        return Response(session.begin(decode(request.body, TransactionStep)))

    def commit(self, request: Request) -> Response:
        session = _session_of(request)
        return Response(session.commit(decode(request.body, TransactionStep)))

    def roll_back(self, request: Request) -> Response:
        session = _session_of(request)
        return Response(session.rollback(decode(request.body, TransactionStep)))

    def promote(self, request: Request) -> Response:
        self.replication.promote(decode(request.body, Promote).term)
        return Response(self.state.status())

    def follow(self, request: Request) -> Response:
        self.replication.follow(decode(request.body, Follow))
        return Response(self.state.status())

    def read_log(self, request: Request) -> Response:
        pull = decode(request.body, PullLog)
        page = self.state.page_after(pull)
        if not page.entries and pull.wait_ms:
            wait_for(self.state.appended, pull.wait_ms / 1000)
            page = self.state.page_after(pull)
        return Response(page)

    def set_lag(self, request: Request) -> Response:
        self.state.lag_s = decode(request.body, SetLag).lag_ms / 1000
        return Response(self.state.status())

    def query(self, request: Request) -> Response:
        sql = decode(request.body, Query).sql
        rows = self.state.database.connection.execute(sql).fetchall()
        return Response(QueryReply([list(row) for row in rows]))

    def leave(self, request: Request) -> Response:
        self.start_leaving()
        return Response(self.state.status())

    def start_leaving(self) -> None:
        """Reports in every later status that the target is leaving."""
        if not self.state.leaving:
            self.state.leaving = True
            self.state.counters.left_at = time.monotonic()

    def show_counters(self, request: Request) -> Response:
        counters = self.state.counters
        fields = CountersReply.__struct_fields__
        return Response(CountersReply(*(getattr(counters, name) for name in fields)))

    def _count_session(self) -> None:
        counters = self.state.counters
        counters.sessions += 1
        open_now = len(self.state.sessions)
        counters.most_connections = max(counters.most_connections, open_now)


def _session_of(request: Request) -> Session:
    session = request.environ[PROTOCOL_KEY].session
    if session is None:
        raise TargetRefusal(ProblemCode.no_session, "open a session first")
    return session


def _with_refusal_replies(handler: Handler) -> Callable[[Request], Response]:
    def guarded(request: Request) -> Response:
        try:
            return handler(request)
        except TargetRefusal as refusal:
            problem = TargetProblem(refusal.code, refusal.message, refusal.ran)
            return Response(problem, refusal.status)

    return guarded

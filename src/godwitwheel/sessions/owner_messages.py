"""Messages between a proxy and the owner of a service's connections.

They are arrays rather than objects: one goes each way for every statement, and a proxy
has a narrow link.
"""

import msgspec

from ..directory.records import Consistency, Route
from ..wire.service import Access
from .carrying import PreparedStatement
from .context import SessionState
from .statements import (
    Answer,
    ErrorCode,
    Position,
    Statement,
    StatementKind,
    TransactionState,
)

RUN_PATH = "/v1/sessions/run"
END_PATH = "/v1/sessions/end"


class RoutePart(msgspec.Struct, frozen=True, array_like=True):
    """The route that is in force for a session; see :class:`Route`."""

    database: str
    service: str
    consistency: Consistency
    statement_timeout_ms: int
    latency_objective_ms: int
    priority: int
    max_staleness_ms: int


class PositionPart(msgspec.Struct, frozen=True, array_like=True):
    """A log position."""

    term: int
    number: int


class SessionPart(msgspec.Struct, frozen=True, array_like=True):
    """What the owner has to know of a session.

    :ivar prepared_access: with ``prepared_shape``, the statement to execute.
    :ivar own_position: where the session's last commit is.
    """

    values: dict[str, str] = {}
    prepared_access: Access | None = None
    prepared_shape: str = ""
    own_position: PositionPart | None = None


class RunRequest(msgspec.Struct, frozen=True, array_like=True):
    """Runs one statement.

    :ivar proxy_id: process and session that asks, for the owner's log.
    :ivar handle: transaction that the statement belongs to; empty if it is to be
        opened with this statement.
    :ivar in_transaction: whether the statement belongs to a transaction.
    """

    proxy_id: str
    route: RoutePart
    kind: StatementKind
    request_id: str
    text: str
    session: SessionPart = SessionPart()
    name: str = ""
    arguments: str = ""
    in_transaction: bool = False
    read_only: bool = False
    handle: str = ""


class RunReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a statement.

    :ivar handle: the open transaction; empty once it has ended.
    :ivar own_position: where the session's last commit is now.
    """

    rows: list[bytes] = []
    signature: str = ""
    error: ErrorCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.idle
    position: PositionPart | None = None
    handle: str = ""
    own_position: PositionPart | None = None


class EndRequest(msgspec.Struct, frozen=True):
    """Ends a transaction without keeping anything."""

    handle: str


class Ended(msgspec.Struct, frozen=True):
    """Tells that the transaction has ended."""


def route_part(route: Route) -> RoutePart:
    """Returns a route as it is sent."""
    return RoutePart(*msgspec.structs.astuple(route))


def route_of(part: RoutePart) -> Route:
    """Returns a route that was sent."""
    return Route(*msgspec.structs.astuple(part))


def position_part(position: Position | None) -> PositionPart | None:
    """Returns a position as it is sent."""
    if position is None:
        return None
    return PositionPart(position.term, position.number)


def position_of(part: PositionPart | None) -> Position | None:
    """Returns a position that was sent."""
    return Position(part.term, part.number) if part is not None else None


def session_part(state: SessionState, route: Route, statement: Statement):
    """Returns what a statement needs of its session."""
    prepared = None
    if statement.kind is StatementKind.execute:
        prepared = state.prepared_by(statement)
    return SessionPart(
        state.values,
        prepared.access if prepared is not None else None,
        prepared.shape if prepared is not None else "",
        position_part(state.own_positions.get(route.service)),
    )


def restore_session(state: SessionState, request: RunRequest) -> None:
    """Brings the owner's copy of a session up to a request."""
    part = request.session
    state.values = dict(part.values)
    if part.prepared_access is not None:
        prepared = PreparedStatement(part.prepared_access, part.prepared_shape)
        state.prepared[request.name] = prepared
    state.note_commit(request.route.service, position_of(part.own_position))


def statement_of(request: RunRequest) -> Statement:
    """Returns the statement of a request."""
    return Statement(
        request.kind,
        request.request_id,
        request.text,
        name=request.name,
        arguments=request.arguments,
    )


def reply_with(answer: Answer, handle: str, own: Position | None) -> RunReply:
    """Returns an answer as it is sent."""
    return RunReply(
        answer.rows,
        answer.signature,
        answer.error,
        answer.detail,
        answer.state,
        position_part(answer.position),
        handle,
        position_part(own),
    )


def answer_of(reply: RunReply) -> Answer:
    """Returns an answer that was sent."""
    return Answer(
        list(reply.rows),
        reply.signature,
        reply.error,
        reply.detail,
        reply.state,
        position_of(reply.position),
    )

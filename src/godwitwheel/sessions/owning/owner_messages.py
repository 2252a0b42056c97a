"""Messages between a proxy and the owner of a service's connections.

Messages are encoded as arrays rather than objects to keep them small: every statement
takes one in each direction, and a proxy's link is narrow.
"""

import msgspec

from ...directory.records import Consistency, Route
from ...wire.numbers import Count
from ...wire.service import Access
from ..connections.carrying import PreparedStatement
from ..context import SessionState
from ..statements import (
    Answer,
    ErrorCode,
    Position,
    Statement,
    StatementKind,
    TransactionState,
)

RUN_PATH = "/v1/sessions/run"
END_PATH = "/v1/sessions/end"
WITHDRAW_PATH = "/v1/sessions/withdraw"


class RoutePart(msgspec.Struct, frozen=True, array_like=True):
    """The active route of a session; see :class:`Route`."""

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
    """The part of a session's state that the owner needs for a statement.

    :ivar values: session values by name.
    :ivar prepared_access: with ``prepared_shape``, the prepared statement to execute.
    :ivar own_position: log position of the session's last commit.
    """

    values: dict[str, str] = {}
    prepared_access: Access | None = None
    prepared_shape: str = ""
    own_position: PositionPart | None = None


class RunRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to run one statement.

    :ivar proxy_id: ids of the requesting process and session; a
        :class:`WithdrawRequest` names the statement by them.
    :ivar account: client account that the statement runs for, or ``NO_ACCOUNT``.
    :ivar handle: transaction that the statement belongs to; empty to open one with
        this statement.
    :ivar in_transaction: whether the statement belongs to a transaction.
    :ivar view_version: version of the view by which the proxy chose the owner.
    """

    proxy_id: str
    route: RoutePart
    kind: StatementKind
    request_id: str
    text: str
    account: str
    session: SessionPart = SessionPart()
    name: str = ""
    arguments: str = ""
    in_transaction: bool = False
    read_only: bool = False
    handle: str = ""
    view_version: Count = 0


class NotOwner(msgspec.Struct, frozen=True):
    """Reply to a :class:`RunRequest` for a service that the process doesn't own.

    Nothing ran.
    """


class StatementReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a statement that no rate limit has refused.

    :ivar rows: the rows' bytes as characters of Latin-1; JSON has no bytes, and Base64
        would lengthen them by a third.
    :ivar handle: handle of the open transaction; empty once it has ended.
    :ivar own_position: log position of the session's last commit.
    """

    rows: list[str] = []
    signature: str = ""
    error: ErrorCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.idle
    position: PositionPart | None = None
    handle: str = ""
    own_position: PositionPart | None = None


class RunReply(StatementReply, frozen=True, array_like=True):
    """The answer to a statement.

    :ivar account_retry_ms: time until the account's rate limit admits an operation at
        this owner, if the limit refused this one; else 0. In milliseconds.
    """

    account_retry_ms: Count = 0


class EndRequest(msgspec.Struct, frozen=True):
    """Request to roll back a transaction."""

    handle: str


class WithdrawRequest(msgspec.Struct, frozen=True):
    """Request to withdraw a session's queued statement, because its caller has left.

    :ivar proxy_id: that of the session's :class:`RunRequest`.
    """

    proxy_id: str


class Ended(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply to :class:`EndRequest` and :class:`WithdrawRequest`.

    :ivar is_isolated: whether the owner reaches neither control nor most of the
        primaries of its services.
    """

    is_isolated: bool = False


def route_part(route: Route) -> RoutePart:
    """Converts a route to its wire form."""
    fields = RoutePart.__struct_fields__
    return RoutePart(*(getattr(route, name) for name in fields))


def route_of(part: RoutePart) -> Route:
    """Converts a route from its wire form."""
    return Route(*msgspec.structs.astuple(part))


def position_part(position: Position | None) -> PositionPart | None:
    """Converts a position to its wire form."""
    if position is None:
        return None
    return PositionPart(position.term, position.number)


def position_of(part: PositionPart | None) -> Position | None:
    """Converts a position from its wire form."""
    return Position(part.term, part.number) if part is not None else None


def session_part(state: SessionState, route: Route, statement: Statement):
    """Returns the session state that a statement needs, in its wire form."""
    prepared = None
    if statement.kind is StatementKind.execute:
        prepared = state.find_prepared(statement)
    return SessionPart(
        state.values,
        prepared.access if prepared is not None else None,
        prepared.shape if prepared is not None else "",
        position_part(state.own_positions.get(route.service)),
    )


def restore_session(state: SessionState, request: RunRequest) -> None:
    """Updates the owner's copy of a session from a request."""
    part = request.session
    state.account = request.account
    state.values = dict(part.values)
    if part.prepared_access is not None:
        prepared = PreparedStatement(part.prepared_access, part.prepared_shape)
        state.prepared[request.name] = prepared
    state.record_commit(request.route.service, position_of(part.own_position))


def statement_of(request: RunRequest) -> Statement:
    """Returns the statement of a request."""
    return Statement(
        request.kind,
        request.request_id,
        request.text,
        name=request.name,
        arguments=request.arguments,
    )


def reply_with(answer: Answer, handle: str, own: Position | None) -> StatementReply:
    """Converts an answer to its wire form.

    Arrays hold every field, so only the refusals by a rate limit are sent as
    :class:`RunReply`.

    :param handle: handle of the open transaction, or empty.
    :param own: log position of the session's last commit.
    """
    reply = StatementReply(
        [row.decode("latin-1") for row in answer.rows],
        answer.signature,
        answer.error,
        answer.detail,
        answer.state,
        position_part(answer.position),
        handle,
        position_part(own),
    )
    if not answer.account_retry_ms:
        return reply
    return RunReply(*msgspec.structs.astuple(reply), answer.account_retry_ms)


def answer_of(reply: RunReply) -> Answer:
    """Converts an answer from its wire form."""
    answer = Answer(
        [row.encode("latin-1") for row in reply.rows],
        reply.signature,
        reply.error,
        reply.detail,
        reply.state,
        position_of(reply.position),
    )
    answer.account_retry_ms = reply.account_retry_ms
    return answer

"""Statements of callers, and the answers to them."""

import enum

from ..wire.service import Access


class StatementKind(enum.Enum):
    """The operation that a statement requests."""

    begin = "begin"
    commit = "commit"
    rollback = "rollback"
    read = "read"
    write = "write"
    set_value = "set_value"
    prepare = "prepare"
    execute = "execute"
    deallocate = "deallocate"


class Statement:
    """One statement of a caller.

    :ivar request_id: the caller's id, unique for each statement.
    :ivar text: the statement as the caller wrote it.
    :ivar read_only: for ``begin``, whether the transaction only reads.
    :ivar name: name of a session value or prepared statement, or empty.
    :ivar value: for ``set_value``, the value.
    :ivar access: for ``prepare``, whether the prepared statement reads or writes.
    :ivar shape: for ``prepare``, the description of the statement; it is passed on to
        targets unchanged.
    :ivar arguments: for ``execute``, the text that follows the name.
    """

    __slots__ = (
        "kind",
        "request_id",
        "text",
        "read_only",
        "name",
        "value",
        "access",
        "shape",
        "arguments",
    )

    def __init__(
        self,
        kind: StatementKind,
        request_id: str,
        text: str,
        read_only: bool = False,
        name: str = "",
        value: str = "",
        access: Access = Access.read,
        shape: str = "",
        arguments: str = "",
    ):
        self.kind = kind
        self.request_id = request_id
        self.text = text
        self.read_only = read_only
        self.name = name
        self.value = value
        self.access = access
        self.shape = shape
        self.arguments = arguments


class Position:
    """A position in a service's log, ordered by term and then by number."""

    __slots__ = ("term", "number")

    def __init__(self, term: int, number: int):
        self.term = term
        self.number = number

    def key(self) -> tuple[int, int]:
        """Returns the sort key of a position."""
        return (self.term, self.number)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Position) and self.key() == other.key()

    def __lt__(self, other: "Position") -> bool:
        return self.key() < other.key()

    def __hash__(self) -> int:
        return hash(self.key())

    def __repr__(self) -> str:
        return f"{self.term}.{self.number}"


def later_of(first: Position | None, second: Position | None) -> Position | None:
    """Returns the later of two positions, either of which may be missing."""
    if first is None or second is None:
        return first or second
    return max(first, second)


class TransactionState(enum.Enum):
    """The state of a session's transaction after an answer."""

    idle = "idle"
    open = "open"
    failed = "failed"


class ErrorCode(enum.Enum):
    """Why a statement failed.

    ``in_doubt`` means that a write or commit was sent and not answered, so that its
    outcome is unknown; ``unauthorized`` that the caller's key names no account, and
    nothing has run.
    """

    overloaded = "overloaded"
    aborted = "aborted"
    lagging = "lagging"
    read_only = "read_only"
    wrong_target = "wrong_target"
    too_many_connections = "too_many_connections"
    failed = "failed"
    unknown_statement = "unknown_statement"
    timed_out = "timed_out"
    in_doubt = "in_doubt"
    malformed = "malformed"
    unknown_database = "unknown_database"
    unauthorized = "unauthorized"
    too_large = "too_large"


# A target that answers with one of these has not run the statement.
NOT_RUN_CODES = frozenset(
    {
        ErrorCode.overloaded,
        ErrorCode.lagging,
        ErrorCode.read_only,
        ErrorCode.unknown_statement,
    }
)


class Answer:
    """The complete answer to one statement.

    :ivar rows: rows as the target sent them.
    :ivar signature: signature of the target that ran it; empty if none did.
    :ivar error: ``None`` for success.
    :ivar state: transaction state of the session or connection after the answer.
    :ivar position: log position of the target, if it reported one.
    :ivar account_retry_ms: time until the account's rate limit admits an operation, if
        the limit refused this one; else 0. In milliseconds.
    """

    __slots__ = (
        "rows",
        "signature",
        "error",
        "detail",
        "state",
        "position",
        "account_retry_ms",
    )

    def __init__(
        self,
        rows: list[bytes] | None = None,
        signature: str = "",
        error: ErrorCode | None = None,
        detail: str = "",
        state: TransactionState = TransactionState.idle,
        position: Position | None = None,
    ):
        self.rows = rows or []
        self.signature = signature
        self.error = error
        self.detail = detail
        self.state = state
        self.position = position
        self.account_retry_ms = 0

    def was_not_run(self) -> bool:
        """Whether the target reports that it has not run the statement."""
        return self.error in NOT_RUN_CODES


def error_answer(
    code: ErrorCode, detail: str, state: TransactionState = TransactionState.idle
) -> Answer:
    """Returns an error answer that comes from this proxy rather than a target."""
    return Answer(error=code, detail=detail, state=state)

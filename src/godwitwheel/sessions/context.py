"""The state of one session, and the context shared by all sessions of a proxy."""

from ..directory.records import NO_ACCOUNT, Route
from ..wire.errors import BadMessage
from ..wire.service import Access
from .board import SessionBoard
from .connections.carrying import PreparedStatement
from .errors import InvalidStatement
from .events import StatementLog
from .metrics import SessionMetrics
from .queueing.presence import CallerPresence
from .statements import Position, Statement, StatementKind, later_of


class SessionState:
    """State that is kept until the session ends.

    :ivar values: session values by name.
    :ivar prepared: prepared statements, by their names in the session.
    :ivar stored_chars: length of all its values and of the shapes of its prepared
        statements, with their names.
    :ivar own_positions: log position of the session's last commit, by service.
    :ivar key_digest: digest of the caller's key; empty if it gave none.
    :ivar account: client account of the current statement or transaction, or
        :data:`NO_ACCOUNT`.
    :ivar presence: whether the session's caller is still connected.
    """

    __slots__ = (
        "session_id",
        "database",
        "values",
        "prepared",
        "stored_chars",
        "own_positions",
        "key_digest",
        "account",
        "presence",
    )

    def __init__(self, session_id: str, database: str, key_digest: str = ""):
        self.session_id = session_id
        self.database = database
        self.key_digest = key_digest
        self.account = NO_ACCOUNT
        self.presence = CallerPresence()
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.stored_chars = 0
        self.own_positions: dict[str, Position] = {}

    def record_commit(self, service: str, position: Position | None) -> None:
        """Records a commit position that the session's next reads must reflect."""
        latest = later_of(self.own_positions.get(service), position)
        if latest is not None:
            self.own_positions[service] = latest

    def find_prepared(self, statement: Statement) -> PreparedStatement | None:
        """Returns the prepared statement that a statement names, if there is one."""
        return self.prepared.get(statement.name)

    def access_of(self, statement: Statement) -> Access:
        """Returns whether a statement reads or writes."""
        if statement.kind is StatementKind.write:
            return Access.write
        prepared = self.find_prepared(statement)
        if statement.kind is StatementKind.execute and prepared is not None:
            return prepared.access
        return Access.read


class SessionContext:
    """State, log and metrics that all sessions of a proxy share."""

    __slots__ = ("board", "log", "metrics")

    def __init__(self, board: SessionBoard, log: StatementLog, metrics: SessionMetrics):
        self.board = board
        self.log = log
        self.metrics = metrics
        metrics.pool_counts = board.pool_counts

    def now(self) -> float:
        """Returns the current time of the proxy's clock."""
        return self.board.clock.now()

    def route(self, database: str) -> Route | None:
        """Returns the active route of a database."""
        return self.board.view.table.routes.get(database)

    def check_statement(self, statement: Statement) -> None:
        """Checks a statement that came over HTTP, from a caller or a proxy.

        :raises BadMessage: if a target could not be sent it as the one statement that
            it is; nothing ran.
        """
        try:
            self.board.connector.check_statement(statement)
        except InvalidStatement as error:
            raise BadMessage(f"not run: {error}") from error

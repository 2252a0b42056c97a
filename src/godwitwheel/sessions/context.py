"""What one session has set up, and what all sessions of a proxy share."""

import secrets

from ..directory.records import Route
from ..wire.service import Access
from .board import SessionBoard
from .carrying import PreparedStatement
from .events import StatementLog
from .metrics import SessionMetrics
from .statements import Position, Statement, StatementKind, later_of

RUN_ID_BYTES = 4


def new_run_id() -> str:
    """Returns an id of this run of the process.

    It begins the ids that the process gives out, so that none of an earlier run names
    anything.
    """
    return secrets.token_hex(RUN_ID_BYTES)


class SessionState:
    """What a session has set up; it lasts as long as the session.

    :ivar values: session values by name.
    :ivar prepared: prepared statements by the session's name.
    :ivar own_positions: by service, where the session's last commit is.
    """

    __slots__ = ("session_id", "database", "values", "prepared", "own_positions")

    def __init__(self, session_id: str, database: str):
        self.session_id = session_id
        self.database = database
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.own_positions: dict[str, Position] = {}

    def note_commit(self, service: str, position: Position | None) -> None:
        """Remembers a position that the session's next reads must see."""
        latest = later_of(self.own_positions.get(service), position)
        if latest is not None:
            self.own_positions[service] = latest

    def prepared_by(self, statement: Statement) -> PreparedStatement | None:
        """Returns what an ``execute`` means."""
        return self.prepared.get(statement.name)

    def access_of(self, statement: Statement) -> Access:
        """Returns whether a statement may change data."""
        if statement.kind is StatementKind.write:
            return Access.write
        prepared = self.prepared_by(statement)
        if statement.kind is StatementKind.execute and prepared is not None:
            return prepared.access
        return Access.read


class SessionContext:
    """What all sessions of a proxy share."""

    __slots__ = ("board", "log", "metrics")

    def __init__(self, board: SessionBoard, log: StatementLog, metrics: SessionMetrics):
        self.board = board
        self.log = log
        self.metrics = metrics

    def now(self) -> float:
        """Returns the present time of the proxy's clock."""
        return self.board.clock.now()

    def route(self, database: str) -> Route | None:
        """Returns the route in force for a database."""
        return self.board.view.table.routes.get(database)

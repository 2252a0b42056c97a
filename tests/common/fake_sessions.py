"""An in-memory group of targets for sessions, without sockets and with a manual clock.

Targets follow the rules that sessions rely on: a read-write transaction runs only at
the primary and is refused once that is no longer the primary, a closed connection rolls
back, and each answer holds the log position.
"""

import msgspec

from godwitwheel.accounts.authority import LeasedKeys
from godwitwheel.accounts.keys import digest_of
from godwitwheel.directory.records import (
    AccountPolicy,
    Consistency,
    DirectoryView,
    Route,
    RoutingTable,
    ServicePolicy,
    TargetEntry,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.connections.connection import (
    AskStatus,
    Begin,
    Connector,
    DatabaseConnection,
    Discard,
    PauseReceiving,
    Prepare,
    ReplicaStatus,
    ResumeReceiving,
    Rollback,
    Run,
    SetValue,
    StepDown,
)
from godwitwheel.sessions.context import SessionContext, SessionState
from godwitwheel.sessions.errors import (
    ConnectFailed,
    ConnectionLost,
    SessionsError,
    TooManyConnections,
)
from godwitwheel.sessions.events import StatementLog
from godwitwheel.sessions.metrics import SessionMetrics
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.session import Session
from godwitwheel.sessions.statements import (
    Answer,
    ErrorCode,
    Position,
    Statement,
    StatementKind,
    TransactionState,
)
from godwitwheel.wire.service import Access

SERVICE = "bookings"


class Commit:
    """One committed write."""

    __slots__ = ("request_id", "position")

    def __init__(self, request_id: str, position: Position):
        self.request_id = request_id
        self.position = position


# Bound on withdrawals of keys of a group with client accounts, in seconds.
WITHDRAWAL_BOUND_S = 5.0


class FakeTarget:
    """One target.

    :ivar log: commits that it holds, in order.
    :ivar is_unresponsive: whether it leaves all requests unanswered.
    :ivar refuses: whether it refuses new connections.
    :ivar lost_answers: number of its next answers to ``Run`` that are lost.
    :ivar busy_answers: number of its next ``Run`` commands that are refused as
        overloaded.
    :ivar opened: number of connections opened so far.
    :ivar asked: number of ``Run`` commands received, whether it ran them or not.
    :ivar ran: all statements that it has run.
    """

    def __init__(self, group: "FakeGroup", target_id: str):
        self.group = group
        self.target_id = target_id
        self.log: list[Commit] = []
        self.is_unresponsive = False
        self.refuses = False
        self.lost_answers = 0
        self.busy_answers = 0
        self.max_connections = 100
        self.connections: list[FakeConnection] = []
        self.opened = 0
        self.asked = 0
        self.ran: list[FakeRun] = []

    def is_primary(self) -> bool:
        return self.group.primary is self

    def position(self) -> Position:
        return self.log[-1].position if self.log else Position(1, 0)


class FakeRun:
    """A statement that ran, with the state of its connection at that time."""

    def __init__(self, connection: "FakeConnection", command: Run):
        self.connection = connection
        self.request_id = command.statement.request_id
        self.values = dict(connection.values)
        self.transaction = connection.transaction
        self.shape = connection.prepared.get(command.prepared_name)


class FakeConnection(DatabaseConnection):
    """A connection.

    :ivar account: client account that it was opened for.
    :ivar transaction: number of its open transaction in the group, or 0.
    :ivar pending: request ids of the open transaction's writes.
    """

    def __init__(self, target: FakeTarget, account: str):
        self.target = target
        self.account = account
        self.is_open = True
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[Access, str]] = {}
        self.transaction = 0
        self.read_only = False
        self.has_failed = False
        self.pending: list[str] = []

    def exchange(self, commands, timeout_s):
        answers = []
        for command in commands:
            if self.target.is_unresponsive or not self.is_open:
                self.close()
                self.target.group.clock.advance(timeout_s)
                raise ConnectionLost("silent", answers, timed_out=True)
            answer = self._answer(command)
            if isinstance(command, Run) and self.target.lost_answers:
                self.target.lost_answers -= 1
                self.close()
                raise ConnectionLost("closed", answers)
            answer.state = self._state()
            answer.position = self.target.position()
            answers.append(answer)
        return answers

    def is_usable(self):
        return self.is_open

    def reset_on_close(self):
        pass

    def close(self):
        self.is_open = False
        self.transaction = 0
        if self in self.target.connections:
            self.target.connections.remove(self)

    def _state(self):
        if not self.transaction:
            return TransactionState.idle
        if self.has_failed:
            return TransactionState.failed
        return TransactionState.open

    def _answer(self, command):
        match command:
            case Begin():
                return self._begin(command)
            case Rollback():
                self.transaction = 0
                return Answer()
            case SetValue():
                self.values[command.name] = command.value
                return Answer()
            case Prepare():
                self.prepared[command.name] = (command.access, command.shape)
                return Answer()
            case Discard():
                self.values.clear()
                self.prepared.clear()
                return Answer()
            case AskStatus() | PauseReceiving() | ResumeReceiving() | StepDown():
                return Answer(rows=[self.target.target_id.encode()])
            case Run():
                return self._run(command)
        raise TypeError(command)

    def _begin(self, command):
        if command.floor is not None and self.target.position() < command.floor:
            return Answer(error=ErrorCode.lagging)
        if not command.read_only and not self.target.is_primary():
            return Answer(error=ErrorCode.read_only)
        self.target.group.transactions += 1
        self.transaction = self.target.group.transactions
        self.read_only = command.read_only
        self.has_failed = False
        self.pending = []
        return Answer()

    def _run(self, command):
        self.target.asked += 1
        statement = command.statement
        if self.target.busy_answers:
            self.target.busy_answers -= 1
            return Answer(error=ErrorCode.overloaded)
        if statement.kind is StatementKind.commit:
            return self._commit(statement)
        if command.floor is not None and self.target.position() < command.floor:
            return Answer(error=ErrorCode.lagging)
        is_write = statement.kind is StatementKind.write
        if statement.kind is StatementKind.execute:
            prepared = self.prepared.get(command.prepared_name)
            if prepared is None:
                return Answer(error=ErrorCode.unknown_statement)
            is_write = prepared[0] is Access.write
        is_read_write = self.transaction and not self.read_only
        if (is_write or is_read_write) and not self.target.is_primary():
            self.has_failed = bool(self.transaction)
            return Answer(error=ErrorCode.read_only)
        self.target.ran.append(FakeRun(self, command))
        if is_write and self.transaction:
            self.pending.append(statement.request_id)
        elif is_write:
            self.target.group.commit(statement.request_id)
        row = ",".join(c.request_id for c in self.target.log).encode()
        return Answer(rows=[row], signature=f"sig-{statement.request_id}")

    def _commit(self, statement):
        if not self.transaction:
            return Answer(error=ErrorCode.malformed)
        pending, self.pending = self.pending, []
        self.transaction = 0
        if pending and not self.target.is_primary():
            return Answer(error=ErrorCode.read_only)
        for request_id in pending:
            self.target.group.commit(request_id)
        return Answer(signature=f"sig-{statement.request_id}")


class FakeGroup(Connector):
    """Three targets of one service, and the board of a proxy that uses them."""

    def __init__(self, max_connections: int = 32):
        self.clock = ManualClock(1000.0)
        self.transactions = 0
        self.term = 1
        self.number = 0
        names = ["t1", "t2", "t3"]
        self.targets = {name: FakeTarget(self, name) for name in names}
        self.primary = self.targets["t1"]
        self.board = SessionBoard(self.clock, self, "dc-1")
        self.context = SessionContext(
            self.board, StatementLog(0, 0), SessionMetrics("p1")
        )
        self.board.apply_view(self.view(1, max_connections))

    def view(self, version: int, max_connections: int = 32) -> DirectoryView:
        routes = {
            each.value: Route(each.value, SERVICE, each, 800, 200, 1, 1500)
            for each in Consistency
        }
        entries = {
            name: TargetEntry(name, SERVICE, f"10.0.0.{i}:1", f"dc-{i}", 2, 0)
            for i, name in enumerate(self.targets, 1)
        }
        services = {SERVICE: ServicePolicy(SERVICE, max_connections)}
        table = RoutingTable(version, routes, services)
        primaries = {SERVICE: self.primary.target_id}
        return DirectoryView(version, table, entries, primaries)

    def connect(self, target, account, timeout_s):
        fake = self.targets[target.target_id]
        if fake.refuses or fake.is_unresponsive:
            self.clock.advance(timeout_s if fake.is_unresponsive else 0.0)
            raise ConnectFailed("no answer")
        if len(fake.connections) >= fake.max_connections:
            raise TooManyConnections("full", refused=True)
        connection = FakeConnection(fake, account)
        fake.connections.append(connection)
        fake.opened += 1
        return connection

    def check_statement(self, statement):
        pass

    def read_status(self, answer):
        if not answer.rows:
            raise SessionsError("no status")
        fake = self.targets[answer.rows[0].decode()]
        return ReplicaStatus(fake.is_primary(), self.term, fake.position())

    def commit(self, request_id: str) -> None:
        """Appends a commit to the log of the primary only."""
        self.number += 1
        position = Position(self.term, self.number)
        self.primary.log.append(Commit(request_id, position))

    def replicate(self, target_id: str) -> None:
        """Copies the primary's log to a replica."""
        self.targets[target_id].log = list(self.primary.log)

    def replicate_all(self) -> None:
        for name in self.targets:
            self.replicate(name)

    def promote(self, target_id: str) -> None:
        """Makes a target the primary; commits that its log does not hold are lost."""
        self.term += 1
        self.primary = self.targets[target_id]
        self.number = self.primary.position().number
        for target in self.targets.values():
            held = {commit.request_id for commit in self.primary.log}
            target.log = [c for c in target.log if c.request_id in held]

    def session(self, database: str) -> Session:
        runners = RunnerSelector(self.context)
        return Session(self.context, runners, SessionState("s1", database))

    def runs(self) -> list[FakeRun]:
        return [run for target in self.targets.values() for run in target.ran]


class KeyedGroup(FakeGroup):
    """A group whose routes need a key, at a proxy under a lease on its keys."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.board.key_authority = LeasedKeys(WITHDRAWAL_BOUND_S)
        self.publish({"ferry": ["k1", "k2"], "school": ["k3"]})

    def publish(self, keys):
        """Puts a table with these keys by account in force, and confirms it."""
        self.version += 1
        view = self.view(self.version)
        routes = {
            name: msgspec.structs.replace(route, public=False)
            for name, route in view.table.routes.items()
        }
        accounts = {
            name: AccountPolicy(name, [digest_of(key) for key in held])
            for name, held in keys.items()
        }
        table = msgspec.structs.replace(view.table, routes=routes, accounts=accounts)
        self.board.apply_view(msgspec.structs.replace(view, table=table))
        self.board.key_authority.renew(self.clock.now())

    def keyed_session(self, key, database="primary"):
        state = SessionState("s1", database, digest_of(key))
        return Session(self.context, RunnerSelector(self.context), state)

    def accounts_told(self):
        return [
            connection.account
            for target in self.targets.values()
            for connection in target.connections
        ]


def begin(request_id: str, read_only: bool = False) -> Statement:
    return Statement(StatementKind.begin, request_id, "BEGIN", read_only=read_only)


def commit(request_id: str) -> Statement:
    return Statement(StatementKind.commit, request_id, "COMMIT")


def rollback(request_id: str) -> Statement:
    return Statement(StatementKind.rollback, request_id, "ROLLBACK")


def read(request_id: str) -> Statement:
    return Statement(StatementKind.read, request_id, "READ x")


def write(request_id: str) -> Statement:
    return Statement(StatementKind.write, request_id, "WRITE x y")


def set_value(name: str, value: str) -> Statement:
    return Statement(StatementKind.set_value, "-", "SET", name=name, value=value)


def prepare(name: str, access: Access, shape: str) -> Statement:
    return Statement(
        StatementKind.prepare, "-", "PREPARE", name=name, access=access, shape=shape
    )


def execute(request_id: str, name: str) -> Statement:
    return Statement(
        StatementKind.execute, request_id, "EXECUTE", name=name, arguments="x"
    )

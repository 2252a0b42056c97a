"""Groups of targets that replicate their commits, behind the line protocol."""

import contextlib
import random
import time

from fleet.lines import ProtocolViolation, parse_position, parse_statement
from fleet.targets import OWN_NAME
from godwitwheel.internal.loop import Semaphore, sleep
from godwitwheel.sessions.connections.connection import (
    AskStatus,
    Begin,
    Command,
    Discard,
    PauseReceiving,
    Prepare,
    ResumeReceiving,
    Rollback,
    Run,
    SetValue,
    StepDown,
)
from godwitwheel.sessions.statements import (
    Answer,
    ErrorCode,
    Position,
    StatementKind,
    error_answer,
)
from godwitwheel.wire.streams import Stream
from tests.common.fake_sessions import Commit, FakeConnection, FakeTarget
from tests.common.framing import MessageReader

from .messages import encode_answer
from .promises import PromiseChecker

SLOTS = 4
MAX_CONNECTIONS = 24
CONNECT_DELAY_S = 0.012
STATEMENT_DURATION_S = (0.001, 0.012)
REPLICATION_INTERVAL_S = 0.01
DEFAULT_LAG_S = 0.02
PROMOTION_DELAY_S = 0.3


class SoakTarget(FakeTarget):
    """A target that runs up to ``SLOTS`` statements at once.

    :ivar address: where proxies reach it, through the relay.
    :ivar lag_s: replication lag behind the primary, in seconds.
    :ivar answer_loss_rate: share of its answers that are lost with their connection.
    :ivar leaving: its heartbeats state that it is draining.
    :ivar started_at_ms: Unix time of its start.
    :ivar paused_below: term below which it receives nothing, 0 if it isn't paused.
    :ivar has_stepped_down: whether it was the primary and was told to step down.
    """

    def __init__(
        self, group: "SoakGroup", target_id: str, address: str, data_centre: str
    ):
        super().__init__(group, target_id)
        self.address = address
        self.data_centre = data_centre
        self.lag_s = DEFAULT_LAG_S
        self.answer_loss_rate = 0.0
        self.leaving = False
        self.started_at_ms = int(time.time() * 1000)
        self.paused_below = 0
        self.has_stepped_down = False
        self.sequence = 0
        self.slots = Semaphore(SLOTS)
        self.max_connections = MAX_CONNECTIONS
        self.streams: list[Stream] = []

    def is_primary(self) -> bool:
        return super().is_primary() and not self.has_stepped_down

    def serve(self, stream: Stream) -> None:
        """Serves one connection of a proxy."""
        self.streams.append(stream)
        connection = SoakConnection(self, "")
        try:
            reader = MessageReader(stream)
            start = reader.read(5.0).split(" ")
            if start[:2] != ["START", self.group.service] or start[3:4] not in (
                [],
                [self.target_id],
            ):
                stream.write(b"ERROR WRONGNODE -\r\n", 1.0)
                return
            if len(self.connections) >= self.max_connections:
                stream.write(b"ERROR TOOMANY -\r\n", 1.0)
                return
            connection.account = "" if start[2] == OWN_NAME else start[2]
            self.connections.append(connection)
            sleep(CONNECT_DELAY_S)
            self._wait_while_unresponsive()
            stream.write(f"READY I {self.position()!r}\r\n".encode(), 1.0)
            self._serve_queries(reader, connection)
        finally:
            connection.close()
            self.streams.remove(stream)

    def _serve_queries(
        self, reader: MessageReader, connection: "SoakConnection"
    ) -> None:
        while True:
            word, _, rest = reader.read(None).partition(" ")
            if word != "QUERY":
                return
            self._wait_while_unresponsive()
            answer = connection.answer(*rest.split(" ", 1))
            if self.group.rng.random() < self.answer_loss_rate:
                return
            self._wait_while_unresponsive()
            reader.stream.write(encode_answer(answer), 5.0)

    def _wait_while_unresponsive(self) -> None:
        while self.is_unresponsive:
            sleep(REPLICATION_INTERVAL_S)

    def crash(self) -> None:
        """Ends every connection."""
        for stream in list(self.streams):
            stream.shut_down()

    def position(self) -> Position:
        number = len(self.log)
        if number >= self.group.term_start:
            return Position(self.group.term, number)
        return self.log[-1].position if self.log else Position(1, 0)

    def contains_write(self, request_id: str) -> bool:
        """Whether its log contains a write.

        Also true for a write that a promotion dropped, which no log contains any more.
        """
        if request_id in self.group.lost_writes:
            return True
        # A write without a number was never committed: that violation is reported when
        # the write is acknowledged.
        return self.group.log_numbers.get(request_id, 0) <= len(self.log)


class SoakConnection(FakeConnection):
    """A connection that passes what runs on it to the promise checker."""

    def answer(self, request_id: str, text: str) -> Answer:
        """Runs a query; returns its answer with transaction state and log position."""
        try:
            command = parse_command(request_id, text)
        except ProtocolViolation as error:
            answer = error_answer(ErrorCode.malformed, str(error))
        else:
            answer = self._answer(command)
        answer.state = self._state()
        answer.position = self.target.position()
        return answer

    def _answer(self, command: Command) -> Answer:
        target = self.target
        match command:
            case PauseReceiving():
                if command.term > target.group.term and not target.is_primary():
                    target.paused_below = command.term
                return Answer(rows=[self._status()])
            case StepDown():
                if command.term > target.group.term and target.is_primary():
                    target.has_stepped_down = True
                return Answer(rows=[self._status()])
            case ResumeReceiving():
                target.paused_below = 0
                return Answer(rows=[self._status()])
            case AskStatus():
                return Answer(rows=[self._status()])
        return super()._answer(command)

    def _status(self) -> bytes:
        target = self.target
        role = "primary" if target.is_primary() else "replica"
        position = repr(target.position())
        lag_ms = round(1000 * target.lag_s)
        count = len(target.connections)
        term = target.group.term
        return f"{role} {term} {position} {term} {lag_ms} 0 {count}".encode()

    def _run(self, command: Run) -> Answer:
        group = self.target.group
        statement = command.statement
        if self.transaction and self.has_failed:
            return error_answer(ErrorCode.malformed, "the transaction failed")
        with self.target.slots:
            sleep(group.rng.uniform(*STATEMENT_DURATION_S))
            # Nothing below yields to the loop, so the statement runs in the state that
            # is checked.
            operation = group.promises.check_run(
                statement.request_id,
                self._text_as_sent(command),
                self,
                self.transaction,
                self.values,
            )
            if operation is not None:
                group.promises.check_account(
                    operation, statement.request_id, self.account
                )
            pending = list(self.pending)
            answer = super()._run(command)
        if answer.error is not None:
            return answer
        if statement.kind is StatementKind.commit:
            group.promises.check_commits(pending, operation)
        elif answer.signature and self._is_write(command):
            if not self.transaction:
                group.promises.check_commits([statement.request_id], operation)
        elif operation is not None:
            group.promises.check_read(
                operation, statement.request_id, self.target.contains_write
            )
        text = self._text_as_sent(command)
        answer.rows = [f"{statement.request_id} {text}".encode()]
        committed = pending if statement.kind is StatementKind.commit else []
        if not self.transaction and not committed and self._is_write(command):
            committed = [statement.request_id]
        if not group.acknowledge(committed):
            return error_answer(ErrorCode.failed, "lost the lead")
        return answer

    def _text_as_sent(self, command: Run) -> str:
        """Returns the statement's text as its caller sent it.

        The proxy gives prepared statements names of its own; callers use the shape as
        the name.
        """
        statement = command.statement
        if statement.kind is not StatementKind.execute:
            return statement.text
        _, shape = self.prepared.get(command.prepared_name, (None, "unknown"))
        return f"EXECUTE {shape} {statement.arguments}"

    def _is_write(self, command: Run) -> bool:
        if command.statement.kind is StatementKind.execute:
            access, _ = self.prepared[command.prepared_name]
            return access.value == "write"
        return command.statement.kind is StatementKind.write


class SoakGroup:
    """The targets of one service.

    :ivar synchronous_replicas: replicas that hold a commit before it is acknowledged.
    :ivar acknowledged: ids of the acknowledged writes of a synchronous service.
    :ivar tokens: holder of each fencing token of an accepted promotion order.
    :ivar log_numbers: number in the log of each write, by id.
    :ivar term_start: number of writes in the log when the current term began.
    :ivar lost_writes: ids of writes that promotions dropped.
    """

    def __init__(
        self,
        service: str,
        promises: PromiseChecker,
        rng: random.Random,
        synchronous_replicas: int = 0,
    ):
        self.service = service
        self.synchronous_replicas = synchronous_replicas
        self.acknowledged: set[str] = set()
        self.promises = promises
        self.rng = rng
        self.clock = None
        self.transactions = 0
        self.term = 1
        self.log_numbers: dict[str, int] = {}
        self.term_start = 0
        self.targets: dict[str, SoakTarget] = {}
        self.primary: SoakTarget | None = None
        self.committed_at: list[float] = []
        self.tokens: dict[int, str] = {}
        self.lost_writes: set[str] = set()

    def add(self, target: SoakTarget) -> None:
        """Adds a target; the first one is the primary."""
        self.targets[target.target_id] = target
        self.primary = self.primary or target

    def commit(self, request_id: str) -> None:
        """Appends a write to the primary's log."""
        number = len(self.primary.log) + 1
        self.log_numbers[request_id] = number
        self.committed_at.append(time.monotonic())
        self.primary.log.append(Commit(request_id, Position(self.term, number)))

    def acknowledge(self, request_ids: list[str]) -> bool:
        """Waits until enough replicas hold what the primary has committed.

        :returns: whether they do; otherwise another target was promoted meanwhile.
        """
        if not request_ids or not self.synchronous_replicas:
            return True
        term, number = self.term, len(self.primary.log)
        while self.term == term:
            holders = sum(
                len(target.log) >= number
                for target in self.targets.values()
                if target is not self.primary
            )
            if holders >= self.synchronous_replicas:
                self.acknowledged.update(request_ids)
                return True
            sleep(REPLICATION_INTERVAL_S)
        return False

    def run_replication(self) -> None:
        """Replicates the primary's log to the replicas, each with its lag."""
        while True:
            sleep(REPLICATION_INTERVAL_S)
            now = time.monotonic()
            for target in self.targets.values():
                if target is not self.primary and target.paused_below <= self.term:
                    self._replicate(target, now)

    def _replicate(self, target: SoakTarget, now: float) -> None:
        source = self.primary.log
        while len(target.log) < len(source):
            number = len(target.log)
            if now - self.committed_at[number] < target.lag_s:
                return
            target.log.append(source[number])

    def handle_promotion_order(self, target_id: str, holder: str, token: int) -> bool:
        """Checks the fencing token of a promotion order, then promotes the target.

        The promotion takes effect after ``PROMOTION_DELAY_S``.

        :returns: whether the order was accepted: its token is not lower than any
            accepted one, and the target is known.
        """
        highest = max(self.tokens, default=-1)
        if token < highest or target_id not in self.targets:
            return False
        if self.tokens.setdefault(token, holder) != holder:
            self.promises.report_violation(
                "ONE", f"{holder} used the token {token} of another holder"
            )
        if self.targets[target_id] is not self.primary:
            sleep(PROMOTION_DELAY_S)
            self._promote(self.targets[target_id])
        return True

    def _promote(self, target: SoakTarget) -> None:
        if target is self.primary:
            return
        kept = len(target.log)
        dropped = [commit.request_id for commit in self.primary.log[kept:]]
        self.lost_writes.update(dropped)
        for request_id in self.acknowledged.intersection(dropped):
            self.promises.report_violation(
                "LOST", f"{request_id} is not in the log of {target.target_id}"
            )
        self.term += 1
        self.term_start = kept
        self.primary = target
        del self.committed_at[kept:]
        for other in self.targets.values():
            other.paused_below = 0
            other.has_stepped_down = False
            del other.log[kept:]


def parse_command(request_id: str, text: str) -> Command:
    """Parses a query as a target does.

    :raises ProtocolViolation: if it is not a valid query.
    """
    floor = None
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        floor = parse_position(position)
    word, _, rest = text.partition(" ")
    match word:
        case "STATUS":
            return AskStatus()
        case "PAUSE":
            return PauseReceiving(int(rest))
        case "STEPDOWN":
            return StepDown(int(rest))
        case "RESUME":
            return ResumeReceiving()
        case "DISCARD":
            return Discard()
    statement = parse_statement(request_id, text)
    match statement.kind:
        case StatementKind.begin:
            return Begin(statement.read_only, floor)
        case StatementKind.rollback:
            return Rollback()
        case StatementKind.set_value:
            return SetValue(statement.name, statement.value)
        case StatementKind.prepare:
            return Prepare(statement.name, statement.access, statement.shape)
    with contextlib.suppress(AttributeError):
        return Run(statement, floor, statement.name)
    raise ProtocolViolation(f"query {text[:40]!r}")

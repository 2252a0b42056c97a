"""Callers that open sessions, run operations and pass the answers to the checker."""

import contextlib
import itertools
import random
import time
from collections.abc import Iterator

from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import sleep
from godwitwheel.sessions.statements import Answer, TransactionState
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.streams import open_stream
from tests.common.framing import MessageReader
from tests.common.texts import draw_text

from .accounts import AccountBook, CallerKey
from .calm import FaultTracker
from .fleet_processes import FRONT_PORT, READINESS_PORT
from .messages import read_answer
from .platform_calls import MAX_STALENESS_MS, database_of
from .promises import Operation, PromiseChecker

# Far above a route's timeout, so a healthy proxy has answered by then.
ANSWER_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
READINESS_INTERVAL_S = 0.5
THINK_TIME_S = (0.0, 0.15)
SESSION_PAUSE_S = (0.0, 0.4)
OPERATIONS_PER_SESSION = (1, 12)
RETRY_DELAY_S = 0.1
SESSION_VALUES = ("1", " 2\n", "3\r\0\u2028")


class LoadBalancer:
    """Tracks which proxies report that they are ready.

    :ivar ready: hosts of these proxies.
    """

    __slots__ = ("hosts", "ready", "client")

    def __init__(self, hosts: list[str]):
        self.hosts = hosts
        self.ready: set[str] = set()
        self.client = Client()

    def run(self, host: str) -> None:
        """Probes one proxy's readiness at regular intervals."""
        while True:
            address = f"{host}:{READINESS_PORT}"
            try:
                status, _ = self.client.exchange(
                    address, "GET", "/api/readiness", b"", CONNECT_TIMEOUT_S
                )
            except WireError:
                status = 0
            if status == 200:
                self.ready.add(host)
            else:
                self.ready.discard(host)
            sleep(READINESS_INTERVAL_S)

    def choose(self, rng: random.Random) -> str:
        """Returns a ready host, or any host if none is ready."""
        return rng.choice(sorted(self.ready) or self.hosts)


class SuccessTimes:
    """Times of the last successful statement for each proxy host and database.

    :ivar last_at: by host and database, in seconds of the monotonic clock.
    """

    __slots__ = ("last_at",)

    def __init__(self):
        self.last_at: dict[tuple[str, str], float] = {}

    def record(self, host: str, database: str) -> None:
        """Records a successful statement."""
        self.last_at[host, database] = time.monotonic()


class Session:
    """One session of a caller, on a connection of its own.

    :ivar values: session values whose SET was acknowledged.
    """

    __slots__ = (
        "reader",
        "host",
        "service",
        "consistency",
        "session_id",
        "caller_key",
        "values",
    )

    def __init__(
        self,
        reader: MessageReader,
        host: str,
        service: str,
        consistency: Consistency,
        session_id: str,
        caller_key: CallerKey,
    ):
        self.reader = reader
        self.host = host
        self.service = service
        self.consistency = consistency
        self.session_id = session_id
        self.caller_key = caller_key
        self.values: dict[str, str] = {}

    def query(self, request_id: str, text: str) -> Answer:
        """Sends a statement and returns its answer.

        :raises WireError: if the session ends or the answer times out.
        """
        message = f"QUERY {request_id} {text}\r\n".encode()
        self.reader.stream.write(message, CONNECT_TIMEOUT_S)
        return read_answer(self.reader, ANSWER_TIMEOUT_S)

    def new_operation(self, is_transaction: bool) -> Operation:
        """Returns a new operation of this session."""
        return Operation(
            self.session_id,
            self.service,
            self.consistency,
            MAX_STALENESS_MS / 1000.0,
            is_transaction,
            self.values,
            self.caller_key,
        )


class Caller:
    """Opens one session after the other.

    :ivar id_numbers: for the ids of sessions and statements, shared by all callers.
    """

    id_numbers = itertools.count(1)

    def __init__(
        self,
        fault_tracker: FaultTracker,
        balancer: LoadBalancer,
        promises: PromiseChecker,
        successes: SuccessTimes,
        services: list[str],
        accounts: AccountBook,
        rng: random.Random,
    ):
        self.accounts = accounts
        self.fault_tracker = fault_tracker
        self.balancer = balancer
        self.promises = promises
        self.successes = successes
        self.services = services
        self.rng = rng

    def run(self) -> None:
        """Runs sessions until the soak ends this task."""
        while True:
            sleep(self.rng.uniform(*SESSION_PAUSE_S))
            try:
                self._run_session()
            except WireError:
                sleep(RETRY_DELAY_S)

    def try_once(self, host: str, service: str, consistency: Consistency) -> None:
        """Runs one statement through a proxy; records a success in ``successes``."""
        with (
            contextlib.suppress(WireError),
            self._open_session(host, service, consistency) as session,
        ):
            if session is not None:
                self._run_single_statement(session)

    def _run_session(self) -> None:
        host = self.balancer.choose(self.rng)
        service = self.rng.choice(self.services)
        consistency = self.rng.choice(list(Consistency))
        with self._open_session(host, service, consistency) as session:
            if session is None:
                return
            for _ in range(self.rng.randint(*OPERATIONS_PER_SESSION)):
                if not self._run_operation(session):
                    return
                sleep(self.rng.uniform(*THINK_TIME_S))

    @contextlib.contextmanager
    def _open_session(
        self, host: str, service: str, consistency: Consistency
    ) -> Iterator[Session | None]:
        """Opens a session for the block; yields ``None`` if the proxy refuses it."""
        stream = open_stream(f"{host}:{FRONT_PORT}", CONNECT_TIMEOUT_S)
        try:
            database = database_of(service, consistency)
            caller_key = self.accounts.choose(self.rng)
            start = f"START {database} {caller_key.key}\r\n"
            stream.write(start.encode(), CONNECT_TIMEOUT_S)
            reader = MessageReader(stream)
            line = reader.read(ANSWER_TIMEOUT_S)
            session_id = f"s{next(self.id_numbers)}"
            session = Session(
                reader, host, service, consistency, session_id, caller_key
            )
            yield session if line.startswith("READY") else None
        finally:
            stream.close()

    def _run_operation(self, session: Session) -> bool:
        """Runs one operation.

        :returns: whether the session can run another operation.
        """
        draw = self.rng.random()
        if draw < 0.1:
            return self._set_value(session)
        if draw < 0.4:
            return self._run_transaction(session)
        return self._run_single_statement(session)

    def _set_value(self, session: Session) -> bool:
        name, value = f"v{self.rng.randint(1, 2)}", self.rng.choice(SESSION_VALUES)
        if session.query("-", f"SET {name} {value}").error is not None:
            return False
        session.values[name] = value
        return True

    def _draw_statement(self, session: Session) -> tuple[str, bool]:
        """Draws a statement; returns its text and whether it writes."""
        draw = self.rng.random()
        writes = draw < 0.3 and session.consistency is not Consistency.bounded_staleness
        item = f"i{self.rng.randint(1, 50)}"
        data = draw_text(self.rng)
        if self.rng.random() < 0.2:
            # The name of a prepared statement is its shape.
            shape = "qw" if writes else "qr"
            access = "WRITE" if writes else "READ"
            answer = session.query("-", f"PREPARE {shape} {access} {shape}")
            if answer.error is None:
                return f"EXECUTE {shape} {item} {data}", writes
        return (f"WRITE {item} {data}" if writes else f"READ {item}"), writes

    def _run_single_statement(self, session: Session) -> bool:
        text, writes = self._draw_statement(session)
        operation = session.new_operation(is_transaction=False)
        request_id, answer = self._send(session, operation, text)
        if writes and answer.error is None:
            self.promises.record_acknowledged_writes(operation, [request_id])
        return answer.state is TransactionState.idle

    def _run_transaction(self, session: Session) -> bool:
        operation = session.new_operation(is_transaction=True)
        reads_only = session.consistency is Consistency.bounded_staleness
        begin = "BEGIN READ" if reads_only else "BEGIN"
        if session.query("-", begin).error is not None:
            return False
        written = []
        for _ in range(self.rng.randint(1, 4)):
            text, writes = self._draw_statement(session)
            request_id, answer = self._send(session, operation, text)
            if answer.error is not None:
                session.query("-", "ROLLBACK")
                return True
            if writes:
                written.append(request_id)
            sleep(self.rng.uniform(*THINK_TIME_S) / 3)
        if self.rng.random() < 0.1:
            # Some callers close the session inside the transaction.
            return False
        if self.rng.random() < 0.15:
            session.query("-", "ROLLBACK")
            return True
        _, answer = self._send(session, operation, "COMMIT")
        if answer.error is None and written:
            self.promises.record_acknowledged_writes(operation, written)
        return answer.state is TransactionState.idle

    def _send(
        self, session: Session, operation: Operation, text: str
    ) -> tuple[str, Answer]:
        request_id = f"q{next(self.id_numbers)}"
        self.promises.record_sent(operation, request_id, text)
        sent_at = time.monotonic()
        try:
            answer = session.query(request_id, text)
        except WireError as error:
            self.fault_tracker.check_unanswered(
                session.host, request_id, sent_at, error
            )
            raise
        self.promises.record_answer(operation, answer.error)
        if answer.error is None:
            self._check_answer(session, request_id, text, answer)
        return request_id, answer

    def _check_answer(
        self, session: Session, request_id: str, text: str, answer: Answer
    ) -> None:
        self.successes.record(
            session.host, database_of(session.service, session.consistency)
        )
        if answer.signature != f"sig-{request_id}":
            self.promises.report_violation(
                "MIXED", f"{request_id} got {answer.signature!r}"
            )
        rows = [row.decode() for row in answer.rows]
        if text != "COMMIT" and rows != [f"{request_id} {text}"]:
            self.promises.report_violation("MIXED", f"{request_id} got the rows {rows}")

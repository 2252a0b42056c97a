"""Callers that hold sessions, run operations and tell the promises what they heard."""

import contextlib
import itertools
import random
import time
from collections.abc import Iterator

from fleet.lines import (
    MAX_MESSAGE_BYTES,
    decode_line,
    read_answer,
)
from godwitwheel.directory.records import Consistency
from godwitwheel.internal.loop import sleep
from godwitwheel.sessions.statements import Answer, TransactionState
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.streams import Stream, open_stream

from .calm import Calm
from .fleet_processes import FRONT_PORT, READY_PORT
from .platform_calls import MAX_STALENESS_MS, database_of
from .promises import Operation, Promises

# Far above a route's timeout: a proxy that is well has answered by then.
ANSWER_LIMIT_S = 4.0
CONNECT_LIMIT_S = 1.0
BALANCER_INTERVAL_S = 0.5
THINK_S = (0.0, 0.15)
REST_S = (0.0, 0.4)
OPERATIONS = (1, 12)
RETRY_DELAY_S = 0.1


class Balancer:
    """Knows which proxies say that they are ready.

    :ivar ready: their hosts.
    """

    __slots__ = ("hosts", "ready", "client")

    def __init__(self, hosts: list[str]):
        self.hosts = hosts
        self.ready: set[str] = set()
        self.client = Client()

    def run(self, host: str) -> None:
        """Asks one proxy at short intervals."""
        while True:
            address = f"{host}:{READY_PORT}"
            try:
                status, _ = self.client.exchange(
                    address, "GET", "/api/readiness", b"", CONNECT_LIMIT_S
                )
            except WireError:
                status = 0
            if status == 200:
                self.ready.add(host)
            else:
                self.ready.discard(host)
            sleep(BALANCER_INTERVAL_S)

    def choose(self, rng: random.Random) -> str:
        """Returns a host; any, if none is ready."""
        return rng.choice(sorted(self.ready) or self.hosts)


class Served:
    """When a database last gave success through a host.

    :ivar at: by host and database, in seconds of the monotonic clock.
    """

    __slots__ = ("at",)

    def __init__(self):
        self.at: dict[tuple[str, str], float] = {}

    def note(self, host: str, database: str) -> None:
        """Takes in a success."""
        self.at[host, database] = time.monotonic()


class Session:
    """One connection of a caller."""

    __slots__ = ("stream", "host", "service", "consistency", "session_id", "values")

    def __init__(
        self,
        stream: Stream,
        host: str,
        service: str,
        consistency: Consistency,
        session_id: str,
    ):
        self.stream = stream
        self.host = host
        self.service = service
        self.consistency = consistency
        self.session_id = session_id
        self.values: dict[str, str] = {}

    def ask(self, request_id: str, text: str) -> Answer:
        """Sends a statement and returns its answer.

        :raises WireError: if the session ends or stays silent before.
        """
        self.stream.write(f"QUERY {request_id} {text}\r\n".encode(), CONNECT_LIMIT_S)
        return read_answer(self.stream, ANSWER_LIMIT_S)

    def operation(self, is_transaction: bool) -> Operation:
        """Returns a new operation of this session."""
        return Operation(
            self.session_id,
            self.service,
            self.consistency,
            MAX_STALENESS_MS / 1000.0,
            is_transaction,
            self.values,
        )


class Caller:
    """Opens one session after the other.

    :ivar ids: numbers of the statements of all callers.
    """

    ids = itertools.count(1)

    def __init__(
        self,
        calm: Calm,
        balancer: Balancer,
        promises: Promises,
        served: Served,
        services: list[str],
        rng: random.Random,
    ):
        self.calm = calm
        self.balancer = balancer
        self.promises = promises
        self.served = served
        self.services = services
        self.rng = rng

    def run(self) -> None:
        """Goes on for as long as the soak runs."""
        while True:
            sleep(self.rng.uniform(*REST_S))
            try:
                self._hold_session()
            except WireError:
                sleep(RETRY_DELAY_S)

    def try_once(self, host: str, service: str, consistency: Consistency) -> None:
        """Runs one statement through a proxy; ``served`` tells of a success."""
        with (
            contextlib.suppress(WireError),
            self._session(host, service, consistency) as session,
        ):
            if session is not None:
                self._single(session)

    def _hold_session(self) -> None:
        host = self.balancer.choose(self.rng)
        service = self.rng.choice(self.services)
        consistency = self.rng.choice(list(Consistency))
        with self._session(host, service, consistency) as session:
            if session is None:
                return
            for _ in range(self.rng.randint(*OPERATIONS)):
                if not self._operate(session):
                    return
                sleep(self.rng.uniform(*THINK_S))

    @contextlib.contextmanager
    def _session(
        self, host: str, service: str, consistency: Consistency
    ) -> Iterator[Session | None]:
        """Opens a session inside the block; ``None`` if the proxy refuses it."""
        stream = open_stream(f"{host}:{FRONT_PORT}", CONNECT_LIMIT_S)
        try:
            database = database_of(service, consistency)
            stream.write(f"START {database} soak\r\n".encode(), CONNECT_LIMIT_S)
            line = decode_line(stream.read_line(ANSWER_LIMIT_S, MAX_MESSAGE_BYTES))
            session_id = f"s{next(self.ids)}"
            session = Session(stream, host, service, consistency, session_id)
            yield session if line.startswith("READY") else None
        finally:
            stream.close()

    def _operate(self, session: Session) -> bool:
        """Runs one operation.

        :returns: whether the session can go on.
        """
        draw = self.rng.random()
        if draw < 0.1:
            return self._set_value(session)
        if draw < 0.4:
            return self._transaction(session)
        return self._single(session)

    def _set_value(self, session: Session) -> bool:
        name, value = f"v{self.rng.randint(1, 2)}", str(self.rng.randint(1, 3))
        if session.ask("-", f"SET {name} {value}").error is not None:
            return False
        session.values[name] = value
        return True

    def _text(self, session: Session) -> tuple[str, bool]:
        """Returns a statement's text and whether it writes."""
        draw = self.rng.random()
        writes = draw < 0.3 and session.consistency is not Consistency.bounded_staleness
        item = f"i{self.rng.randint(1, 50)}"
        if self.rng.random() < 0.2:
            # Callers name a prepared statement by its shape.
            shape = "qw" if writes else "qr"
            access = "WRITE" if writes else "READ"
            answer = session.ask("-", f"PREPARE {shape} {access} {shape}")
            if answer.error is None:
                return f"EXECUTE {shape} {item} d", writes
        return (f"WRITE {item} d" if writes else f"READ {item}"), writes

    def _single(self, session: Session) -> bool:
        text, writes = self._text(session)
        operation = session.operation(is_transaction=False)
        request_id, answer = self._send(session, operation, text)
        if writes and answer.error is None:
            self.promises.told_committed(operation, [request_id])
        return answer.state is TransactionState.idle

    def _transaction(self, session: Session) -> bool:
        operation = session.operation(is_transaction=True)
        reads_only = session.consistency is Consistency.bounded_staleness
        begin = "BEGIN READ" if reads_only else "BEGIN"
        if session.ask("-", begin).error is not None:
            return False
        written = []
        for _ in range(self.rng.randint(1, 4)):
            text, writes = self._text(session)
            request_id, answer = self._send(session, operation, text)
            if answer.error is not None:
                session.ask("-", "ROLLBACK")
                return True
            if writes:
                written.append(request_id)
            sleep(self.rng.uniform(*THINK_S) / 3)
        if self.rng.random() < 0.1:
            # Some leave in the middle.
            return False
        if self.rng.random() < 0.15:
            session.ask("-", "ROLLBACK")
            return True
        _, answer = self._send(session, operation, "COMMIT")
        if answer.error is None and written:
            self.promises.told_committed(operation, written)
        return answer.state is TransactionState.idle

    def _send(
        self, session: Session, operation: Operation, text: str
    ) -> tuple[str, Answer]:
        request_id = f"q{next(self.ids)}"
        self.promises.sent(operation, request_id, text)
        sent_at = time.monotonic()
        try:
            answer = session.ask(request_id, text)
        except WireError as error:
            self.calm.note_unanswered(session.host, request_id, sent_at, error)
            raise
        self.promises.told(operation, answer.error)
        if answer.error is None:
            self._check_answer(session, request_id, text, answer)
        return request_id, answer

    def _check_answer(
        self, session: Session, request_id: str, text: str, answer: Answer
    ) -> None:
        self.served.note(
            session.host, database_of(session.service, session.consistency)
        )
        if answer.signature != f"sig-{request_id}":
            self.promises.broke("MIXED", f"{request_id} got {answer.signature!r}")
        rows = [row.split(b" ")[0].decode() for row in answer.rows]
        if text != "COMMIT" and rows != [request_id]:
            self.promises.broke("MIXED", f"{request_id} got the rows of {rows}")

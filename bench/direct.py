"""The baseline without proxies: callers connect to the primaries themselves."""

from collections.abc import Iterator
from contextlib import contextmanager

from godwitwheel.internal.loop import Semaphore
from godwitwheel.wire.caller import (
    CallerAnswer,
    CallerRequest,
    CallerStatement,
    Outcome,
    StatementResult,
)
from godwitwheel.wire.client import Client, HttpConnection
from godwitwheel.wire.codec import Message, decode, encode
from godwitwheel.wire.errors import ErrorReply, WireError
from godwitwheel.wire.target import (
    SessionOpened,
    Statement,
    StatementReply,
    StepReply,
    TransactionStep,
)

from .records import Ending, RequestKind
from .traffic import ANSWER_TIMEOUT_S, Traffic
from .workload import Mix, NamedRequest


class DirectSession:
    """One database connection to a target."""

    __slots__ = ("connection",)

    def __init__(self, address: str):
        self.connection = HttpConnection(address)
        self.connection.connect(ANSWER_TIMEOUT_S)
        self.call("/v1/session", None, SessionOpened)

    def call(self, path: str, message: object, reply: type[Message]) -> Message:
        """Posts a message on this connection and decodes the reply."""
        body = b"" if message is None else encode(message)
        status, answer = self.connection.exchange("POST", path, body, ANSWER_TIMEOUT_S)
        if status != 200:
            raise ErrorReply(status, answer)
        return decode(answer, reply)

    def run(self, statement: CallerStatement, read_only: bool) -> StatementResult:
        """Runs one statement."""
        message = Statement(1, statement.sql, statement.parameters, read_only)
        reply = self.call("/v1/statement", message, StatementReply)
        return StatementResult(reply.columns, reply.rows, reply.row_count)

    def run_all(
        self, statements: list[CallerStatement], read_only: bool
    ) -> list[StatementResult]:
        """Runs the statements, several as one transaction."""
        if len(statements) == 1:
            return [self.run(statements[0], read_only)]
        self.call("/v1/begin", TransactionStep(1, read_only), StepReply)
        results = [self.run(statement, read_only) for statement in statements]
        self.call("/v1/commit", TransactionStep(1, read_only), StepReply)
        return results


class DirectTraffic(Traffic):
    """Sends the same requests directly to the primaries.

    :ivar primaries: address of each group's primary.
    :ivar connection_limits: bound each group's connections to the connection cap.
    """

    __slots__ = ("primaries", "pools", "connection_limits")

    def __init__(
        self, primaries: dict[str, str], connection_cap: int, mix: Mix, client: Client
    ):
        super().__init__(list(primaries.values()), mix, client, resend_limit_s=0.0)
        self.primaries = primaries
        self.pools: dict[str, list[DirectSession]] = {name: [] for name in primaries}
        self.connection_limits = {name: Semaphore(connection_cap) for name in primaries}

    def exchange(
        self, request: NamedRequest, proxy: str, body: bytes, headers: dict[str, str]
    ) -> tuple[CallerAnswer, Ending, list[str]]:
        statements = decode(body, CallerRequest).statements
        read_only = request.kind is not RequestKind.write
        try:
            with self._session(request.group) as session:
                results = session.run_all(statements, read_only)
        except WireError as error:
            return CallerAnswer(Outcome.unknown), Ending.no_answer, [repr(error)]
        return CallerAnswer(Outcome.done, results), Ending.done, []

    @contextmanager
    def _session(self, group: str) -> Iterator[DirectSession]:
        with self.connection_limits[group]:
            pool = self.pools[group]
            session = pool.pop() if pool else DirectSession(self.primaries[group])
            yield session
            pool.append(session)

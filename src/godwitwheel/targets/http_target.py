"""The HTTP/JSON adapter for the interface that ``wire.target`` documents."""

import contextlib
import time
from collections.abc import Iterator
from typing import Any, TypeVar

from ..wire.client import Client, HttpConnection, has_unread_input
from ..wire.codec import decode, encode
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent
from ..wire.target import (
    Follow,
    Promote,
    SessionOpened,
    Statement,
    StatementReply,
    StepReply,
    TargetProblem,
    TargetStatus,
    TransactionStep,
)
from .base import TargetAdmin, TargetConnection
from .errors import MayHaveRun, NotRun, Refused, WrongReply

Reply = TypeVar("Reply")


def decode_refusal(status: int, body: bytes) -> Refused | WrongReply:
    """Converts a reply with an error status into an error of the targets layer."""
    try:
        return Refused(decode(body, TargetProblem))
    except BadMessage as error:
        return WrongReply(f"status {status}: {error}")


class HttpTargetConnection(TargetConnection):
    """A database connection over one persistent HTTP connection.

    :ivar in_transaction: whether a transaction is open or may be open.
    :ivar last_request_id: number of the latest request; its reply repeats it.
    """

    __slots__ = ("connection", "in_transaction", "last_request_id")

    def __init__(self, target_id: str, address: str):
        super().__init__(target_id)
        self.connection = HttpConnection(address)
        self.in_transaction = False
        self.last_request_id = 0

    def open(self, timeout_s: float) -> SessionOpened:
        deadline = time.monotonic() + timeout_s
        try:
            self.connection.connect(timeout_s)
        except NotSent as error:
            raise NotRun(str(error)) from error
        remaining_s = deadline - time.monotonic()
        return self._exchange("/v1/session", b"", SessionOpened, remaining_s)

    def run(
        self, sql: str, parameters: list[Any], read_only: bool, timeout_s: float
    ) -> StatementReply:
        statement = Statement(self._next_id(), sql, parameters, read_only)
        return self._exchange_numbered(
            "/v1/statement", statement, StatementReply, timeout_s
        )

    def begin(self, read_only: bool, timeout_s: float) -> StepReply:
        # Set before the exchange: after a lost reply a transaction may be open.
        self.in_transaction = True
        return self._step("/v1/begin", read_only, timeout_s)

    def commit(self, timeout_s: float) -> StepReply:
        reply = self._step("/v1/commit", False, timeout_s)
        self.in_transaction = False
        return reply

    def rollback(self, timeout_s: float) -> StepReply:
        reply = self._step("/v1/rollback", False, timeout_s)
        self.in_transaction = False
        return reply

    def close(self) -> None:
        self.connection.close()

    def is_reusable(self) -> bool:
        return (
            self.connection.is_usable()
            and not self.in_transaction
            and not has_unread_input(self.connection)
        )

    def _next_id(self) -> int:
        self.last_request_id += 1
        return self.last_request_id

    def _step(self, path: str, read_only: bool, timeout_s: float) -> StepReply:
        step = TransactionStep(self._next_id(), read_only)
        return self._exchange_numbered(path, step, StepReply, timeout_s)

    def _exchange_numbered(
        self, path: str, message: object, kind: type[Reply], timeout_s: float
    ) -> Reply:
        reply = self._exchange(path, encode(message), kind, timeout_s)
        if reply.request_id != self.last_request_id:
            self.close()
            raise WrongReply(
                f"{self.target_id}: got the reply to {reply.request_id}, expected "
                f"the one to {self.last_request_id}"
            )
        return reply

    def _exchange(
        self, path: str, body: bytes, kind: type[Reply], timeout_s: float
    ) -> Reply:
        if path != "/v1/session" and not self.connection.is_usable():
            # http.client would reconnect automatically, without a session.
            raise NotRun(f"{self.target_id}: the connection is closed")
        if path != "/v1/session" and has_unread_input(self.connection):
            # A refusal carries no request number, so a late one could be taken for the
            # reply to this request.
            self.close()
            raise NotRun(f"{self.target_id}: an unexpected reply came first")
        if timeout_s <= 0:
            raise NotRun(f"{self.target_id}: no time left")
        try:
            status, answer = self.connection.exchange("POST", path, body, timeout_s)
        except NoReply as error:
            raise MayHaveRun(str(error)) from error
        if status != 200:
            raise self._handle_refusal(status, answer)
        try:
            return decode(answer, kind)
        except BadMessage as error:
            self.close()
            raise WrongReply(str(error)) from error

    def _handle_refusal(self, status: int, answer: bytes) -> Refused | WrongReply:
        refusal = decode_refusal(status, answer)
        if not isinstance(refusal, Refused) or refusal.ran:
            self.close()
        return refusal


class HttpTargetAdmin(TargetAdmin):
    """Administers targets over the persistent connections of a client.

    :ivar client: keeps the connections; the code that created it closes them.
    """

    __slots__ = ("client",)

    def __init__(self, client: Client):
        self.client = client

    def status(self, address: str, timeout_s: float) -> TargetStatus:
        return self._call(address, "/v1/status", None, timeout_s)

    def promote(self, address: str, term: int, timeout_s: float) -> TargetStatus:
        return self._call(address, "/v1/promote", Promote(term), timeout_s)

    def follow(
        self,
        address: str,
        term: int,
        primary_id: str,
        primary_address: str,
        timeout_s: float,
    ) -> TargetStatus:
        order = Follow(term, primary_id, primary_address)
        return self._call(address, "/v1/follow", order, timeout_s)

    def _call(
        self, address: str, path: str, message: object | None, timeout_s: float
    ) -> TargetStatus:
        with _translate_errors():
            return self.client.call(address, path, message, TargetStatus, timeout_s)


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    """Converts errors of the wire layer into those of the targets layer."""
    try:
        yield
    except NotSent as error:
        raise NotRun(str(error)) from error
    except NoReply as error:
        raise MayHaveRun(str(error)) from error
    except BadMessage as error:
        raise WrongReply(str(error)) from error
    except ErrorReply as error:
        raise decode_refusal(error.status, error.body) from error

"""The target's end of database connections; the test decides on each reply."""

import re
import socket as plain_socket

import eventlet.green.socket as socket

from godwitwheel.internal.loop import spawn
from godwitwheel.targets.http_target import HttpTargetConnection
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.streams import Stream
from godwitwheel.wire.target import (
    ProblemCode,
    Role,
    SessionOpened,
    StatementReply,
    StepReply,
    TargetProblem,
)

ANY_BODY = dict[str, object]


class FakeSession:
    """The target's end of one connection.

    :ivar transaction: SQL text that identifies the open transaction's owner; ``?``
        before its first statement, empty outside a transaction.
    :ivar waiting: the request not answered yet, as path and body.
    :ivar mixed: error message, set once statements of two transactions are mixed.
    :ivar answered: status and body of each reply sent.
    """

    def __init__(self, near: "PairedConnection", far: socket.socket):
        self.near = near
        self.far = far
        self.transaction = ""
        self.waiting: tuple[str, dict] | None = None
        self.mixed = ""
        self.answered: list[tuple[int, bytes]] = []
        spawn(self.serve)

    @property
    def is_open(self) -> bool:
        return self.near.connection.is_usable()

    def serve(self) -> None:
        reader = self.far.makefile("rb")
        try:
            while line := reader.readline():
                path = line.split()[1].decode()
                head = b"".join(iter(reader.readline, b"\r\n"))
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = reader.read(int(length[1])) if length else b"{}"
                self.handle_request(path, decode(body or b"{}", ANY_BODY))
        except OSError:
            return

    def handle_request(self, path: str, body: dict) -> None:
        if path == "/v1/session":
            self.send(200, encode(SessionOpened(1, Role.primary)))
            return
        owner = str(body.get("sql", ""))
        if self.transaction and owner and self.transaction not in ("?", owner):
            self.mixed = f"{owner} ran inside the transaction of {self.transaction}"
        if path == "/v1/begin":
            if self.transaction:
                self.mixed = f"began inside the transaction of {self.transaction}"
            self.transaction = "?"
        elif path == "/v1/statement" and self.transaction:
            self.transaction = owner
        self.waiting = (path, body)

    def answer(self) -> None:
        """Answers the waiting request correctly."""
        path, body = self.waiting
        self.waiting = None
        number = body["request_id"]
        if path == "/v1/statement":
            reply = StatementReply(number, 1, 1, ["owner"], [[body["sql"]]], 1)
        else:
            reply = StepReply(number, 1, 1)
        if path in ("/v1/commit", "/v1/rollback"):
            self.transaction = ""
        self.answered.append((200, encode(reply)))
        self.send(*self.answered[-1])

    def refuse(self) -> None:
        """Refuses the waiting request; an open transaction stays open."""
        _, body = self.waiting
        self.waiting = None
        message = str(body.get("sql", ""))
        problem = TargetProblem(ProblemCode.statement_failed, message, ran=False)
        self.answered.append((409, encode(problem)))
        self.send(*self.answered[-1])

    def repeat(self) -> None:
        """Sends the latest reply once more."""
        if self.answered:
            self.send(*self.answered[-1])

    def send(self, status: int, body: bytes) -> None:
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            self.far.sendall(head.encode() + body)
        except OSError:
            return

    def hang_up(self) -> None:
        self.waiting = None
        self.far.shutdown(plain_socket.SHUT_RDWR)


class PairedConnection(HttpTargetConnection):
    """The real adapter over a socket pair."""

    __slots__ = ("sessions",)

    def __init__(self, sessions: list[FakeSession]):
        super().__init__("t0", "127.0.0.1:1")
        self.sessions = sessions

    def open(self, timeout_s: float) -> SessionOpened:
        near, far = socket.socketpair()
        self.connection.stream = Stream(near)
        self.sessions.append(FakeSession(self, far))
        return self._exchange("/v1/session", b"", SessionOpened, timeout_s)

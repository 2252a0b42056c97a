"""The line protocol as its page states it, without any code of the product.

Stand-ins that read and write messages with the product's own functions share its
faults, so that no test can see them.
"""

import time

from godwitwheel.wire.streams import Stream

LINE_END = b"\r\n"
# For reads without a limit, in seconds.
LONG_TIME_S = 3600.0


class MessageReader:
    """Splits what arrives on a stream into messages, which end with CR LF.

    :ivar received: bytes that belong to no message that has been returned.
    """

    __slots__ = ("stream", "received")

    def __init__(self, stream: Stream):
        self.stream = stream
        self.received = bytearray()

    def read(self, timeout_s: float | None) -> str:
        """Returns the next message without its end.

        :param timeout_s: limit for the whole message, ``None`` for no limit.
        :raises WireError: if it does not arrive in time, or the stream is closed.
        """
        deadline = time.monotonic() + (timeout_s or LONG_TIME_S)
        searched = 0
        while (end := self.received.find(LINE_END, searched)) < 0:
            searched = max(len(self.received) - 1, 0)
            self.received += self.stream.receive(deadline)
        message = self.received[:end].decode()
        del self.received[: end + len(LINE_END)]
        return message


class Reply:
    """A target's or proxy's complete answer to a query.

    :ivar error: code of the error, or empty.
    :ivar detail: the signature, or what follows the code of the error.
    """

    __slots__ = ("rows", "error", "detail", "state", "position")

    def __init__(
        self,
        rows: list[str] | None = None,
        error: str = "",
        detail: str = "-",
        state: str = "I",
        position: str = "-",
    ):
        self.rows = rows or []
        self.error = error
        self.detail = detail
        self.state = state
        self.position = position

    def encode(self) -> bytes:
        """Returns the messages of the answer."""
        outcome = f"ERROR {self.error}" if self.error else "COMPLETE"
        messages = [f"DATAROW {row}" for row in self.rows]
        messages.append(f"{outcome} {self.detail}")
        messages.append(f"READY {self.state} {self.position}")
        return "".join(f"{message}\r\n" for message in messages).encode()


def read_reply(reader: MessageReader, timeout_s: float) -> Reply:
    """Reads a complete answer.

    :param timeout_s: limit for the whole answer.
    :raises WireError: if it does not arrive in time, or the stream is closed.
    """
    deadline = time.monotonic() + timeout_s
    reply = Reply()
    while True:
        left_s = max(deadline - time.monotonic(), 0.001)
        word, _, rest = reader.read(left_s).partition(" ")
        match word:
            case "DATAROW":
                reply.rows.append(rest)
            case "COMPLETE":
                reply.detail = rest
            case "ERROR":
                reply.error, _, reply.detail = rest.partition(" ")
            case "READY":
                reply.state, reply.position = rest.split(" ")
                return reply
            case _:
                raise AssertionError(f"no such message: {word[:40]!r}")

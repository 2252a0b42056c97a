"""Targets that serve the line protocol on loopback."""

import contextlib

from godwitwheel.wire.streams import Stream, StreamClosed, StreamServer

from .framing import MessageReader, Reply

START_REPLY = b"READY I 1.0\r\n"
START_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 5.0


class LineTarget:
    """Answers each query with what ``answer`` returns for its text.

    ``None`` closes the connection without an answer.

    :ivar queries: id and text of each, in the order of arrival.
    :ivar start_reply: reply to the ``START`` of a new connection.
    :ivar start_lines: the ``START`` lines of all connections.
    """

    def __init__(self, answer):
        self.answer = answer
        self.queries: list[tuple[str, str]] = []
        self.start_lines: list[str] = []
        self.start_reply = START_REPLY
        self.address = ""

    @contextlib.contextmanager
    def running(self):
        """Serves on a free port inside the block."""
        errors = []
        with StreamServer(self.serve, errors.append).listening("127.0.0.1:0") as server:
            self.address = server.address
            yield self
        assert errors == []

    def serve(self, stream: Stream) -> None:
        reader = MessageReader(stream)
        self.start_lines.append(reader.read(START_TIMEOUT_S))
        stream.write(self.start_reply, SEND_TIMEOUT_S)
        with contextlib.suppress(StreamClosed):
            self.serve_queries(stream, reader)

    def serve_queries(self, stream: Stream, reader: MessageReader) -> None:
        """Answers queries until the connection ends."""
        while True:
            _, request_id, text = reader.read(None).split(" ", 2)
            self.queries.append((request_id, text))
            reply = self.answer(text)
            if reply is None:
                return
            stream.write(reply, SEND_TIMEOUT_S)


class EchoTarget(LineTarget):
    """A primary that answers each read and write with a row that repeats its text.

    :ivar refusals: codes with which it answers its next reads and writes instead; an
        empty one closes the connection without an answer.
    :ivar ran: id and text of each read, write and commit that it has run.
    :ivar longest_message: bytes of the longest message so far, without its end.
    """

    def __init__(self):
        super().__init__(None)
        self.refusals: list[str] = []
        self.ran: list[tuple[str, str]] = []
        self.longest_message = 0

    def serve_queries(self, stream: Stream, reader: MessageReader) -> None:
        state = "I"
        while True:
            message = reader.read(None)
            self.longest_message = max(self.longest_message, len(message.encode()))
            _, request_id, text = message.split(" ", 2)
            self.queries.append((request_id, text))
            word = text.partition(" ")[0]
            if word in ("BEGIN", "COMMIT", "ROLLBACK"):
                state = "T" if word == "BEGIN" else "I"
            reply = self._reply(request_id, text)
            if reply is None:
                return
            reply.state = state
            stream.write(reply.encode(), SEND_TIMEOUT_S)

    def _reply(self, request_id: str, text: str) -> Reply | None:
        if text.startswith("AFTER "):
            # The position of a read's floor doesn't belong to its text.
            text = text.split(" ", 2)[2]
        if request_id == "-":
            return Reply(position="1.1")
        refusal = self.refusals.pop(0) if self.refusals else None
        if refusal is not None:
            return Reply(error=refusal, detail=text) if refusal else None
        self.ran.append((request_id, text))
        return Reply([text], detail=f"sig-{request_id}", position="1.1")

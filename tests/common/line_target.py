"""A scripted target that serves the line protocol on loopback."""

import contextlib

from godwitwheel.wire.streams import Stream, StreamClosed, StreamServer

START_REPLY = b"READY I 1.0\r\n"


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
        self.start_lines.append(stream.read_line(5.0, 1000).decode())
        stream.write(self.start_reply, 5.0)
        with contextlib.suppress(StreamClosed):
            while True:
                line = stream.read_line(None, 1 << 20).decode()
                _, request_id, text = line.split(" ", 2)
                self.queries.append((request_id, text))
                reply = self.answer(text)
                if reply is None:
                    return
                stream.write(reply, 5.0)

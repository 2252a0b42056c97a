"""A target that speaks the line protocol on loopback and does what a test says."""

import contextlib

from godwitwheel.wire.streams import Stream, StreamClosed, StreamServer

START_REPLY = b"READY I 1.0\r\n"


class LineTarget:
    """Answers each query with what ``answer`` returns for its text.

    :ivar seen: queries in the order of arrival, as id and text.
    :ivar start_reply: what a new connection is told.
    :ivar starts: what connections introduced themselves with.
    """

    def __init__(self, answer):
        self.answer = answer
        self.seen: list[tuple[str, str]] = []
        self.starts: list[str] = []
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
        self.starts.append(stream.read_line(5.0, 1000).decode())
        stream.write(self.start_reply, 5.0)
        with contextlib.suppress(StreamClosed):
            while True:
                line = stream.read_line(None, 1 << 20).decode()
                _, request_id, text = line.split(" ", 2)
                self.seen.append((request_id, text))
                reply = self.answer(text)
                if reply is None:
                    return
                stream.write(reply, 5.0)

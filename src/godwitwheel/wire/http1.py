"""HTTP/1.1 messages between processes: formats requests, parses heads and replies."""

import httptools

from .errors import NotSent, WireError
from .streams import Stream, StreamClosed

HEAD_END = b"\r\n\r\n"
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class MalformedHttp(WireError):
    """The peer's message is not valid HTTP/1.1."""


class UnsendableHead(NotSent):
    """A header holds a text that none can hold; nothing was sent."""


def format_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns a request.

    :raises UnsendableHead: if a header would be read as several, or can't be encoded.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return _join_head(lines) + body


def format_response(
    status: int, headers: list[tuple[str, str]], body: bytes, reason: str = "-"
) -> bytes:
    """Returns a response.

    :raises UnsendableHead: if a header would be read as several, or can't be encoded.
    """
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return _join_head(lines) + body


def _join_head(lines: list[str]) -> bytes:
    head = "\r\n".join([*lines, "", ""])
    ends = len(lines) + 1
    if head.count("\r") != ends or head.count("\n") != ends:
        raise UnsendableHead(f"got a line end in a header after {lines[0][:80]!r}")
    try:
        return head.encode("latin-1")
    except UnicodeEncodeError as error:
        raise UnsendableHead(f"{lines[0][:80]!r}: {error.reason}") from error


class RequestHead:
    """The first line and the headers of a request.

    :ivar target: path and query as they were sent.
    :ivar headers: values by lower-case name; those of repeated names are joined by
        commas.
    :ivar keeps_connection: whether the peer expects to send further requests.
    """

    __slots__ = ("method", "target", "headers", "keeps_connection")

    def __init__(self):
        self.method = ""
        self.target = b""
        self.headers: dict[str, str] = {}
        self.keeps_connection = False

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        known = self.headers.get(key)
        self.headers[key] = text if known is None else f"{known},{text}"


def parse_request_head(data: bytes) -> RequestHead:
    """Parses a request up to the empty line after its headers.

    :raises MalformedHttp: if it is not valid.
    """
    head = RequestHead()
    parser = httptools.HttpRequestParser(head)
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        # Its headers were read; this server stays with HTTP/1.1.
        pass
    except httptools.HttpParserError as error:
        raise MalformedHttp(str(error)) from error
    head.method = parser.get_method().decode()
    head.keeps_connection = parser.should_keep_alive()
    return head


class ResponseReader:
    """Reads one response.

    :ivar headers: values by lower-case name.
    :ivar has_length: whether the headers tell where the body ends.
    :ivar ends_with_stream: whether the body ends when the peer closes the connection.
    :ivar may_continue: whether the peer keeps the connection open.
    :ivar has_surplus: whether more than the response came, or the connection ended.
    """

    __slots__ = (
        "parser",
        "chunks",
        "headers",
        "status",
        "is_complete",
        "has_length",
        "ends_with_stream",
        "has_surplus",
        "may_continue",
    )

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.chunks: list[bytes] = []
        self.headers: dict[str, str] = {}
        self.status = 0
        self.is_complete = False
        self.has_length = False
        self.ends_with_stream = False
        self.has_surplus = False
        self.may_continue = False

    @property
    def body(self) -> bytes:
        """The body of the response."""
        return b"".join(self.chunks)

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection can be used for the next request."""
        return self.may_continue and not self.has_surplus

    def read(self, stream: Stream, deadline: float) -> None:
        """Reads until the response is complete.

        :param deadline: in seconds of the monotonic clock.
        :raises MalformedHttp: if it is not valid.
        :raises WireError: if it does not arrive in time.
        """
        while not self.is_complete:
            try:
                data = stream.receive(deadline)
            except StreamClosed:
                if not self.ends_with_stream:
                    raise
                self.status = self.parser.get_status_code()
                self.has_surplus = True
                return
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise MalformedHttp(str(error)) from error
            # What follows the response is of no use in any case.
            self.has_surplus = True

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.has_surplus = self.has_surplus or self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if name.lower() in LENGTH_HEADERS:
            self.has_length = True
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        if not self.is_complete:
            self.ends_with_stream = not self.has_length

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if not self.is_complete:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if not self.is_complete:
            self.status = self.parser.get_status_code()
            # The parser forgets the headers after this call.
            self.may_continue = self.parser.should_keep_alive()
            self.is_complete = True

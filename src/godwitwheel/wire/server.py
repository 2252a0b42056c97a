"""An HTTP server on the event loop, with a table of routes."""

import contextlib
import io
import time
from collections.abc import Callable, Iterator
from urllib.parse import unquote

from ..internal.validation import is_whole_number
from ..observe.events import EventName, record_event
from .codec import encode
from .errors import BadMessage, WireError
from .http1 import (
    HEAD_END,
    MalformedHttp,
    RequestHead,
    format_response,
    parse_request_head,
)
from .numbers import MAX_NUMBER
from .streams import (
    LineTooLong,
    Stream,
    StreamClosed,
    StreamServer,
    StreamTimeout,
)

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 1 << 16
KEEP_ALIVE_S = 300.0
# Limit for reading all headers of a request.
HEADER_TIMEOUT_S = 10.0
# Limit for a peer that neither sends nor accepts data.
SOCKET_TIMEOUT_S = 30.0
# In a request line, also in one whose end is malformed.
LINE_FEED = b"\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Request:
    """One HTTP request with its complete body.

    :ivar parameters: the path segments that match ``{}`` in its route.
    """

    __slots__ = ("method", "path", "body", "environ", "parameters")

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes,
        environ: dict,
        parameters: list[str] | None = None,
    ):
        self.method = method
        self.path = path
        self.body = body
        self.environ = environ
        self.parameters = parameters or []

    def header(self, name: str) -> str | None:
        """Returns a header's value, or ``None``."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"))


class Response:
    """One HTTP response; a message as body is encoded as JSON."""

    __slots__ = ("status", "body", "headers", "content_type")

    def __init__(
        self,
        body: object = b"",
        status: int = 200,
        headers: list[tuple[str, str]] | None = None,
        content_type: str = "application/json",
    ):
        self.status = status
        self.body = body if isinstance(body, bytes) else encode(body)
        self.headers = headers or []
        self.content_type = content_type

    def closes_connection(self) -> bool:
        """Whether the connection ends after this response."""
        return ("Connection", "close") in self.headers


Handler = Callable[[Request], Response]


class RouteTable:
    """Finds handlers by method and path; ``{}`` matches one path segment."""

    __slots__ = ("exact", "patterns")

    def __init__(self, routes: dict[tuple[str, str], Handler]):
        self.exact = {key: value for key, value in routes.items() if "{}" not in key[1]}
        self.patterns = [
            (method, path.split("/"), handler)
            for (method, path), handler in routes.items()
            if "{}" in path
        ]

    def find(self, method: str, path: str) -> tuple[Handler | None, list[str]]:
        """Returns the handler, or ``None``, and the segments that match ``{}``."""
        handler = self.exact.get((method, path))
        if handler is not None or not self.patterns:
            return handler, []
        segments = path.split("/")
        for route_method, pattern, handler in self.patterns:
            if method == route_method and _matches(pattern, segments):
                pairs = zip(pattern, segments, strict=True)
                return handler, [
                    segment
                    for pattern_segment, segment in pairs
                    if pattern_segment == "{}"
                ]
        return None, []


def _matches(pattern: list[str], segments: list[str]) -> bool:
    if len(pattern) != len(segments):
        return False
    return all(
        segment if pattern_segment == "{}" else pattern_segment == segment
        for pattern_segment, segment in zip(pattern, segments, strict=True)
    )


class HttpProtocol:
    """Serves the requests of one connection, one after the other.

    :ivar is_idle: whether it waits for a request.
    """

    def __init__(self, server: "Server", stream: Stream):
        self.server = server
        self.stream = stream
        self.is_idle = True

    def run(self) -> None:
        """Serves until either side ends the connection."""
        try:
            while self._serve_one():
                pass
        except (StreamTimeout, StreamClosed):
            # The peer disconnected, or sends and accepts no data; nobody can be told.
            pass
        finally:
            self.finish()

    def environ_of(self, head: RequestHead, body: bytes) -> dict:
        """Returns the WSGI environment of a request."""
        path = head.target.decode("latin-1").partition("?")[0]
        environ = {
            "REQUEST_METHOD": head.method,
            "PATH_INFO": unquote(path) if "%" in path else path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        for name, value in head.headers.items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        return environ

    def finish(self) -> None:
        """Called once the connection has ended."""

    def _serve_one(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        try:
            head = self._read_head()
            body = self._read_body(head)
        except UnreadableRequest as error:
            self._refuse(error)
            return False
        response = self.server.respond(self.environ_of(head, body))
        keeps_connection = (
            head.keeps_connection
            and not response.closes_connection()
            and not self.server.is_closing
        )
        self._write(response, keeps_connection)
        return keeps_connection

    def _read_head(self) -> RequestHead:
        self.is_idle = True
        self.stream.wait_for_input(KEEP_ALIVE_S)
        self.is_idle = False
        deadline = time.monotonic() + HEADER_TIMEOUT_S
        try:
            data = self.stream.read_through(HEAD_END, deadline, MAX_HEAD_BYTES)
            return parse_request_head(data)
        except StreamTimeout as error:
            if LINE_FEED not in self.stream.buffer:
                # Not even a request line, which could be answered.
                raise
            message = f"headers not whole in {HEADER_TIMEOUT_S} s"
            raise UnreadableRequest(408, message) from error
        except LineTooLong as error:
            raise UnreadableRequest(431, str(error)) from error
        except MalformedHttp as error:
            raise UnreadableRequest(400, str(error)) from error

    def _read_body(self, head: RequestHead) -> bytes:
        if "transfer-encoding" in head.headers:
            raise UnreadableRequest(411, "Content-Length: expected, got none")
        length = int(head.headers.get("content-length", "0"))
        if length > self.server.max_body_bytes:
            raise UnreadableRequest(413, f"body of {length} bytes is too long")
        if head.headers.get("expect", "").lower() == "100-continue":
            self.stream.write(CONTINUE, SOCKET_TIMEOUT_S)
        return self.stream.read_bytes(length, SOCKET_TIMEOUT_S)

    def _refuse(self, error: "UnreadableRequest") -> None:
        """Answers an unreadable request with a JSON body, as all other errors have."""
        self._write(_problem(error.status, str(error)), keeps_connection=False)
        record_event(
            EventName.request_unreadable, status=error.status, reason=str(error)
        )

    def _write(self, response: Response, keeps_connection: bool) -> None:
        headers = [("Content-Type", response.content_type), *response.headers]
        if not keeps_connection and not response.closes_connection():
            headers.append(("Connection", "close"))
        data = format_response(response.status, headers, response.body)
        self.stream.write(data, SOCKET_TIMEOUT_S)


class UnreadableRequest(WireError):
    """A request that can't be read; the connection is closed after the answer."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class BodyTooLarge(BadMessage):
    """Raised when a body is longer than the server accepts."""


def _problem(status: int, message: str) -> Response:
    return Response({"message": message}, status)


def _read_body(environ: dict, max_bytes: int) -> bytes:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not is_whole_number(length, MAX_NUMBER):
        raise BadMessage(
            f"Content-Length: got {length[:40]!r}, expected a whole number"
        )
    if int(length) > max_bytes:
        raise BodyTooLarge(f"body of {length} bytes, expected at most {max_bytes}")
    body = environ["wsgi.input"].read(int(length))
    if len(body) != int(length):
        raise BadMessage(f"body ended after {len(body)} of {length} bytes")
    return body


class Server:
    """Dispatches requests by ``(method, path)`` to handlers.

    A handler that raises :class:`BadMessage` yields a 400; any other exception
    yields a 500 and is passed to ``on_error``, and the server keeps running.

    :ivar max_body_bytes: longest body of a request.
    :ivar connections: the open connections.
    :ivar is_closing: whether each connection ends with the request that it serves.
    """

    __slots__ = (
        "routes",
        "on_error",
        "max_body_bytes",
        "streams",
        "protocol",
        "address",
        "connections",
        "is_closing",
    )

    def __init__(
        self,
        routes: dict[tuple[str, str], Handler],
        on_error: Callable[[Exception], None],
        protocol: type[HttpProtocol] = HttpProtocol,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        self.routes = RouteTable(routes)
        self.on_error = on_error
        self.max_body_bytes = max_body_bytes
        self.protocol = protocol
        self.streams = StreamServer(self._serve, on_error)
        self.address = ""
        self.connections: set[HttpProtocol] = set()
        self.is_closing = False

    def respond(self, environ: dict) -> Response:
        """Finds and calls the handler of a request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        handler, parameters = self.routes.find(method, path)
        if handler is None:
            return _problem(404, f"no such interface: {method} {path}")
        try:
            body = _read_body(environ, self.max_body_bytes)
            return handler(Request(method, path, body, environ, parameters))
        except BodyTooLarge as error:
            return _problem(413, str(error))
        except BadMessage as error:
            return _problem(400, str(error))
        except Exception as error:
            self.on_error(error)
            return _problem(500, f"{type(error).__name__}")

    @contextlib.contextmanager
    def listening(self, address: str) -> Iterator["Server"]:
        """Serves on ``IP:PORT`` (port 0 picks a free one) inside the block.

        Afterwards no request is served any more, except those that have arrived: peers
        must not go on calling handlers whose process part has ended.
        """
        try:
            with self.streams.listening(address):
                self.address = self.streams.address
                yield self
        finally:
            self.is_closing = True
            for connection in list(self.connections):
                if connection.is_idle:
                    connection.stream.shut_down()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self.streams.stop_accepting()

    def _serve(self, stream: Stream) -> None:
        connection = self.protocol(self, stream)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

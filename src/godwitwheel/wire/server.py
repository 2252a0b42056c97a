"""An HTTP server on the event loop, with a table of routes."""

import contextlib
import socket
import warnings
from collections.abc import Callable, Iterator

from ..internal.loop import LoopTimeout, Task, spawn
from ..internal.validation import is_whole_number, split_address
from ..observe.events import EventName, record_event
from .codec import encode
from .errors import BadMessage
from .numbers import MAX_NUMBER

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet
    import eventlet.wsgi

MAX_BODY_BYTES = 1 << 20
MAX_CONNECTIONS = 20_000
KEEP_ALIVE_S = 300.0
LISTEN_BACKLOG = 1024
# Limit for reading all headers of a request.
HEADER_TIMEOUT_S = 10.0
# Limit for a peer that neither sends nor accepts data.
SOCKET_TIMEOUT_S = 30.0
READ_BUFFER_BYTES = 1024
WRITE_BUFFER_BYTES = 1024


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


class HttpProtocol(eventlet.wsgi.HttpProtocol):
    """Limits the memory of an idle connection and the time to read headers."""

    rbufsize = READ_BUFFER_BYTES
    wbufsize = WRITE_BUFFER_BYTES

    def handle_one_request(self) -> None:
        super().handle_one_request()
        # Otherwise the last request's values would be kept until the next request.
        self.headers = None
        self.environ = None

    def _read_request_line(self) -> bytes | str:
        """Waits for a request, up to ``keepalive``, and then reads its first line.

        The line must be complete within HEADER_TIMEOUT_S.
        """
        try:
            self.connection.settimeout(self.server.keepalive)
            if not self.rfile.peek(1):
                return ""
            with LoopTimeout(HEADER_TIMEOUT_S):
                return super()._read_request_line()
        except (OSError, LoopTimeout):
            # The peer disconnected or did not complete the line; it can't be answered.
            self.close_connection = True
            return ""

    def parse_request(self) -> bool:
        """Reads the headers within HEADER_TIMEOUT_S and checks the body's length."""
        try:
            with LoopTimeout(HEADER_TIMEOUT_S):
                if not super().parse_request():
                    return False
        except LoopTimeout:
            self.send_error(408, f"headers not whole in {HEADER_TIMEOUT_S} s")
            return False
        lengths = set(self.headers.get_all("Content-Length", []))
        if len(lengths) > 1:
            # Peers that pick different values disagree on where the body ends, which
            # allows request smuggling.
            self.send_error(400, "Content-Length: given more than once")
            return False
        return True

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answers an unreadable request with a JSON body, as all other errors have."""
        body = encode({"message": message or "the request can't be read"})
        head = (
            f"HTTP/1.1 {int(code)} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.wfile.write(head.encode() + body)
        record_event(EventName.request_unreadable, status=int(code), reason=message)

    def log_message(self, format: str, *args: object) -> None:
        """Writes nothing: events go to the process's log."""


class BodyTooLarge(BadMessage):
    """Raised when a body is longer than the server accepts."""


def _problem(status: int, message: str) -> Response:
    return Response({"message": message}, status)


def _read_body(environ: dict) -> bytes:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not is_whole_number(length, MAX_NUMBER):
        raise BadMessage(
            f"Content-Length: got {length[:40]!r}, expected a whole number"
        )
    if int(length) > MAX_BODY_BYTES:
        raise BodyTooLarge(f"body of {length} bytes, expected at most {MAX_BODY_BYTES}")
    body = environ["wsgi.input"].read(int(length))
    if len(body) != int(length):
        raise BadMessage(f"body ended after {len(body)} of {length} bytes")
    return body


class Server:
    """Dispatches requests by ``(method, path)`` to handlers.

    A handler that raises :class:`BadMessage` yields a 400; any other exception
    yields a 500 and is passed to ``on_error``, and the server keeps running.
    """

    __slots__ = ("routes", "on_error", "listener", "task", "protocol", "address")

    def __init__(
        self,
        routes: dict[tuple[str, str], Handler],
        on_error: Callable[[Exception], None],
        protocol: type[eventlet.wsgi.HttpProtocol] = HttpProtocol,
    ):
        self.routes = RouteTable(routes)
        self.on_error = on_error
        self.protocol = protocol
        self.listener: socket.socket | None = None
        self.task: Task | None = None
        self.address = ""

    def respond(self, environ: dict) -> Response:
        """Finds and calls the handler of a request."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        handler, parameters = self.routes.find(method, path)
        if handler is None:
            return _problem(404, f"no such interface: {method} {path}")
        try:
            body = _read_body(environ)
            return handler(Request(method, path, body, environ, parameters))
        except BodyTooLarge as error:
            return _problem(413, str(error))
        except BadMessage as error:
            return _problem(400, str(error))
        except Exception as error:
            self.on_error(error)
            return _problem(500, f"{type(error).__name__}")

    def application(self, environ: dict, start_response: Callable) -> list[bytes]:
        """The WSGI entry point."""
        response = self.respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if response.status == 413:
            headers.append(("Connection", "close"))
        start_response(f"{response.status} -", headers)
        return [response.body]

    @contextlib.contextmanager
    def listening(self, address: str) -> Iterator["Server"]:
        """Serves on ``IP:PORT`` (port 0 picks a free one) inside the block."""
        listener = eventlet.listen(
            split_address(address), backlog=LISTEN_BACKLOG, reuse_port=False
        )
        self.listener = listener
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.task = spawn(
            eventlet.wsgi.server,
            listener,
            self.application,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            keepalive=KEEP_ALIVE_S,
            protocol=self.protocol,
            socket_timeout=SOCKET_TIMEOUT_S,
        )
        try:
            yield self
        finally:
            self.stop_accepting()
            self.task.kill()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self.listener.close()

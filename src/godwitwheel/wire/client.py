"""An HTTP client with kept-alive connections, for calls between processes."""

import time

from .codec import Message, decode, encode
from .errors import ErrorReply, NoReply, NotSent, WireError
from .http1 import ResponseReader, format_request
from .streams import Stream, open_stream

MAX_IDLE_PER_PEER = 16


class HttpConnection:
    """One TCP connection to a peer; closed after any error or incomplete reply.

    :ivar stream: ``None`` while it is not open.
    :ivar resets_failed: whether it is reset after a failure, so that a request that is
        held up on its way is not sent any more.
    """

    __slots__ = ("address", "stream", "resets_failed")

    def __init__(self, address: str, resets_failed: bool = False):
        self.address = address
        self.resets_failed = resets_failed
        self.stream: Stream | None = None

    def connect(self, timeout_s: float) -> None:
        """Opens the connection.

        :raises NotSent: if it can't be opened in time.
        """
        try:
            self.stream = open_stream(self.address, timeout_s)
        except WireError as error:
            raise NotSent(f"{self.address}: {error}") from error

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends one request and reads the complete reply.

        :param timeout_s: limit for the whole exchange, in seconds.
        :returns: status and body.
        :raises NoReply: if no complete reply arrived in time; the connection is
            closed.
        """
        reader = self.request(method, path, body, timeout_s, headers)
        return reader.status, reader.body

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> ResponseReader:
        """Like :meth:`exchange`, but returns the response with its headers.

        :raises NotSent: if a header can't be sent; the connection is closed.
        """
        deadline = time.monotonic() + max(timeout_s, 0.001)
        reader = ResponseReader()
        try:
            request = format_request(method, path, self.address, headers or {}, body)
            if self.stream is None:
                raise NoReply("the connection is closed")
            self.stream.write(request, max(timeout_s, 0.001))
            reader.read(self.stream, deadline)
        except NotSent:
            self.close()
            raise
        except WireError as error:
            if self.resets_failed and self.stream is not None:
                self.stream.reset_on_close()
            self.close()
            raise NoReply(f"{self.address}{path}: {error}") from error
        except BaseException:
            # A killed task leaves a partly read reply on the connection, which must
            # not be read as the reply to the next request.
            self.close()
            raise
        if not reader.keeps_connection:
            self.close()
        return reader

    def close(self) -> None:
        """Closes the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def is_usable(self) -> bool:
        """Whether the connection is still open on this side."""
        return self.stream is not None


class Client:
    """Keeps a pool of idle connections for each peer and makes typed calls.

    :ivar resets_failed: see :class:`HttpConnection`.
    """

    __slots__ = ("idle", "resets_failed")

    def __init__(self, resets_failed: bool = False):
        self.resets_failed = resets_failed
        self.idle: dict[str, list[HttpConnection]] = {}

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def call(
        self,
        address: str,
        path: str,
        message: object | None,
        reply: type[Message],
        timeout_s: float,
    ) -> Message:
        """Sends ``message`` by POST, or a GET if it is ``None``; decodes the reply.

        :raises NotSent: if the peer could not be reached.
        :raises NoReply: if the peer may have processed it, but did not answer.
        :raises ErrorReply: if the peer refused.
        :raises BadMessage: if the reply is not a valid ``reply``.
        """
        method = "GET" if message is None else "POST"
        body = b"" if message is None else encode(message)
        status, answer = self.exchange(address, method, path, body, timeout_s)
        if status != 200:
            raise ErrorReply(status, answer)
        return decode(answer, reply)

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends one request over an idle or a new connection."""
        reader = self._request(address, method, path, body, timeout_s, headers)
        return reader.status, reader.body

    def fetch(
        self, address: str, path: str, timeout_s: float
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a GET request over an idle or a new connection.

        :returns: status, headers by lower-case name, and body.
        :raises NotSent: if the peer could not be reached.
        :raises NoReply: if no complete reply arrived in time.
        """
        reader = self._request(address, "GET", path, b"", timeout_s, None)
        return reader.status, reader.headers, reader.body

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None,
    ) -> ResponseReader:
        deadline = time.monotonic() + timeout_s
        connection = self._acquire(address, timeout_s)
        remaining = deadline - time.monotonic()
        reader = connection.request(method, path, body, remaining, headers)
        self._release(connection)
        return reader

    def _acquire(self, address: str, timeout_s: float) -> HttpConnection:
        idle_connections = self.idle.get(address)
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_usable() and not has_unread_input(connection):
                return connection
            connection.close()
        connection = HttpConnection(address, self.resets_failed)
        connection.connect(timeout_s)
        return connection

    def _release(self, connection: HttpConnection) -> None:
        if not connection.is_usable():
            return
        idle_connections = self.idle.setdefault(connection.address, [])
        if len(idle_connections) < MAX_IDLE_PER_PEER:
            idle_connections.append(connection)
        else:
            connection.close()


def has_unread_input(connection: HttpConnection) -> bool:
    """Whether the peer closed the idle connection or sent unrequested data."""
    return connection.stream is None or connection.stream.has_input()

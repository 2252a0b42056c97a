"""An HTTP client with kept-alive connections, for calls between processes."""

import http.client
import socket
import time
import warnings

from ..internal.validation import split_address
from .codec import Message, decode, encode
from .errors import ErrorReply, NoReply, NotSent

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    from eventlet.green.http.client import HTTPConnection

from ..internal.loop import LoopTimeout

MAX_IDLE_PER_PEER = 16


class HttpConnection:
    """One TCP connection to a peer; closed on any doubt."""

    __slots__ = ("address", "connection")

    def __init__(self, address: str):
        self.address = address
        host, port = split_address(address)
        self.connection = HTTPConnection(host, port)

    def connect(self, timeout_s: float) -> None:
        """Opens the connection.

        :raises NotSent: if it can't be opened in time.
        """
        self.connection.timeout = max(timeout_s, 0.001)
        try:
            self.connection.connect()
            self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.close()
            raise NotSent(f"{self.address}: {error}") from error

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends one request and reads the whole reply.

        :param timeout_s: limit for the whole exchange, in seconds.
        :returns: status and body.
        :raises NoReply: if no whole reply came in time; the connection is closed.
        """
        try:
            with LoopTimeout(max(timeout_s, 0.001)):
                self.connection.request(method, path, body or None, headers or {})
                response = self.connection.getresponse()
                return response.status, response.read()
        except (OSError, http.client.HTTPException, LoopTimeout) as error:
            self.close()
            raise NoReply(f"{self.address}{path}: {error!r}") from error
        except BaseException:
            # A killed task leaves a half-read reply behind, which must not meet
            # the next request.
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()

    def is_usable(self) -> bool:
        """Whether the connection is still open on this side."""
        return self.connection.sock is not None


class Client:
    """Keeps idle connections by peer and makes typed calls."""

    __slots__ = ("idle",)

    def __init__(self):
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
        """Posts ``message``, or gets if it is ``None``, and decodes the reply.

        :raises NotSent: if the peer could not be reached.
        :raises NoReply: if the peer may have acted on it, but did not answer.
        :raises ErrorReply: if the peer refused.
        :raises BadMessage: if the reply has the wrong shape.
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
        deadline = time.monotonic() + timeout_s
        connection = self._take(address, timeout_s)
        remaining = deadline - time.monotonic()
        answer = connection.exchange(method, path, body, remaining, headers)
        self._give_back(connection)
        return answer

    def _take(self, address: str, timeout_s: float) -> HttpConnection:
        waiting = self.idle.get(address)
        while waiting:
            connection = waiting.pop()
            if connection.is_usable() and not has_unread(connection):
                return connection
            connection.close()
        connection = HttpConnection(address)
        connection.connect(timeout_s)
        return connection

    def _give_back(self, connection: HttpConnection) -> None:
        if not connection.is_usable():
            return
        waiting = self.idle.setdefault(connection.address, [])
        if len(waiting) < MAX_IDLE_PER_PEER:
            waiting.append(connection)
        else:
            connection.close()


def has_unread(connection: HttpConnection) -> bool:
    """Whether the peer closed the idle connection or sent what nobody asked for."""
    # The socket under the loop's own never blocks, so one call tells.
    raw = connection.connection.sock.fd
    try:
        raw.recv(1, socket.MSG_PEEK)
        return True
    except BlockingIOError:
        return False
    except OSError:
        return True

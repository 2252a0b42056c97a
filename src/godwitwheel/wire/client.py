"""An HTTP client with kept-alive connections, for calls between processes."""

import contextlib
import http.client
import socket
import struct
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
# Value of ``SO_LINGER``: closing discards unsent data and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HttpConnection:
    """One TCP connection to a peer; closed after any error or incomplete reply.

    :ivar resets_failed: whether it is reset then, so that a request that has not left
        this VM, or is held up on its way, is not sent any more.
    """

    __slots__ = ("address", "connection", "resets_failed")

    def __init__(self, address: str, resets_failed: bool = False):
        self.address = address
        self.resets_failed = resets_failed
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
        """Sends one request and reads the complete reply.

        :param timeout_s: limit for the whole exchange, in seconds.
        :returns: status and body.
        :raises NoReply: if no complete reply arrived in time; the connection is
            closed.
        """
        try:
            with LoopTimeout(max(timeout_s, 0.001)):
                self.connection.request(method, path, body or None, headers or {})
                response = self.connection.getresponse()
                return response.status, response.read()
        except (OSError, http.client.HTTPException, LoopTimeout) as error:
            if self.resets_failed:
                self._reset_on_close()
            self.close()
            raise NoReply(f"{self.address}{path}: {error!r}") from error
        except BaseException:
            # A killed task leaves a partly read reply on the connection, which must
            # not be read as the reply to the next request.
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()

    def _reset_on_close(self) -> None:
        if self.connection.sock is None:
            return
        # Fails only on a connection that the peer has reset.
        with contextlib.suppress(OSError):
            self.connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    def is_usable(self) -> bool:
        """Whether the connection is still open on this side."""
        return self.connection.sock is not None


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
        deadline = time.monotonic() + timeout_s
        connection = self._acquire(address, timeout_s)
        remaining = deadline - time.monotonic()
        answer = connection.exchange(method, path, body, remaining, headers)
        self._release(connection)
        return answer

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
    # The raw socket below eventlet's wrapper never blocks, so one recv suffices.
    raw_socket = connection.connection.sock.fd
    try:
        raw_socket.recv(1, socket.MSG_PEEK)
        return True
    except BlockingIOError:
        return False
    except OSError:
        return True

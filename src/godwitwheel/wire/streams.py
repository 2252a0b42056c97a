"""Plain TCP streams on the event loop: buffered lines, deadlines, and a listener."""

import contextlib
import struct
import time
import warnings
from collections.abc import Callable, Iterator

from ..internal.errors import InvalidValue
from ..internal.loop import Task, spawn
from ..internal.validation import check_address, split_address
from .errors import WireError

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet
    from eventlet.green import socket

RECEIVE_BYTES = 16 * 1024
LISTEN_BACKLOG = 1024
# A connection is closed once sent data stays unacknowledged for this long.
USER_TIMEOUT_MS = 5000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
# Ends a line of every protocol here; a lone CR or LF is part of the line.
LINE_END = b"\r\n"
# Value of ``SO_LINGER`` for a timeout of 0.
LINGER_WITH_RESET = struct.pack("ii", 1, 0)


class StreamClosed(WireError):
    """The peer closed the stream, or it broke."""


class StreamTimeout(WireError):
    """The peer sent no data, or accepted none, in time."""


class UnusableAddress(StreamClosed):
    """An address to connect to is not an ``IP:PORT``."""


class ProtocolError(StreamClosed):
    """The peer violated its protocol, and the stream was closed."""


class LineTooLong(WireError):
    """A line is longer than the reader's limit."""


class Stream:
    """One TCP connection, read by lines.

    :ivar buffer: received bytes that have not been read yet.
    """

    __slots__ = ("socket", "buffer")

    def __init__(self, connected: socket.socket):
        self.socket = connected
        self.buffer = bytearray()
        set_stream_options(connected)

    def read_line(self, timeout_s: float | None, max_bytes: int) -> bytes:
        """Returns the next line without its end, CR LF.

        :param timeout_s: limit for the whole line, ``None`` for no limit.
        :param max_bytes: longest line, without its end.
        :raises StreamTimeout: if the line is not complete in time.
        :raises StreamClosed: if the peer closes the stream first.
        :raises LineTooLong: if it is longer.
        """
        deadline = _deadline_after(timeout_s)
        line = self.read_through(LINE_END, deadline, max_bytes + len(LINE_END))
        return line[: -len(LINE_END)]

    def read_through(self, end: bytes, deadline: float | None, max_bytes: int) -> bytes:
        """Returns the data up to and including ``end``.

        :param deadline: in seconds of the monotonic clock, ``None`` for no limit.
        :raises StreamTimeout: if ``end`` does not arrive in time.
        :raises StreamClosed: if the peer closes the stream first.
        :raises LineTooLong: if it has more than ``max_bytes``.
        """
        searched = 0
        while (index := self.buffer.find(end, searched)) < 0:
            if len(self.buffer) >= max_bytes:
                raise LineTooLong(f"expected at most {max_bytes} bytes")
            # The end may have arrived in part.
            searched = max(len(self.buffer) - len(end) + 1, 0)
            self._receive(deadline)
        size = index + len(end)
        if size > max_bytes:
            raise LineTooLong(f"got {size} bytes, expected at most {max_bytes}")
        return self._take(size)

    def read_bytes(self, count: int, timeout_s: float) -> bytes:
        """Returns the next ``count`` bytes.

        :param timeout_s: limit for the peer to send any more data, in seconds.
        :raises StreamTimeout: if the peer sends nothing in time.
        :raises StreamClosed: if the peer closes the stream first.
        """
        while len(self.buffer) < count:
            self._receive(time.monotonic() + timeout_s)
        return self._take(count)

    def receive(self, deadline: float) -> bytes:
        """Returns data as soon as there is some.

        :param deadline: in seconds of the monotonic clock.
        :raises StreamTimeout: if none arrives in time.
        :raises StreamClosed: if the peer closes the stream.
        """
        if not self.buffer:
            self._receive(deadline)
        return self._take(len(self.buffer))

    def wait_for_input(self, timeout_s: float | None) -> None:
        """Returns once there is data to read.

        :param timeout_s: ``None`` for no limit.
        :raises StreamTimeout: if none arrives in time.
        :raises StreamClosed: if the peer closes the stream.
        """
        if not self.buffer:
            self._receive(_deadline_after(timeout_s))

    def _take(self, count: int) -> bytes:
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def write(self, data: bytes, timeout_s: float) -> None:
        """Sends all of ``data``.

        :raises StreamTimeout: if the peer does not accept it in time.
        :raises StreamClosed: if the stream is broken.
        """
        try:
            self.socket.settimeout(timeout_s)
            self.socket.sendall(data)
        except TimeoutError as error:
            raise StreamTimeout("the peer takes no bytes") from error
        except OSError as error:
            raise StreamClosed(str(error)) from error

    def has_input(self) -> bool:
        """Whether data or the end of the stream can be read without waiting."""
        if self.buffer:
            return True
        try:
            # The raw socket below eventlet's wrapper never blocks, so one recv
            # suffices.
            self.socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_ended(self) -> bool:
        """Whether the peer has closed its sending side, and all of it has been read."""
        if self.buffer:
            return False
        try:
            return not self.socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def shut_down(self) -> None:
        """Shuts down both directions, which wakes a task that waits for data."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def reset_on_close(self) -> None:
        """Lets :meth:`close` discard unsent data and reset the connection."""
        # Fails only on a connection that the peer has reset.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET
            )

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    def _receive(self, deadline: float | None) -> None:
        remaining_s = None if deadline is None else seconds_left(deadline)
        try:
            self.socket.settimeout(remaining_s)
            data = self.socket.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            raise StreamTimeout("no whole line in time") from error
        except OSError as error:
            raise StreamClosed(str(error)) from error
        if not data:
            raise StreamClosed("the peer closed the connection")
        self.buffer += data


def _deadline_after(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else time.monotonic() + timeout_s


def set_stream_options(connected: socket.socket) -> None:
    """Sends small messages without delay and detects a dead peer."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        # Setting an option fails on a connection that the peer has reset.
        with contextlib.suppress(OSError):
            connected.setsockopt(level, option, value)


def seconds_left(deadline: float) -> float:
    """Returns the seconds until a deadline of the monotonic clock, never 0."""
    return max(deadline - time.monotonic(), 0.001)


def open_stream(address: str, timeout_s: float) -> Stream:
    """Connects to ``IP:PORT``.

    :raises StreamTimeout: if it does not answer in time.
    :raises StreamClosed: if it refuses.
    :raises UnusableAddress: if ``address`` is anything else, such as a host name: peers
        announce addresses, and a name lookup would block the event loop.
    """
    try:
        check_address(address, "address")
    except InvalidValue as error:
        raise UnusableAddress(str(error)) from error
    connecting = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connecting.settimeout(max(timeout_s, 0.001))
        connecting.connect(split_address(address))
    except TimeoutError as error:
        connecting.close()
        raise StreamTimeout(f"{address}: no answer in {timeout_s:.3f} s") from error
    except OSError as error:
        connecting.close()
        raise StreamClosed(f"{address}: {error}") from error
    except BaseException:
        connecting.close()
        raise
    return Stream(connecting)


class StreamServer:
    """Accepts connections and serves each in its own task.

    :ivar on_error: called with each error of accepting a connection, and with each
        unexpected error of a handler.
    """

    __slots__ = ("handler", "on_error", "listener", "task", "address")

    def __init__(
        self, handler: Callable[[Stream], None], on_error: Callable[[Exception], None]
    ):
        self.handler = handler
        self.on_error = on_error
        self.listener: socket.socket | None = None
        self.task: Task | None = None
        self.address = ""

    @contextlib.contextmanager
    def listening(self, address: str) -> Iterator["StreamServer"]:
        """Serves on ``IP:PORT`` (port 0 picks a free one) inside the block.

        :raises OSError: if the address can't be used; the error names it.
        """
        try:
            self.listener = eventlet.listen(
                split_address(address), backlog=LISTEN_BACKLOG, reuse_port=False
            )
        except OSError as error:
            raise OSError(error.errno, error.strerror, address) from error
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.task = spawn(self._accept)
        try:
            yield self
        finally:
            self.stop_accepting()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self.task.kill()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connected, _ = self.listener.accept()
            except OSError as error:
                # The peer disconnected before it was accepted, or no file descriptor
                # is free.
                self.on_error(error)
                eventlet.sleep(0.05)
                continue
            spawn(self._serve, connected)

    def _serve(self, connected: socket.socket) -> None:
        stream = Stream(connected)
        try:
            self.handler(stream)
        except WireError:
            # The stream failed or timed out; the handler has already reacted to it.
            pass
        except Exception as error:
            self.on_error(error)
        finally:
            stream.close()

"""Relays every connection between the processes, and breaks them as it is told."""

import contextlib
import socket as plain_socket
import struct

from godwitwheel.internal.loop import Event, sleep, spawn
from godwitwheel.wire.streams import Stream, StreamServer, open_stream

# A process reaches PORT of another through the relay at PORT + this.
PORT_OFFSET = 10_000
CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Pair:
    """A relayed connection.

    :ivar is_silent: it passes nothing any more, without an end.
    """

    __slots__ = ("source", "destination", "near", "far", "is_silent")

    def __init__(self, source: str, destination: str, near: Stream, far: Stream):
        self.source = source
        self.destination = destination
        self.near = near
        self.far = far
        self.is_silent = False

    def reset(self) -> None:
        """Ends it in both directions with a reset."""
        for stream in (self.near, self.far):
            with contextlib.suppress(OSError):
                stream.socket.setsockopt(
                    plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
                )
            stream.shut_down()


class Links:
    """The state of the links between hosts, each named by its IP address.

    :ivar cut: directions, as source and destination, in which nothing passes.
    :ivar delay_s: what each direction adds, in seconds.
    :ivar pairs: open connections.
    """

    __slots__ = ("cut", "delay_s", "pairs", "changed")

    def __init__(self):
        self.cut: set[tuple[str, str]] = set()
        self.delay_s: dict[tuple[str, str], float] = {}
        self.pairs: set[Pair] = set()
        self.changed = Event()

    def cut_way(self, source: str, destination: str) -> None:
        """Stops one direction."""
        self.cut.add((source, destination))

    def heal(self) -> None:
        """Lets everything pass again, but for connections that were silenced."""
        self.cut.clear()
        self.delay_s.clear()
        changed, self.changed = self.changed, Event()
        changed.send()

    def of_host(self, host: str) -> list[Pair]:
        """Returns the connections of a host."""
        return [pair for pair in self.pairs if host in (pair.source, pair.destination)]

    def pass_on(self, source: str, destination: str) -> None:
        """Returns once bytes may go on."""
        sleep(self.delay_s.get((source, destination), 0.0))
        while (source, destination) in self.cut:
            self.changed.wait()


class Relay:
    """Listens for one address of one host."""

    __slots__ = ("host", "port", "links", "server")

    def __init__(self, host: str, port: int, links: Links, on_error):
        self.host = host
        self.port = port
        self.links = links
        self.server = StreamServer(self._serve, on_error)

    def listening(self):
        """Relays inside the block."""
        return self.server.listening(f"{self.host}:{self.port + PORT_OFFSET}")

    def _serve(self, near: Stream) -> None:
        source = near.socket.getpeername()[0]
        self.links.pass_on(source, self.host)
        far = open_stream(f"{self.host}:{self.port}", CONNECT_TIMEOUT_S)
        pair = Pair(source, self.host, near, far)
        self.links.pairs.add(pair)
        try:
            back = spawn(self._pump, pair, far, near, self.host, source)
            self._pump(pair, near, far, source, self.host)
            back.wait()
        finally:
            self.links.pairs.discard(pair)
            far.close()

    def _pump(
        self, pair: Pair, come: Stream, go: Stream, source: str, destination: str
    ) -> None:
        try:
            while chunk := come.socket.recv(CHUNK_BYTES):
                if pair.is_silent:
                    continue
                self.links.pass_on(source, destination)
                go.socket.sendall(chunk)
            self.links.pass_on(source, destination)
        except OSError:
            # The other direction learns of it below.
            pass
        if not pair.is_silent:
            go.shut_down()

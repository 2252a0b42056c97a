"""Relays all connections between the processes; faults delay, block or reset them."""

import contextlib
import socket as plain_socket
import struct

from godwitwheel.internal.loop import Event, sleep, spawn
from godwitwheel.wire.streams import Stream, StreamServer, open_stream

# A process reaches port P of another through the relay, at port P + PORT_OFFSET.
PORT_OFFSET = 10_000
CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RelayedConnection:
    """A relayed connection.

    :ivar is_discarding: it stays open, but all data that it receives is discarded.
    """

    __slots__ = (
        "source",
        "destination",
        "source_stream",
        "destination_stream",
        "is_discarding",
    )

    def __init__(
        self,
        source: str,
        destination: str,
        source_stream: Stream,
        destination_stream: Stream,
    ):
        self.source = source
        self.destination = destination
        self.source_stream = source_stream
        self.destination_stream = destination_stream
        self.is_discarding = False

    def reset(self) -> None:
        """Ends the connection in both directions with a TCP reset."""
        for stream in (self.source_stream, self.destination_stream):
            with contextlib.suppress(OSError):
                stream.socket.setsockopt(
                    plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE
                )
            stream.shut_down()


class Links:
    """The state of the links between hosts, each named by its IP address.

    :ivar blocked: blocked directions, as source and destination.
    :ivar delay_s: delay of each direction, by source and destination, in seconds.
    :ivar connections: open connections.
    :ivar changed: event of the next :meth:`heal`, which triggers and replaces it.
    """

    __slots__ = ("blocked", "delay_s", "connections", "changed")

    def __init__(self):
        self.blocked: set[tuple[str, str]] = set()
        self.delay_s: dict[tuple[str, str], float] = {}
        self.connections: set[RelayedConnection] = set()
        self.changed = Event()

    def block(self, source: str, destination: str) -> None:
        """Blocks one direction; its data waits in the relay."""
        self.blocked.add((source, destination))

    def heal(self) -> None:
        """Removes all blocks and delays; discarding connections stay so."""
        self.blocked.clear()
        self.delay_s.clear()
        changed, self.changed = self.changed, Event()
        changed.send()

    def connections_of(self, host: str) -> list[RelayedConnection]:
        """Returns the open connections of a host."""
        return [
            connection
            for connection in self.connections
            if host in (connection.source, connection.destination)
        ]

    def wait_to_forward(self, source: str, destination: str) -> None:
        """Waits for the direction's delay, and for as long as it is blocked."""
        sleep(self.delay_s.get((source, destination), 0.0))
        while (source, destination) in self.blocked:
            self.changed.wait()


class Relay:
    """Listens in front of one port of one host."""

    __slots__ = ("host", "port", "links", "server")

    def __init__(self, host: str, port: int, links: Links, on_error):
        self.host = host
        self.port = port
        self.links = links
        self.server = StreamServer(self._serve, on_error)

    def listening(self):
        """Relays connections inside the ``with`` block."""
        return self.server.listening(f"{self.host}:{self.port + PORT_OFFSET}")

    def _serve(self, source_stream: Stream) -> None:
        source = source_stream.socket.getpeername()[0]
        self.links.wait_to_forward(source, self.host)
        destination_stream = open_stream(f"{self.host}:{self.port}", CONNECT_TIMEOUT_S)
        connection = RelayedConnection(
            source, self.host, source_stream, destination_stream
        )
        self.links.connections.add(connection)
        try:
            replies = spawn(
                self._forward,
                connection,
                destination_stream,
                source_stream,
                self.host,
                source,
            )
            self._forward(
                connection, source_stream, destination_stream, source, self.host
            )
            replies.wait()
        finally:
            self.links.connections.discard(connection)
            destination_stream.close()

    def _forward(
        self,
        connection: RelayedConnection,
        incoming: Stream,
        outgoing: Stream,
        source: str,
        destination: str,
    ) -> None:
        try:
            while chunk := incoming.socket.recv(CHUNK_BYTES):
                if connection.is_discarding:
                    continue
                self.links.wait_to_forward(source, destination)
                outgoing.socket.sendall(chunk)
            self.links.wait_to_forward(source, destination)
        except OSError:
            # The shutdown below passes the end on to the other side.
            pass
        if not connection.is_discarding:
            outgoing.shut_down()

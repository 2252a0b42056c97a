"""A TCP relay between a deployment's processes that can cut and delay their links.

One process relays for all: each destination has a listener here, and the source
address of a connection identifies the process that opened it. While a link is cut,
its connections and their bytes are held, as in a network partition; they are
delivered when the link is healed.
"""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import argparse  # noqa: E402
import contextlib  # noqa: E402
import resource  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import traceback  # noqa: E402

import eventlet  # noqa: E402

from godwitwheel.internal.loop import Event, sleep, spawn  # noqa: E402
from godwitwheel.internal.validation import split_address  # noqa: E402
from godwitwheel.wire.codec import decode  # noqa: E402
from godwitwheel.wire.server import Request, Response, Server  # noqa: E402

from .links import Links, SetLinks  # noqa: E402

CALLER = "caller"
CHUNK_BYTES = 64 * 1024
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_S = 0.1


class Relay:
    """Accepts and relays the connections to one destination.

    :ivar sources: process ids by source IP address.
    """

    __slots__ = ("destination_id", "destination", "sources", "links")

    def __init__(
        self,
        destination_id: str,
        destination: str,
        sources: dict[str, str],
        links: Links,
    ):
        self.destination_id = destination_id
        self.destination = destination
        self.sources = sources
        self.links = links

    def accept_forever(self, listener: socket.socket) -> None:
        """Accepts connections and relays each in a task of its own."""
        while True:
            try:
                accepted, peer = listener.accept()
            except OSError as error:
                # A failed accept must not end the listener: in one run the relay ran
                # out of file descriptors and its links stayed down for good.
                traceback.print_exception(error)
                sleep(ACCEPT_RETRY_S)
                continue
            source = self.sources.get(peer[0], CALLER)
            spawn(self._relay, accepted, frozenset((source, self.destination_id)))

    def _relay(self, accepted: socket.socket, pair: frozenset[str]) -> None:
        self.links.wait_for_link(pair)
        try:
            upstream = eventlet.connect(split_address(self.destination))
        except OSError:
            _reset(accepted)
            return
        for connection in (accepted, upstream):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        spawn(self._forward, upstream, accepted, pair)
        self._forward(accepted, upstream, pair)

    def _forward(
        self, incoming: socket.socket, outgoing: socket.socket, pair: frozenset
    ) -> None:
        try:
            while chunk := incoming.recv(CHUNK_BYTES):
                self.links.wait_for_link(pair)
                outgoing.sendall(chunk)
            self.links.wait_for_link(pair)
        except OSError:
            self.links.wait_for_link(pair)
        # Each socket is closed by the task that reads it: the loop breaks if a
        # socket is closed while another task reads it.
        _shut_down(incoming)
        _shut_down(outgoing)
        incoming.close()


def _listen(address: str) -> socket.socket:
    # A connection that overflows the backlog waits a second until its SYN is resent.
    return eventlet.listen(split_address(address), backlog=LISTEN_BACKLOG)


def _reset(connection: socket.socket) -> None:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def _shut_down(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def _raise_descriptor_limit() -> None:
    """Raises the descriptor limit for the connections that a cut link holds open."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def serve(options: argparse.Namespace) -> None:
    """Relays until the process is ended."""
    _raise_descriptor_limit()
    links = Links()
    sources = dict(source.split("=") for source in options.source)
    for link in options.link:
        destination_id, listen, destination = link.split("=")
        relay = Relay(destination_id, destination, sources, links)
        spawn(relay.accept_forever, _listen(listen))

    def set_links(request: Request) -> Response:
        links.replace(decode(request.body, SetLinks))
        return Response({})

    routes = {("POST", "/links"): set_links}
    with Server(routes, traceback.print_exception).listening(options.control):
        Event().wait()


def main() -> int:
    """Parses the command line and serves."""
    parser = argparse.ArgumentParser(prog="bench.relay", description=__doc__)
    parser.add_argument(
        "--control", required=True, help="IP:PORT on which the links are set"
    )
    parser.add_argument("--link", action="append", help="ID=LISTEN=DESTINATION")
    parser.add_argument("--source", action="append", help="IP=ID")
    serve(parser.parse_args())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A TCP relay between the processes of a deployment, with switchable links.

One process relays for all: each destination has a listener here, and the source
address of a connection tells which process opened it. A cut link keeps its
connections and their bytes back, as a network partition does, and lets them go
on when it is healed.
"""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library()

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
    """Listens for one destination."""

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
        """Relays every connection in a task of its own."""
        while True:
            try:
                accepted, peer = listener.accept()
            except OSError as error:
                # An accept that fails must not end the listener: one run lost
                # its links for good when the relay was out of descriptors.
                traceback.print_exception(error)
                sleep(ACCEPT_RETRY_S)
                continue
            source = self.sources.get(peer[0], CALLER)
            spawn(self._relay, accepted, frozenset((source, self.destination_id)))

    def _relay(self, accepted: socket.socket, pair: frozenset[str]) -> None:
        self.links.hold_back(pair)
        try:
            onward = eventlet.connect(split_address(self.destination))
        except OSError:
            _reset(accepted)
            return
        for end in (accepted, onward):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        spawn(self._pump, onward, accepted, pair)
        self._pump(accepted, onward, pair)

    def _pump(self, come: socket.socket, go: socket.socket, pair: frozenset) -> None:
        try:
            while chunk := come.recv(CHUNK_BYTES):
                self.links.hold_back(pair)
                go.sendall(chunk)
            self.links.hold_back(pair)
        except OSError:
            self.links.hold_back(pair)
        # Each end is closed by the task that reads it: the loop does not survive
        # a close under another task's read.
        _shut_down(come)
        _shut_down(go)
        come.close()


def _listen(address: str) -> socket.socket:
    # A burst that overflows the backlog waits a second for its second SYN.
    return eventlet.listen(split_address(address), backlog=LISTEN_BACKLOG)


def _reset(end: socket.socket) -> None:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    end.close()


def _shut_down(end: socket.socket) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)


def _raise_descriptor_limit() -> None:
    """Makes room for the connections that a cut link holds back."""
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
    parser.add_argument("--control", required=True, help="IP:PORT of its interface")
    parser.add_argument("--link", action="append", help="ID=LISTEN=DESTINATION")
    parser.add_argument("--source", action="append", help="IP=ID")
    serve(parser.parse_args())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Costs of a proxy's control traffic, and of an HTTP exchange."""

import contextlib
import socket

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.internal.validation import split_address
from godwitwheel.targets.http_target import HttpTargetAdmin
from godwitwheel.wire.client import Client
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.control import ClusterView, Watch, WatchReply
from godwitwheel.wire.errors import NoReply
from godwitwheel.wire.server import Request, Response, Server

from .fit import processor_us
from .stand_ins import Control, commit_targets, heartbeat, target_status

EXCHANGES = 1_000
RECEIVE_BYTES = 65_536
TIMEOUT_S = 5.0


def heartbeat_us(targets: int) -> float:
    """Returns the processor time to build and encode a heartbeat."""
    built = heartbeat(1, targets, 1, 1)
    return processor_us(lambda: encode(built), 200)


def view_bytes(targets: int) -> int:
    """Returns the size of a complete view on the wire."""
    control = Control()
    commit_targets(control, targets)
    body = encode(control.state.cluster.view)
    decode(body, ClusterView)
    return len(body)


def http_exchange_us() -> float:
    """Returns the processor time of a small exchange, of both ends together."""

    def answer(request: Request) -> Response:
        decode(request.body, Watch)
        return Response(WatchReply(1, 1))

    server = Server({("POST", "/v1/watch"): answer}, print)
    with server.listening("127.0.0.1:0"), Client() as client:
        message = Watch(0, 0, 1)

        def exchange_once() -> None:
            client.call(server.address, "/v1/watch", message, WatchReply, TIMEOUT_S)

        exchange_once()
        sleep(0)
        return processor_us(exchange_once, EXCHANGES)


def http_overhead_bytes() -> int:
    """Returns the bytes that HTTP adds to an exchange's bodies, without TCP and IP."""
    requests = []

    def receive_request(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        requests.append(connection.recv(RECEIVE_BYTES))
        connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener, Client() as client:
        receiver = spawn(receive_request, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with contextlib.suppress(NoReply):
            client.exchange(address, "POST", "/v1/heartbeat", b"{}", TIMEOUT_S)
        receiver.wait()
    server = Server({("POST", "/v1/heartbeat"): lambda request: Response({})}, print)
    with (
        server.listening("127.0.0.1:0"),
        socket.create_connection(split_address(server.address)) as connection,
    ):
        connection.sendall(requests[0])
        reply = connection.recv(RECEIVE_BYTES)
    return len(requests[0]) - len(b"{}") + len(reply) - len(b"{}")


def probe_us() -> float:
    """Returns the processor time of a probe, including the target's side."""
    status = target_status(0)
    server = Server({("GET", "/v1/status"): lambda request: Response(status)}, print)
    with server.listening("127.0.0.1:0"), Client() as client:
        admin = HttpTargetAdmin(client)
        return processor_us(lambda: admin.status(server.address, TIMEOUT_S), EXCHANGES)

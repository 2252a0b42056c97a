"""What a proxy pays for control, and what an exchange over HTTP costs."""

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
    """Returns the size of a whole view on the wire."""
    control = Control()
    commit_targets(control, targets)
    body = encode(control.state.cluster.view)
    decode(body, ClusterView)
    return len(body)


def http_exchange_us() -> float:
    """Returns the processor time of a small exchange, client and server together."""

    def answer(request: Request) -> Response:
        decode(request.body, Watch)
        return Response(WatchReply(1, 1))

    server = Server({("POST", "/v1/watch"): answer}, print)
    with server.listening("127.0.0.1:0"), Client() as client:
        message = Watch(0, 0, 1)

        def one() -> None:
            client.call(server.address, "/v1/watch", message, WatchReply, TIMEOUT_S)

        one()
        sleep(0)
        return processor_us(one, EXCHANGES)


def http_overhead_bytes() -> int:
    """Returns what HTTP adds to the bodies of an exchange, TCP and IP apart."""
    requests = []

    def keep_request(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        requests.append(connection.recv(RECEIVE_BYTES))
        connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener, Client() as client:
        keeper = spawn(keep_request, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with contextlib.suppress(NoReply):
            client.exchange(address, "POST", "/v1/heartbeat", b"{}", TIMEOUT_S)
        keeper.wait()
    server = Server({("POST", "/v1/heartbeat"): lambda request: Response({})}, print)
    with (
        server.listening("127.0.0.1:0"),
        socket.create_connection(split_address(server.address)) as connection,
    ):
        connection.sendall(requests[0])
        reply = connection.recv(RECEIVE_BYTES)
    return len(requests[0]) - len(b"{}") + len(reply) - len(b"{}")


def probe_us() -> float:
    """Returns the processor time of a probe, with the target's side in it."""
    status = target_status(0)
    server = Server({("GET", "/v1/status"): lambda request: Response(status)}, print)
    with server.listening("127.0.0.1:0"), Client() as client:
        admin = HttpTargetAdmin(client)
        return processor_us(lambda: admin.status(server.address, TIMEOUT_S), EXCHANGES)

"""The HTTP server refuses bad input and keeps serving; client errors are typed."""

import pytest

from godwitwheel.wire.client import Client
from godwitwheel.wire.control import Watch, WatchReply
from godwitwheel.wire.errors import ErrorReply, NoReply, NotSent
from godwitwheel.wire.server import MAX_BODY_BYTES, Response, Server
from tests.common.processes import free_port


@pytest.fixture
def server():
    errors = []

    def watch(request):
        return Response(WatchReply(view_version=1, revision=2))

    def broken(request):
        raise RuntimeError("boom")

    routes = {("POST", "/v1/watch"): watch, ("POST", "/v1/broken"): broken}
    with Server(routes, errors.append).listening("127.0.0.1:0") as running:
        yield running


MESSAGE = Watch(view_version=0, revision=0, timeout_ms=1)


def test_call_returns_the_typed_reply(server):
    with Client() as client:
        for _ in range(3):
            reply = client.call(server.address, "/v1/watch", MESSAGE, WatchReply, 5.0)
    assert reply.revision == 2


def test_refuses_an_oversized_body_and_keeps_serving(server):
    with Client() as client:
        body = b"x" * (MAX_BODY_BYTES + 1)
        try:
            status, _ = client.exchange(server.address, "POST", "/v1/watch", body, 5.0)
            assert status == 413
        except NoReply:
            # The server may close before the whole body is sent.
            pass
        client.call(server.address, "/v1/watch", MESSAGE, WatchReply, 5.0)


@pytest.mark.parametrize("path, status", [("/v1/none", 404), ("/v1/broken", 500)])
def test_refusal_carries_its_status(server, path, status):
    with Client() as client, pytest.raises(ErrorReply) as caught:
        client.call(server.address, path, MESSAGE, WatchReply, 5.0)
    assert caught.value.status == status


def test_unreachable_peer_is_distinguished_from_a_lost_reply():
    with Client() as client, pytest.raises(NotSent):
        address = f"127.0.0.1:{free_port()}"
        client.call(address, "/v1/watch", MESSAGE, WatchReply, 5.0)


def test_idle_connection_that_the_peer_closed_is_not_reused(server):
    with Client() as client:
        client.call(server.address, "/v1/watch", MESSAGE, WatchReply, 5.0)
        (connection,) = client.idle[server.address]
        connection.stream.shut_down()
        reply = client.call(server.address, "/v1/watch", MESSAGE, WatchReply, 5.0)
    assert reply.view_version == 1

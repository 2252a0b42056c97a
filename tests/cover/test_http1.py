"""HTTP messages between processes, in pieces, malformed, or with more than was due."""

import eventlet.green.socket as socket
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.internal.loop import Event, sleep, spawn
from godwitwheel.wire.client import Client, HttpConnection
from godwitwheel.wire.errors import NoReply, NotSent
from godwitwheel.wire.http1 import (
    MalformedHttp,
    ResponseReader,
    format_request,
    format_response,
    parse_request_head,
)
from godwitwheel.wire.server import HttpProtocol, Response, Server
from godwitwheel.wire.streams import Stream, StreamClosed


class PiecesStream:
    """A stream that delivers given pieces, then ends."""

    def __init__(self, pieces):
        self.pieces = list(pieces)

    def receive(self, deadline):
        if not self.pieces:
            raise StreamClosed("ended")
        return self.pieces.pop(0)


def read_reply(*pieces):
    reader = ResponseReader()
    reader.read(PiecesStream(pieces), 0.0)
    return reader


REPLY = format_response(200, [("Content-Type", "application/json")], b'{"a":1}')


@given(st.lists(st.integers(1, len(REPLY) - 1), max_size=6))
def test_a_reply_is_read_whatever_its_pieces(cuts):
    bounds = sorted({0, len(REPLY), *cuts})
    pieces = [REPLY[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]
    reader = read_reply(*pieces)
    assert (reader.status, reader.body) == (200, b'{"a":1}')
    assert reader.keeps_connection


@pytest.mark.parametrize("surplus", [REPLY, REPLY[:9], b"x", b"HTTP/1.1 5"])
def test_a_connection_with_more_than_one_reply_is_not_used_again(surplus):
    reader = read_reply(REPLY + surplus)
    assert (reader.status, reader.body) == (200, b'{"a":1}')
    assert not reader.keeps_connection


def test_a_reply_that_closes_the_connection_says_so():
    reader = read_reply(format_response(503, [("Connection", "close")], b"{}"))
    assert reader.status == 503
    assert not reader.keeps_connection


def test_chunks_are_joined():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = read_reply(head, b"2\r\nab\r\n", b"1\r\nc\r\n0\r\n\r\n")
    assert reader.body == b"abc"
    assert reader.keeps_connection


def test_a_body_of_unknown_length_ends_with_the_connection():
    reader = read_reply(b"HTTP/1.1 200 OK\r\n\r\nab", b"c")
    assert (reader.status, reader.body) == (200, b"abc")
    assert not reader.keeps_connection


@pytest.mark.parametrize("cut", [0, 5, 40, len(REPLY) - 1])
def test_a_reply_that_is_cut_off_is_an_error(cut):
    with pytest.raises(StreamClosed):
        read_reply(REPLY[:cut])


def test_what_is_not_http_is_an_error():
    with pytest.raises(MalformedHttp):
        read_reply(b"nonsense\r\n\r\n")


def test_a_request_is_parsed_as_it_was_formatted():
    data = format_request("POST", "/v1/run?x=1", "10.0.0.1:7000", {"A-b": "c"}, b"hi")
    head = parse_request_head(data[:-2])
    assert (head.method, head.target) == ("POST", b"/v1/run?x=1")
    assert head.headers["a-b"] == "c"
    assert head.headers["content-length"] == "2"
    assert head.keeps_connection


@pytest.fixture
def server():
    def echo(request):
        header = request.header("A-B") or ""
        return Response({"body": request.body.decode(), "header": header})

    with Server({("POST", "/echo"): echo}, print).listening("127.0.0.1:0") as running:
        yield running


def lines_of(server, data):
    """Sends bytes, ends its side, and returns what arrives until the server closes."""
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port)), 5.0) as connection:
        received = []
        reader = spawn(receive_all, connection, received)
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        reader.wait()
    return b"".join(received)


def receive_all(connection, received):
    while data := connection.recv(4096):
        received.append(data)


def test_requests_that_are_sent_at_once_are_answered_in_order(server):
    requests = [
        format_request("POST", "/echo", "x", {"A-B": str(n)}, b"%d" % n)
        for n in range(3)
    ]
    answers = lines_of(server, b"".join(requests)).decode()
    bodies = [line for line in answers.split("\r\n") if line.startswith('{"body"')]
    assert [body.split("}")[0] for body in bodies] == [
        f'{{"body":"{n}","header":"{n}"' for n in range(3)
    ]


def test_a_chunked_request_is_refused(server):
    head = b"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert lines_of(server, head + b"2\r\nab\r\n0\r\n\r\n").startswith(b"HTTP/1.1 411")


def test_a_peer_that_waits_for_permission_gets_it(server):
    head = b"POST /echo HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    answers = lines_of(server, head + b"hi")
    assert answers.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")


def test_headers_without_end_are_refused(server):
    head = b"POST /echo HTTP/1.1\r\n" + b"A: b\r\n" * 20_000
    assert lines_of(server, head).startswith(b"HTTP/1.1 431")


def test_a_failing_protocol_does_not_end_the_server():
    errors = []

    class FailingProtocol(HttpProtocol):
        def environ_of(self, head, body):
            raise RuntimeError("boom")

    server = Server({}, errors.append, FailingProtocol)
    with server.listening("127.0.0.1:0"), Client() as client:
        for _ in range(2):
            with pytest.raises(NoReply):
                client.exchange(server.address, "POST", "/", b"", 5.0)
    assert len(errors) == 2


def test_a_failed_call_of_a_resetting_client_resets_the_connection(monkeypatch):
    near, far = socket.socketpair()
    connection = HttpConnection("10.0.0.1:1", resets_failed=True)
    connection.stream = Stream(near)
    resets = []
    monkeypatch.setattr(Stream, "reset_on_close", lambda stream: resets.append(1))
    with pytest.raises(NoReply):
        connection.exchange("POST", "/", b"", 0.01)
    assert len(resets) == 1
    assert not connection.is_usable()
    far.close()


def test_a_server_that_has_ended_closes_its_idle_connections():
    """A peer would otherwise go on calling what no longer runs."""
    server = Server({("GET", "/x"): lambda request: Response({})}, print)
    with Client() as client:
        with server.listening("127.0.0.1:0"):
            assert client.exchange(server.address, "GET", "/x", b"", 5.0)[0] == 200
        sleep(0.01)
        with pytest.raises(NotSent):
            client.exchange(server.address, "GET", "/x", b"", 5.0)


def test_a_server_that_ends_answers_the_requests_that_have_arrived():
    release = Event()
    served = []

    def wait(request):
        served.append(release.wait())
        return Response({})

    server = Server({("GET", "/x"): wait}, print)
    connection = None
    with server.listening("127.0.0.1:0"):
        connection = HttpConnection(server.address)
        connection.connect(5.0)
        task = spawn(connection.exchange, "GET", "/x", b"", 5.0)
        sleep(0.05)
    release.send(True)
    assert task.wait()[0] == 200
    assert not connection.is_usable()
    assert served == [True]


@pytest.mark.parametrize("value", ["a\r\nX: y", "a\nX: y", "a\rX: y", "\u20ac"])
def test_a_header_that_would_be_read_as_several_is_not_sent(value):
    with pytest.raises(NotSent):
        format_request("POST", "/failover", "10.0.0.1:80", {"Holder": value}, b"")
    with pytest.raises(NotSent):
        format_response(307, [("Location", value)], b"")


@pytest.mark.parametrize(
    "head",
    [
        b"GET /a HTTP/1.1\n\nGET /b HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX: y\n\nGET /b HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX: y\nZ: w\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX: y\rZ: w\r\n\r\n",
    ],
)
def test_a_head_with_a_lone_line_feed_or_cr_is_refused(head):
    # Two readers that end its lines differently would find different requests in it.
    with pytest.raises(MalformedHttp):
        parse_request_head(head)

"""Unreadable requests are refused as JSON and don't hold a connection open."""

import json

import pytest

from godwitwheel.internal.validation import split_address
from godwitwheel.wire import server as server_module
from godwitwheel.wire.server import Response, Server
from godwitwheel.wire.streams import StreamClosed, open_stream

TIMEOUT_S = 5.0


@pytest.fixture
def server(monkeypatch):
    monkeypatch.setattr(server_module, "HEADER_TIMEOUT_S", 0.1)

    def echo(request):
        return Response({"length": len(request.body)})

    with Server({("POST", "/echo"): echo}, print).listening("127.0.0.1:0") as running:
        yield running


def exchange(server, data):
    """Sends bytes and returns the lines received until the server closes."""
    stream = open_stream(server.address, TIMEOUT_S)
    stream.write(data, TIMEOUT_S)
    lines = []
    try:
        while True:
            lines.append(stream.read_line(TIMEOUT_S, 1 << 20).decode())
    except StreamClosed:
        lines.append(stream.buffer.decode())
    stream.close()
    return lines


def request(server, *headers, body=b""):
    host, port = split_address(server.address)
    head = [f"POST /echo HTTP/1.1\r\nHost: {host}:{port}", *headers, "", ""]
    return exchange(server, "\r\n".join(head).encode() + body)


def test_a_request_is_answered(server):
    lines = request(server, "Content-Length: 2", "Connection: close", body=b"hi")
    assert lines[0].startswith("HTTP/1.1 200")


def test_two_lengths_that_differ_are_refused(server):
    lines = request(server, "Content-Length: 2", "Content-Length: 40", body=b"hi")
    assert lines[0].startswith("HTTP/1.1 400")
    assert "Content-Length" in json.loads(lines[-1])["message"]


def test_a_malformed_first_line_is_refused_as_json_and_not_printed(server, capsys):
    lines = exchange(server, b"NONSENSE\r\n\r\n")
    assert lines[0].startswith("HTTP/1.1 400")
    assert json.loads(lines[-1])["message"]
    assert capsys.readouterr().err == ""


def test_headers_that_never_end_do_not_hold_the_connection(server):
    lines = exchange(server, b"POST /echo HTTP/1.1\r\nHost: x\r\nX-Half: ")
    assert lines[0].startswith("HTTP/1.1 408")


def test_headers_whose_lines_end_with_lf_alone_do_not_hold_the_connection(server):
    lines = exchange(server, b"POST /echo HTTP/1.1\nHost: x\n\n")
    assert lines[0].startswith("HTTP/1.1 408")


def test_a_first_line_that_never_ends_does_not_hold_the_connection(server):
    assert exchange(server, b"POST /ec") == [""]

"""Malformed input to a proxy is refused with a clear error and changes no state."""

import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.internal.clock import BootClock
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.pools import TargetPools
from godwitwheel.proxy.process import Proxy
from godwitwheel.proxy.settings import ProxySettings
from godwitwheel.targets.http_target import HttpTargetConnection
from godwitwheel.wire.caller import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    SESSION_HEADER,
    CallerAnswer,
    CallerRequest,
    CallerStatement,
    Outcome,
)
from godwitwheel.wire.client import Client
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.control import ClusterView
from godwitwheel.wire.service import Access, Configuration, RequestRule, Service
from godwitwheel.wire.target import Role, TargetStatus
from tests.common.hostile import HEADER_TEXT, bodies, environ

REQUEST = encode(CallerRequest("kit", "stock", [CallerStatement("SELECT 1", [1])]))
STATUS = TargetStatus(
    "t1", "kits", "melilla", "127.0.0.1:9", Role.replica, 1, 2, 0, 2, 15
)
ANNOUNCEMENT = encode(STATUS)
RULES = {
    "stock": RequestRule("kits", Access.read),
    "order": RequestRule("kits", Access.write),
}


@pytest.fixture
def proxy():
    settings = ProxySettings("p1", "melilla", "127.0.0.1:1", ["127.0.0.1:2"])
    blackboard = Blackboard(ProxyIdentity("p1", 1, "melilla", "127.0.0.1:1"))
    blackboard.configuration = Configuration(1, "", {"kit": Service("kit", RULES)})
    blackboard.view = ClusterView(version=1, token_key="00" * 32)
    clock = BootClock()
    with (
        TargetPools(blackboard, HttpTargetConnection, clock) as pools,
        Client() as client,
    ):
        metrics = ProcessMetrics("p1", "proxy")
        yield Proxy(settings, clock, client, pools, metrics)


def respond(proxy, path, body, headers=None):
    failures = []
    proxy.server.on_error = failures.append
    response = proxy.server.respond(environ("POST", path, body, headers))
    assert failures == []
    return response


def assert_serves(proxy):
    answer = decode(respond(proxy, "/v1/request", REQUEST).body, CallerAnswer)
    assert answer.outcome is Outcome.not_run
    assert answer.reason == "no_primary"
    assert respond(proxy, "/v1/announce", ANNOUNCEMENT).status == 200


def test_caller_bodies(proxy):
    @settings(max_examples=300)
    @given(bodies(REQUEST))
    def run(body):
        response = respond(proxy, "/v1/request", body)
        answer = decode(response.body, CallerAnswer)
        assert answer.outcome is Outcome.not_run
        assert 400 <= response.status < 500 or answer.reason == "no_primary"
        assert answer.message
        assert_serves(proxy)

    run()


HEADERS = st.sampled_from([SESSION_HEADER, IDEMPOTENCY_KEY_HEADER, DEADLINE_HEADER])
TOKENS = st.binary(max_size=40).map(lambda raw: raw.hex()) | HEADER_TEXT


@pytest.mark.parametrize(
    "parameter", [b"[[1]]", b"[{}]", b"[9223372036854775808]", b"[1e999]"]
)
def test_parameters_that_no_column_holds_are_refused(proxy, parameter):
    response = respond(proxy, "/v1/request", REQUEST.replace(b"[1]", parameter))
    assert response.status == 400
    assert b"$.statements[0].parameters" in response.body or b"range" in response.body


def test_caller_headers(proxy):
    @given(HEADERS, TOKENS, st.sampled_from(["stock", "order"]))
    def run(name, text, request):
        body = REQUEST.replace(b"stock", request.encode())
        headers = {IDEMPOTENCY_KEY_HEADER: "k", SESSION_HEADER: "new", name: text}
        if request == "order" and name == IDEMPOTENCY_KEY_HEADER:
            # A good key would send a claim; the rest is refused before.
            headers[IDEMPOTENCY_KEY_HEADER] = text + " "
        with contextlib.ExitStack() as stack:
            response = respond(proxy, "/v1/request", body, headers)
            stack.callback(assert_serves, proxy)
        answer = decode(response.body, CallerAnswer)
        assert answer.outcome is Outcome.not_run
        assert response.status in (400, 503)

    run()


def test_announcements(proxy):
    @settings(max_examples=300)
    @given(bodies(ANNOUNCEMENT))
    def run(body):
        board = proxy.context.blackboard
        before = dict(board.announcements)
        response = respond(proxy, "/v1/announce", body)
        if response.status == 200:
            assert board.announcements
        else:
            assert 400 <= response.status < 500
            assert json.loads(response.body)["message"]
            assert board.announcements == before
        board.announcements.clear()
        assert_serves(proxy)

    run()


@pytest.mark.parametrize("length", ["x", "-1", "\u00b2", "1e3", "9" * 5_000, "999"])
def test_bad_lengths_are_refused(proxy, length):
    failures = []
    proxy.server.on_error = failures.append
    request = environ("POST", "/v1/announce", ANNOUNCEMENT)
    response = proxy.server.respond({**request, "CONTENT_LENGTH": length})
    assert 400 <= response.status < 500
    assert failures == []


@pytest.mark.parametrize(
    "method, path, status",
    [("GET", "/v1/request", 404), ("POST", "/v1/none", 404), ("PUT", "/metrics", 404)],
)
def test_other_interfaces_are_refused(proxy, method, path, status):
    assert proxy.server.respond(environ(method, path, b"")).status == status

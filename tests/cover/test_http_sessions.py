"""Interactive sessions over HTTP."""

import json

import pytest

from godwitwheel.sessions.http_api import SESSION_IDLE_S, HttpSessions
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.wire.client import Client
from godwitwheel.wire.server import Server
from tests.common.fake_sessions import FakeGroup, KeyedGroup

TIMEOUT_S = 5.0


class Caller:
    """Calls the interface over loopback."""

    def __init__(self, address, client):
        self.address = address
        self.client = client

    def call(self, method, path, **body):
        content = json.dumps(body).encode()
        status, reply = self.client.exchange(
            self.address, method, path, content, TIMEOUT_S
        )
        return status, json.loads(reply)

    def open(self, database="primary"):
        status, reply = self.call("POST", "/v1/sessions", database=database)
        assert status == 200
        return reply["session"]

    def run(self, session, kind, **fields):
        path = f"/v1/sessions/{session}/statements"
        status, answer = self.call("POST", path, kind=kind, **fields)
        assert status == 200
        return answer


@pytest.fixture
def served():
    group = FakeGroup()
    sessions = HttpSessions(group.context, RunnerSelector(group.context), "run1")
    errors = []
    server = Server(sessions.routes(), errors.append)
    with server.listening("127.0.0.1:0") as running, Client() as client:
        caller = Caller(running.address, client)
        caller.group = group
        caller.sessions = sessions
        yield caller
    assert errors == []


def test_a_key_over_http_names_the_account():
    group = KeyedGroup()
    sessions = HttpSessions(group.context, RunnerSelector(group.context), "run1")
    errors = []
    with (
        Server(sessions.routes(), errors.append).listening("127.0.0.1:0") as running,
        Client() as client,
    ):

        def open_with(key):
            body = json.dumps({"database": "primary"}).encode()
            headers = {"Authorization": f"Bearer {key}"}
            return client.exchange(
                running.address, "POST", "/v1/sessions", body, TIMEOUT_S, headers
            )

        assert open_with("k1")[0] == 200
        status, reply = open_with("k9")
        assert status == 401
        assert b"k9" not in reply
    assert errors == []


def test_a_transaction_over_http(served):
    session = served.open()
    assert served.run(session, "begin")["state"] == "open"
    served.run(session, "set_value", name="tz", value="utc")
    served.run(session, "write", request_id="w1", text="WRITE x y")
    assert served.run(session, "commit", request_id="c1")["signature"] == "sig-c1"
    answer = served.run(session, "read", request_id="r1", text="READ x")
    assert answer["rows"] == ["w1"]
    assert served.group.runs()[-1].values == {"tz": "utc"}


def test_a_write_without_an_answer_is_in_doubt(served):
    session = served.open()
    served.group.primary.lost_answers = 1
    answer = served.run(session, "write", request_id="w1", text="WRITE x y")
    assert answer["error"] == "in_doubt"


def test_ending_a_session_rolls_back(served):
    session = served.open()
    served.run(session, "begin")
    served.run(session, "write", request_id="w1", text="WRITE x y")
    assert served.call("DELETE", f"/v1/sessions/{session}")[0] == 200
    assert served.call("DELETE", f"/v1/sessions/{session}")[0] == 404
    assert served.group.primary.log == []


def test_an_idle_transaction_is_rolled_back_and_its_session_stays(served):
    session = served.open()
    served.run(session, "begin")
    served.run(session, "write", request_id="w1", text="WRITE x y")
    served.group.clock.advance(10.0)
    served.sessions.expire(served.group.clock.now())
    ended = served.run(session, "commit", request_id="c1")
    assert ended["error"] == "aborted"
    assert served.group.primary.log == []
    served.run(session, "write", request_id="w2", text="WRITE x y")
    assert len(served.group.primary.log) == 1


def test_a_session_is_not_ended_while_its_statement_runs(served):
    """Two tasks on one connection would mix their answers."""
    session = served.open()
    served.run(session, "begin")
    served.run(session, "write", request_id="w1", text="WRITE x y")
    served.sessions.open[session].is_busy = True
    assert served.call("DELETE", f"/v1/sessions/{session}")[0] == 409
    served.sessions.open[session].is_busy = False
    assert served.run(session, "commit", request_id="c1")["signature"] == "sig-c1"


def test_a_session_that_is_idle_for_too_long_is_ended(served):
    session = served.open()
    served.group.clock.advance(SESSION_IDLE_S + 1.0)
    served.sessions.expire(served.group.clock.now())
    assert served.call("DELETE", f"/v1/sessions/{session}")[0] == 404


def test_a_stop_ends_idle_sessions_and_opens_none(served):
    idle, busy = served.open(), served.open()
    served.run(busy, "begin")
    served.sessions.is_draining = True
    served.sessions.expire(served.group.clock.now())
    assert list(served.sessions.open) == [busy]
    assert idle != busy
    assert served.call("POST", "/v1/sessions", database="primary")[0] == 503


@pytest.mark.parametrize(
    "path, body, status",
    [
        ("/v1/sessions", {"database": "nowhere"}, 404),
        ("/v1/sessions", {}, 400),
        ("/v1/sessions/none/statements", {"kind": "read"}, 404),
        ("/v1/sessions/none/statements", {"kind": "drop"}, 400),
    ],
)
def test_bad_requests_are_refused(served, path, body, status):
    assert served.call("POST", path, **body)[0] == status

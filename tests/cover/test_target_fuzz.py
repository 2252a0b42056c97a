"""A target's malformed replies raise a typed error and close the connection."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitwheel.targets import http_target
from godwitwheel.targets.errors import MayHaveRun, Refused
from godwitwheel.targets.http_target import HttpTargetConnection
from godwitwheel.wire.codec import encode
from godwitwheel.wire.target import ProblemCode, StatementReply, TargetProblem
from tests.common.hostile import bodies

REPLY = encode(StatementReply(1, 3, 7, ["id", "key"], [[1, "x"], [2, None]], 2))
REFUSAL = encode(
    TargetProblem(ProblemCode.statement_failed, "no such table", ran=False)
)


class ScriptedHttp:
    """An HTTP connection that returns one given reply."""

    def __init__(self, status, body):
        self.reply = (status, body)
        self.is_open = True

    def exchange(self, method, path, body, timeout_s):
        return self.reply

    def is_usable(self):
        return self.is_open

    def close(self):
        self.is_open = False


@pytest.fixture(autouse=True)
def nothing_unread(monkeypatch):
    monkeypatch.setattr(http_target, "has_unread_input", lambda connection: False)


def run(status, body):
    connection = HttpTargetConnection("t1", "127.0.0.1:9")
    connection.connection = ScriptedHttp(status, body)
    try:
        return connection, connection.run("SELECT 1", [], True, 1.0)
    except (MayHaveRun, Refused) as error:
        return connection, error


@settings(max_examples=300)
@given(bodies(REPLY))
def test_hostile_replies_are_no_answers(body):
    connection, result = run(200, body)
    if isinstance(result, StatementReply):
        assert result.request_id == 1
        assert encode(result)
    else:
        assert isinstance(result, MayHaveRun)
        assert not connection.connection.is_open


@given(st.sampled_from([204, 302, 400, 409, 500, 999]), bodies(REFUSAL))
def test_hostile_refusals_never_say_that_nothing_ran(status, body):
    connection, result = run(status, body)
    if isinstance(result, Refused) and not result.ran:
        assert b'"ran"' in body
    else:
        assert not connection.connection.is_open


def test_refusal_without_the_ran_field_counts_as_possibly_run():
    _, result = run(400, b'{"code": "statement_failed", "message": "no"}')
    assert result.ran

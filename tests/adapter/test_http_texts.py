"""Statements over HTTP whose texts reach a target by the line protocol."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.wire.client import Client
from tests.common.line_proxy import TIMEOUT_S, running_proxy
from tests.common.texts import field_texts

NEXT = "\r\nQUERY intruder WRITE bay-7 taken"


@pytest.fixture(scope="module", params=[False, True], ids=["direct", "owner"])
def proxy(request):
    with running_proxy(request.param) as running:
        yield running


class HttpCaller:
    """A session over HTTP."""

    def __init__(self, proxy):
        self.address = proxy.http_address
        self.client = Client()
        proxy.open().stream.close()
        status, reply = self.post("/v1/sessions", database="primary")
        assert status == 200
        self.path = f"/v1/sessions/{reply['session']}/statements"

    def post(self, path, **body):
        content = json.dumps(body).encode()
        status, reply = self.client.exchange(
            self.address, "POST", path, content, TIMEOUT_S
        )
        return status, json.loads(reply)

    def run(self, kind, request_id="a", **fields):
        return self.post(self.path, kind=kind, request_id=request_id, **fields)


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": "write", "text": "WRITE bay-4 x" + NEXT},
        {"kind": "read", "text": "READ bay-4" + NEXT},
        {"kind": "read", "text": "WRITE bay-4 x"},
        {"kind": "read", "text": "STEPDOWN 9"},
        {"kind": "read", "text": ""},
        {"kind": "write", "text": "WRITE bay-4 x", "request_id": "a" + NEXT},
        {"kind": "write", "text": "WRITE bay-4 x", "request_id": "a WRITE b"},
        {"kind": "write", "text": "WRITE bay-4 x", "request_id": ""},
        {"kind": "commit", "request_id": "a WRITE b"},
        {"kind": "set_value", "name": "tz", "value": "utc" + NEXT},
        {"kind": "set_value", "name": "a b", "value": "utc"},
        {"kind": "prepare", "name": "s", "shape": "q" + NEXT},
        {"kind": "execute", "name": "s", "arguments": "1a4" + NEXT},
    ],
    ids=str,
)
def test_what_targets_would_read_as_other_statements_is_not_run(proxy, fields):
    # A line end in a field began a statement that no caller had sent.
    caller = HttpCaller(proxy)
    assert caller.run("prepare", name="s", access="write", shape="q")[0] == 200
    status, reply = caller.run(**fields)
    assert status == 400
    assert reply["message"].startswith("not run: ")
    assert proxy.target.queries == []
    assert caller.run("write", text="WRITE bay-4 free")[1]["error"] is None


def test_half_a_surrogate_pair_is_refused(proxy):
    status, _ = HttpCaller(proxy).run("write", text="WRITE bay-4 \ud800")
    assert status == 400
    assert proxy.target.queries == []


@given(field_texts(), field_texts(), st.sampled_from(["commit", "rollback"]))
def test_texts_over_http_arrive_unchanged(proxy, data, value, end):
    caller = HttpCaller(proxy)
    caller.run("set_value", name="v", value=value)
    caller.run("begin")
    status, reply = caller.run("write", text=f"WRITE x {data}")
    assert (status, reply["rows"]) == (200, [f"WRITE x {data}"])
    assert caller.run(end)[1]["error"] is None
    assert ("a", f"WRITE x {data}") in proxy.target.ran

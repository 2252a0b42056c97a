"""Invalid input to a control member is refused, and changes no state."""

import json

import pytest
from hypothesis import given, settings

from bench.slopes.stand_ins import Control
from godwitwheel.control import member as member_module
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.caller import CallerAnswer, Outcome, StatementResult
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import (
    Claim,
    Heartbeat,
    Publish,
    RecordOutcome,
    TargetObservation,
    Watch,
)
from godwitwheel.wire.service import Access, RequestRule, Service, hash_services
from godwitwheel.wire.target import Role, TargetStatus
from tests.common.hostile import bodies, environ

SERVICES = {"kit": Service("kit", {"stock": RequestRule("kits", Access.read)})}
STATUS = TargetStatus(
    "t1", "kits", "melilla", "127.0.0.1:9", Role.primary, 1, 2, 0, 2, 15
)
HEARTBEAT = Heartbeat(
    proxy_id="p1",
    incarnation=1,
    data_centre="melilla",
    address="127.0.0.1:8",
    view_version=0,
    revision=0,
    announcements=[STATUS],
    observations=[TargetObservation("t1", 5, STATUS)],
    held={"t1": 1},
    demand={"t1": 2},
)
KEY = "018bcfe5-6800-7000-8000-000000000000"
ANSWER = CallerAnswer(Outcome.done, [StatementResult(["a"], [[1, "x"]], 1)], "token")
MESSAGES = {
    "/v1/heartbeat": HEARTBEAT,
    "/v1/watch": Watch(0, 0, 1),
    "/v1/claim": Claim("kit", KEY, "00", "a1", 60),
    "/v1/outcome": RecordOutcome("kit", KEY, "a1", ANSWER),
    "/v1/publish": Publish("id-1", 0, hash_services(SERVICES), SERVICES),
}


class FuzzedControl(Control):
    """A member whose handlers must not raise unexpected exceptions."""

    def send(self, path, body):
        method = "GET" if path == "/v1/in-force" else "POST"
        response = self.server.respond(environ(method, path, body))
        assert self.failures == []
        return response

    def settle(self):
        """Runs the controllers until nothing changes, and returns the whole state."""
        for _ in range(10):
            self.member.decide_once()
            sleep(0)
        return self.state.take_snapshot()


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(member_module, "MAX_WATCH_S", 0.0)
    monkeypatch.setattr(member_module, "CLAIM_WAIT_S", 0.0)
    monkeypatch.setattr(member_module, "COMMIT_TIMEOUT_S", 0.2)
    # The log here confirms at once, so that only a stall of the machine takes longer.
    monkeypatch.setattr(member_module, "CONFIRM_TIMEOUT_S", 10.0)


@pytest.mark.parametrize("path", sorted(MESSAGES))
def test_hostile_bodies(path):
    message = encode(MESSAGES[path])

    @settings(max_examples=500)
    @given(bodies(message))
    def run(body):
        control = FuzzedControl()
        assert control.send("/v1/heartbeat", encode(HEARTBEAT)).status == 200
        before = control.settle()
        response = control.send(path, body)
        if response.status != 200:
            assert 400 <= response.status < 500
            assert json.loads(response.body)["message"]
            assert control.settle() == before
        control.settle()
        for name, valid in MESSAGES.items():
            if name != path:
                assert control.send(name, encode(valid)).status == 200
        assert control.send("/v1/in-force", b"").status == 200

    run()


BAD_SERVICES = [
    {"other": SERVICES["kit"]},
    {"Kit": Service("Kit", {})},
    {"kit": Service("kit", {"": RequestRule("kits", Access.read)})},
    {"kit": Service("kit", {"stock": RequestRule("", Access.read)})},
    {"kit": Service("kit", {"stock": RequestRule("kits", Access.write, 5)})},
]


@pytest.mark.parametrize(
    "publish",
    [
        *(Publish("id-1", 0, hash_services(bad), bad) for bad in BAD_SERVICES),
        Publish("id-1", 0, "0" * 32, SERVICES),
        Publish("", 0, hash_services(SERVICES), SERVICES),
    ],
)
def test_refuses_an_invalid_publish(publish):
    control = FuzzedControl()
    before = control.settle()
    response = control.send("/v1/publish", encode(publish))
    assert response.status == 400
    assert control.settle() == before

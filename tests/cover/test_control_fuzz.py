"""Bad input to a control member: a clear refusal, and nothing changes."""

import json

import pytest
from hypothesis import given, settings

from godwitwheel.consensus.replicated import ReplicatedLog
from godwitwheel.control import member as member_module
from godwitwheel.control.member import Member
from godwitwheel.control.routes import control_routes
from godwitwheel.control.state import ControlState
from godwitwheel.decisions.leadership import LeadershipOptions
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.loop import sleep
from godwitwheel.targets.base import TargetAdmin
from godwitwheel.targets.errors import NotRun
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
from godwitwheel.wire.server import Server
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


class InstantLog(ReplicatedLog):
    """A cell of one member, which commits at once."""

    def __init__(self, state):
        self.state = state
        self.index = 0

    def propose(self, command, timeout_s):
        self.index += 1
        return self.state.apply(self.index, command)

    def confirm_leadership(self, timeout_s):
        pass

    def leader_id(self):
        return "c1"

    def leading_since(self):
        return 0.0


class DeafAdmin(TargetAdmin):
    """Reaches no target."""

    def status(self, address, timeout_s):
        raise NotRun(address)

    promote = follow = status


class Control:
    """One member behind its real routes."""

    def __init__(self):
        state = ControlState()
        options = LeadershipOptions(0.6, 0.01, 0.4, 0.5)
        log = InstantLog(state)
        self.member = Member(
            log, state, ManualClock(10.0), DeafAdmin(), options, lambda: "00" * 32
        )
        self.failures = []
        routes = control_routes(self.member, lambda: "127.0.0.1:7")
        self.server = Server(routes, self.failures.append)

    def send(self, path, body):
        method = "GET" if path == "/v1/in-force" else "POST"
        response = self.server.respond(environ(method, path, body))
        assert self.failures == []
        return response

    def settle(self):
        """Runs the controllers until they rest, and returns the whole state."""
        for _ in range(10):
            self.member.decide_once()
            sleep(0)
        return self.member.state.take_snapshot()


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(member_module, "MAX_WATCH_S", 0.0)
    monkeypatch.setattr(member_module, "CLAIM_HOLD_S", 0.0)
    monkeypatch.setattr(member_module, "COMMIT_TIMEOUT_S", 0.2)


@pytest.mark.parametrize("path", sorted(MESSAGES))
def test_hostile_bodies(path):
    message = encode(MESSAGES[path])

    @settings(max_examples=500)
    @given(bodies(message))
    def run(body):
        control = Control()
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

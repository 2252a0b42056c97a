"""A proxy's calls to control don't pile up while there is no leader."""

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.internal.clock import BootClock, ManualClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.proxy import control_client
from godwitwheel.proxy.errors import ControlRefused, ControlUnavailable
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import NotLeading, OutcomeRecorded
from godwitwheel.wire.errors import ErrorReply

CALLS = 200
SHORT_S = 0.05
LONG_S = 30.0


class FakeMembers:
    """Three members; a call takes 1 ms, and all but the leader refuse it."""

    def __init__(self):
        self.leader = ""
        self.status = control_client.MISDIRECTED
        self.calls = 0
        self.in_flight = 0
        self.most_in_flight = 0

    def call(self, address, *arguments):
        self.calls += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        sleep(0.001)
        self.in_flight -= 1
        if address == self.leader:
            return OutcomeRecorded(True)
        raise ErrorReply(self.status, encode(NotLeading("")))


@pytest.fixture
def members():
    return FakeMembers()


@pytest.fixture
def client(members):
    board = Blackboard(ProxyIdentity("p1", 1, "dc", "127.0.0.1:1"))
    addresses = ["a", "b", "c"]
    return control_client.ControlClient(addresses, board, BootClock(), members)


def test_calls_no_member_while_no_leader_is_known(client, members):
    with pytest.raises(ControlUnavailable):
        client.call("/v1/outcome", {}, OutcomeRecorded, SHORT_S)
    assert members.calls == 0


def test_waiting_calls_follow_the_leader_that_a_heartbeat_finds(client, members):
    waiting = [
        spawn(client.call, "/v1/outcome", {}, OutcomeRecorded, LONG_S)
        for _ in range(CALLS)
    ]
    members.leader = "b"
    while not client.blackboard.control_leader:
        try:
            client.call_once("/v1/heartbeat", {}, OutcomeRecorded, LONG_S)
        except ControlUnavailable:
            sleep()
    assert all(task.wait().recorded for task in waiting)
    assert members.calls <= CALLS + len(client.addresses)
    # The limit on concurrent calls doesn't count heartbeats.
    assert members.most_in_flight <= control_client.MAX_CALLS_IN_FLIGHT + 1


def test_drops_a_leader_that_replies_that_it_is_not_leader(client, members):
    client.blackboard.control_leader = "a"
    with pytest.raises(ControlUnavailable):
        client.call("/v1/outcome", {}, OutcomeRecorded, SHORT_S)
    assert (members.calls, client.blackboard.control_leader) == (1, "")


def test_leader_that_refuses_one_call_stays_the_leader(client, members):
    client.blackboard.control_leader = "a"
    members.status = 413
    for call in (client.call, client.call_once):
        with pytest.raises(ControlRefused):
            call("/v1/outcome", {}, OutcomeRecorded, LONG_S)
    assert (members.calls, client.blackboard.control_leader) == (2, "a")


def test_a_call_that_fails_late_does_not_wait_past_its_deadline(
    client, members, monkeypatch
):
    """Its last attempt used up all the time that was left."""
    client.clock = ManualClock(100.0)
    client.blackboard.control_leader = "a"
    monkeypatch.setattr(control_client, "sleep", client.clock.advance)

    def fail(address, path, message, reply, limit_s):
        client.clock.advance(limit_s)
        raise ErrorReply(503, b"{}")

    members.call = fail
    with pytest.raises(ControlUnavailable):
        client.call("/v1/outcome", {}, OutcomeRecorded, SHORT_S)
    assert client.clock.now() <= 100.0 + SHORT_S

"""A proxy's calls to control don't pile up while no member leads."""

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.internal.clock import ManualClock
from godwitwheel.proxy import control_client
from godwitwheel.proxy.errors import ControlUnavailable
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import NotLeading, OutcomeRecorded
from godwitwheel.wire.errors import ErrorReply

LIMIT_S = 30.0
MOST_CALLS_PER_S = 2


class LeaderlessMembers:
    """Members of which none leads; each call is answered at once."""

    def __init__(self):
        self.calls = 0

    def call(self, *arguments):
        self.calls += 1
        raise ErrorReply(control_client.MISDIRECTED, encode(NotLeading("")))


def test_rests_longer_between_calls_while_no_member_leads(monkeypatch):
    clock, members = ManualClock(), LeaderlessMembers()
    monkeypatch.setattr(control_client, "sleep", clock.advance)
    board = Blackboard(ProxyIdentity("p1", 1, "dc", "127.0.0.1:1"))
    client = control_client.ControlClient(["a", "b", "c"], board, clock, members)
    with pytest.raises(ControlUnavailable):
        client.call("/v1/outcome", {}, OutcomeRecorded, LIMIT_S)
    assert members.calls <= MOST_CALLS_PER_S * LIMIT_S

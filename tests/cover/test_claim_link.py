"""Claims never crowd control, and no sending of a key is called not run for one."""

import random

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions.sessions import Session
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.proxy.claim_link import MAX_CALLS_AT_ONCE, ClaimLink
from godwitwheel.proxy.context import ProxyContext
from godwitwheel.proxy.errors import ControlUnavailable
from godwitwheel.proxy.keyed import KeyedWrites
from godwitwheel.proxy.work import Work
from godwitwheel.wire.caller import CallerRequest, CallerStatement, Outcome, Reason
from godwitwheel.wire.control import Claim, ClaimReply, ClaimStatus
from godwitwheel.wire.service import Access, RequestRule, Service

CALLERS = 100
DEADLINE_S = 5.0
CLAIM = Claim("s", "k", "d", "a", 60)
RULE = RequestRule("bays", Access.write)


class CountingControl:
    """Answers after a while, and counts the calls that wait for it."""

    def __init__(self):
        self.calls = 0
        self.running = 0
        self.most = 0

    def call_once(self, *arguments):
        self.calls += 1
        self.running += 1
        self.most = max(self.most, self.running)
        sleep(0.001)
        self.running -= 1
        return ClaimReply(ClaimStatus.granted)


@pytest.fixture
def context():
    clock = BootClock()
    board = Blackboard(ProxyIdentity("p0", 1, "dc", "127.0.0.1:2"))
    return ProxyContext(board, clock, None, None, random.Random(1))


def test_shares_few_places_between_many_claims(context):
    context.blackboard.lease.expires_at = context.clock.now() + 60.0
    control = CountingControl()
    link = ClaimLink(context, control)
    deadline = context.clock.now() + DEADLINE_S
    tasks = [spawn(link.claim, CLAIM, deadline) for _ in range(CALLERS)]
    assert all(task.wait().status is ClaimStatus.granted for task in tasks)
    assert control.most == MAX_CALLS_AT_ONCE


def test_calls_nobody_without_a_lease(context):
    control = CountingControl()
    link = ClaimLink(context, control)
    with pytest.raises(ControlUnavailable, match="no lease"):
        link.claim(CLAIM, context.clock.now() + DEADLINE_S)
    assert control.calls == 0


def test_key_whose_claim_is_not_answered_is_unknown(context):
    """An earlier sending of it may have run."""
    keyed = KeyedWrites(context, ClaimLink(context, CountingControl()), None)
    now = context.clock.now()
    request = CallerRequest("s", "w", [CallerStatement("x")])
    service = Service("s", {"w": RULE})
    session = Session({}, is_complete=True)
    work = Work(request, service, RULE, session, "k", now, now + DEADLINE_S)
    answer = keyed.run(work)
    assert answer.outcome is Outcome.unknown
    assert answer.reason is Reason.claim_unavailable
    assert answer.retry_after_ms > 0
    assert len(keyed.claims.unrecorded) == 1

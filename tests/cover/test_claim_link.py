"""Claims while control can't be reached."""

import random

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions.sessions import Session
from godwitwheel.internal.clock import BootClock
from godwitwheel.observe.events import EventName
from godwitwheel.proxy import claim_link
from godwitwheel.proxy.claim_link import MAX_UNRECORDED, ClaimLink
from godwitwheel.proxy.context import ProxyContext
from godwitwheel.proxy.errors import ControlUnavailable
from godwitwheel.proxy.keyed import KeyedWrites
from godwitwheel.proxy.work import Work
from godwitwheel.wire.caller import (
    CallerAnswer,
    CallerRequest,
    CallerStatement,
    Outcome,
    Reason,
)
from godwitwheel.wire.control import Claim, ClaimReply, ClaimStatus, RecordOutcome
from godwitwheel.wire.service import Access, RequestRule, Service

DEADLINE_S = 5.0
CLAIM = Claim("s", "k", "d", "a", 60)
RULE = RequestRule("bays", Access.write)


class CountingControl:
    """Grants every claim, and counts the calls."""

    def __init__(self):
        self.calls = 0

    def call(self, *arguments):
        self.calls += 1
        return ClaimReply(ClaimStatus.granted)


@pytest.fixture
def context():
    clock = BootClock()
    board = Blackboard(ProxyIdentity("p0", 1, "dc", "127.0.0.1:2"))
    return ProxyContext(board, clock, None, None, random.Random(1))


def test_makes_no_call_to_control_without_a_lease(context):
    control = CountingControl()
    link = ClaimLink(context, control)
    with pytest.raises(ControlUnavailable, match="no lease"):
        link.claim(CLAIM, context.clock.now() + DEADLINE_S)
    assert control.calls == 0


def test_write_whose_claim_is_not_answered_is_unknown(context):
    """An earlier request with the same key may have run."""
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


def outcome(key):
    return RecordOutcome("s", key, "a", CallerAnswer(Outcome.done))


@pytest.fixture
def dropped(monkeypatch):
    """Keys of the outcomes that were dropped, with the reasons."""
    found = []
    monkeypatch.setattr(
        claim_link,
        "record_event",
        lambda event, key, reason: found.append((event, key, reason)),
    )
    return found


def test_an_outcome_that_finds_the_queue_full_leaves_an_event(context, dropped):
    link = ClaimLink(context, CountingControl())
    for number in range(MAX_UNRECORDED + 1):
        link.record_in_background(outcome(f"k{number}"))
    assert [(event, key) for event, key, _ in dropped] == [
        (EventName.outcome_dropped, "k0")
    ]


def test_an_outcome_that_is_not_recorded_in_time_leaves_an_event(context, dropped):
    link = ClaimLink(context, CountingControl())
    link.record_in_background(outcome("k"))
    link.unrecorded[0].expires_at = context.clock.now()
    assert link._record_oldest()
    assert [key for _, key, _ in dropped] == ["k"]
    assert not link.unrecorded

"""Target records follow announcements, except for outdated ones."""

import msgspec
import pytest

from godwitwheel.control.commands import PutTarget, RemoveTarget
from godwitwheel.decisions.actions import Propose, VerifyAnnouncement
from godwitwheel.decisions.membership import (
    REMOVE_AFTER_S,
    MembershipController,
    record_of,
)
from godwitwheel.decisions.observations import Observations
from godwitwheel.wire.control import ClusterView, Heartbeat, TargetObservation
from godwitwheel.wire.target import Role, TargetStatus

STATUS = TargetStatus("t", "g", "dc", "a:1", Role.replica, 1, 5, 1, 2, 15)
VIEW = ClusterView(1, targets={"t": record_of(STATUS)})


@pytest.fixture
def observed():
    """Builds the report of a proxy on target ``t`` and a responsive one.

    Its argument is the time since ``t`` last answered, in milliseconds.
    """

    def report(unanswered_ms):
        observations = Observations(0.4)
        sightings = [
            TargetObservation("t", unanswered_ms, STATUS),
            TargetObservation("other", 0, msgspec.structs.replace(STATUS)),
        ]
        heartbeat = Heartbeat("p", 1, "dc", "p:1", 1, 0, observations=sightings)
        observations.record(heartbeat, 100.0)
        return observations

    return report


def decide(observations, status, view=VIEW):
    controller = MembershipController()
    controller.record_announcement(status)
    return controller.decide(view, observations, 100.0)


def test_accepts_a_new_target_and_a_leaving_one_at_once(observed):
    (action,) = decide(observed(10), STATUS, ClusterView())
    assert action.command == PutTarget(record_of(STATUS))
    leaving = msgspec.structs.replace(STATUS, leaving=True)
    (action,) = decide(observed(10), leaving)
    assert action.command.record.leaving


def test_outdated_or_duplicate_address_does_not_replace_a_live_target(
    observed,
):
    assert decide(observed(10), msgspec.structs.replace(STATUS, address="b:1")) == []


def test_accepts_a_new_address_or_limit_once_the_target_confirms_it(observed):
    moved = msgspec.structs.replace(STATUS, address="b:1")
    grown = msgspec.structs.replace(STATUS, connection_cap=30)
    for status, unanswered_ms in ((moved, 900), (grown, 10)):
        actions = decide(observed(unanswered_ms), status)
        (query,) = [i for i in actions if isinstance(i, VerifyAnnouncement)]
        assert query.address == status.address
        (action,) = MembershipController().confirm(status, VIEW)
        assert action.command == PutTarget(record_of(status))


def test_removes_a_target_that_is_unreachable_for_long(observed):
    controller = MembershipController()
    controller.decide(VIEW, observed(900), 100.0)
    assert controller.decide(VIEW, observed(900), 99.0 + REMOVE_AFTER_S) == []
    (action,) = controller.decide(VIEW, observed(900), 101.0 + REMOVE_AFTER_S)
    assert isinstance(action, Propose)
    assert action.command == RemoveTarget("t")

"""Targets come, move, leave and are forgotten; old announcements change nothing."""

import msgspec
import pytest

from godwitwheel.control.commands import PutTarget, RemoveTarget
from godwitwheel.decisions.actions import Propose, VerifyAnnouncement
from godwitwheel.decisions.membership import FORGET_S, MembershipController, record_of
from godwitwheel.decisions.observations import Observations
from godwitwheel.wire.control import ClusterView, Heartbeat, TargetObservation
from godwitwheel.wire.target import Role, TargetStatus

STATUS = TargetStatus("t", "g", "dc", "a:1", Role.replica, 1, 5, 1, 2, 15)
VIEW = ClusterView(1, targets={"t": record_of(STATUS)})


@pytest.fixture
def seen():
    """Reports in which the target ``t`` and one other are seen or silent."""

    def report(silent_ms):
        observations = Observations(0.4)
        sightings = [
            TargetObservation("t", silent_ms, STATUS),
            TargetObservation("other", 0, msgspec.structs.replace(STATUS)),
        ]
        heartbeat = Heartbeat("p", 1, "dc", "p:1", 1, 0, observations=sightings)
        observations.note(heartbeat, 100.0)
        return observations

    return report


def decide(observations, status, view=VIEW):
    controller = MembershipController()
    controller.note_announcement(status)
    return controller.decide(view, observations, 100.0)


def test_believes_a_new_target_and_one_that_leaves_at_once(seen):
    (action,) = decide(seen(10), STATUS, ClusterView())
    assert action.command == PutTarget(record_of(STATUS))
    leaving = msgspec.structs.replace(STATUS, leaving=True)
    (action,) = decide(seen(10), leaving)
    assert action.command.record.leaving


def test_old_address_or_namesake_does_not_replace_a_target_that_answers(seen):
    assert decide(seen(10), msgspec.structs.replace(STATUS, address="b:1")) == []


def test_moved_target_and_changed_limits_are_taken_once_the_target_confirms(seen):
    moved = msgspec.structs.replace(STATUS, address="b:1")
    grown = msgspec.structs.replace(STATUS, connection_cap=30)
    for status, silent_ms in ((moved, 900), (grown, 10)):
        actions = decide(seen(silent_ms), status)
        (question,) = [i for i in actions if isinstance(i, VerifyAnnouncement)]
        assert question.address == status.address
        (action,) = MembershipController().note_confirmed(status, VIEW)
        assert action.command == PutTarget(record_of(status))


def test_forgets_a_target_that_is_lost_for_long(seen):
    controller = MembershipController()
    controller.decide(VIEW, seen(900), 100.0)
    assert controller.decide(VIEW, seen(900), 99.0 + FORGET_S) == []
    (action,) = controller.decide(VIEW, seen(900), 101.0 + FORGET_S)
    assert isinstance(action, Propose)
    assert action.command == RemoveTarget("t")

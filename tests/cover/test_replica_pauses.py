"""Pauses of synchronous replicas over leaders that are killed, paused or deposed."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.directory.commands import PauseReplicas, ResumeReplicas
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from tests.common.sync_fleet import SyncFleet
from tests.common.sync_group import SERVICE

RECOVERY_S = 8.0
ANY_TARGETS = st.sets(st.sampled_from(["t1", "t2", "t3"]), max_size=2)


def acknowledges_again(fleet):
    """Whether writes are acknowledged and nothing is paused, once faults have ended."""
    fleet.heal()
    fleet.run(RECOVERY_S)
    is_paused = any(target.paused_below for target in fleet.group.targets.values())
    return fleet.group.write() and not is_paused and not fleet.state.directory.paused


def test_writes_go_on_after_a_promotion_that_was_never_carried_out():
    """The replicas stayed paused, and no commit was acknowledged any more."""
    fleet = SyncFleet()
    fleet.group.is_platform_down = True
    fleet.group.primary.is_silent = True
    fleet.run(3.0)
    assert fleet.group.orders
    fleet.group.primary.is_silent = False
    fleet.run(1.0)
    assert acknowledges_again(fleet)
    assert fleet.group.lost == 0


def leave_order_unanswered(fleet):
    """Lets a primary come back while an order is unanswered whose target is deaf."""
    group = fleet.group
    former = group.primary
    group.is_platform_down = True
    former.is_silent = True
    fleet.run(1.5)
    former.is_silent = False
    if group.unanswered_orders:
        target_id, _ = group.unanswered_orders[-1]
        group.targets[target_id].is_deaf = True


@pytest.mark.parametrize("is_deposed", [False, True])
def test_an_unanswered_order_that_is_carried_out_late_finds_all_commits(is_deposed):
    """While it may be carried out, nothing is acknowledged that its target lacks."""
    fleet = SyncFleet()
    leave_order_unanswered(fleet)
    assert fleet.group.unanswered_orders
    if is_deposed:
        fleet.elect()
    fleet.run(4.0)
    fleet.carry_out_late_order(0)
    assert fleet.group.lost == 0
    assert acknowledges_again(fleet)


def test_replicas_are_resumed_at_once_if_no_order_was_sent():
    """A primary that comes back before the order need not wait for the platform."""
    fleet = SyncFleet()
    fleet.group.is_platform_down = True
    fleet.group.targets["t3"].is_silent = True
    fleet.state.directory.pause_replicas(11, PauseReplicas(SERVICE))
    fleet.group.targets["t2"].paused_below = 9
    fleet.group.targets["t3"].paused_below = 9
    fleet.run(0.5)
    assert fleet.group.write()
    assert SERVICE in fleet.state.directory.paused
    assert acknowledges_again(fleet)
    assert fleet.group.orders == []


@pytest.mark.parametrize("dies", [True, False])
@pytest.mark.parametrize("actions", range(0, 24))
def test_the_next_leader_resumes_what_a_stopped_one_has_paused(actions, dies):
    fleet = SyncFleet()
    fleet.group.primary.is_silent = True
    fleet.member.stop_after(actions, dies)
    fleet.run(1.0)
    fleet.group.primary.is_silent = False
    fleet.elect()
    fleet.run(3.0)
    assert acknowledges_again(fleet)
    assert fleet.group.lost == 0


@pytest.mark.parametrize("actions", range(0, 12))
def test_a_late_resume_of_a_former_leader_ends_no_pause_of_a_newer_one(actions):
    fleet = SyncFleet()
    former = fleet.member
    fleet.state.directory.pause_replicas(11, PauseReplicas(SERVICE))
    former.stop_after(actions, dies=False)
    fleet.run(0.5)
    fleet.elect()
    fleet.group.is_platform_down = True
    fleet.group.primary.is_silent = True
    fleet.run(2.0)
    paused = {name: each.paused_below for name, each in fleet.group.targets.items()}
    former.go_on()
    fleet.run(0.1)
    for name, target in fleet.group.targets.items():
        assert target.paused_below >= paused[name]


def test_a_pause_that_has_ended_does_not_end_a_later_one():
    directory = Directory(JsonTableCodec())
    directory.pause_replicas(5, PauseReplicas(SERVICE))
    directory.pause_replicas(7, PauseReplicas(SERVICE, "t2"))
    assert not directory.resume_replicas(8, ResumeReplicas(SERVICE, 5)).applied
    copy = Directory(JsonTableCodec())
    copy.restore(directory.snapshot())
    assert copy.paused == directory.paused
    assert copy.resume_replicas(9, ResumeReplicas(SERVICE, 7)).applied
    assert copy.paused == {}


class PauseMachine(RuleBasedStateMachine):
    """Interleaves leaders, faults of targets and late orders."""

    @initialize()
    def start(self):
        self.fleet = SyncFleet()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 3.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(names=ANY_TARGETS)
    def only_these_are_silent(self, names):
        for name, target in self.fleet.group.targets.items():
            target.is_silent = name in names

    @rule(name=st.sampled_from(["", "t1", "t2", "t3"]))
    def only_this_is_deaf(self, name):
        for target in self.fleet.group.targets.values():
            target.is_deaf = target.target_id == name

    @rule(is_down=st.booleans())
    def platform(self, is_down):
        self.fleet.group.is_platform_down = is_down

    @rule(actions=st.integers(0, 30), dies=st.booleans())
    def leader_stops(self, actions, dies):
        if not self.fleet.member.is_stopped:
            self.fleet.member.stop_after(actions, dies)

    @rule()
    def order_is_left_unanswered(self):
        leave_order_unanswered(self.fleet)

    @rule()
    def elect(self):
        self.fleet.elect()

    @rule(number=st.integers(0, 5))
    def former_leader_goes_on(self, number):
        members = self.fleet.members
        members[number % len(members)].go_on()

    @rule(number=st.integers(0, 5))
    def late_order_is_carried_out(self, number):
        self.fleet.carry_out_late_order(number)

    @invariant()
    def no_acknowledged_commit_is_lost(self):
        assert self.fleet.group.lost == 0

    @rule()
    def recovers(self):
        assert acknowledges_again(self.fleet)


def test_no_commit_is_lost_and_no_replica_stays_paused():
    run_state_machine_as_test(
        PauseMachine, settings=settings(max_examples=150, stateful_step_count=25)
    )

"""Promotions that take effect after their orders were answered, or never.

The model knows neither of the sequences that have broken a rule: faults of targets,
proxies, platform and control come in any order, and the decisions are the product's.
"""

from contextlib import ExitStack
from unittest import mock

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.directory import effects, fencing
from tests.common.unfenced_fleet import Failure, UnfencedFleet

TARGETS = st.sampled_from(["t1", "t2", "t3"])
PROXIES = st.sets(st.integers(0, 2))
SECONDS = st.sampled_from([0.2, 2.5, 6.8])
CUTS = st.sampled_from([0.2, 2.5, 4.5, 6.8])
PAUSES = st.sampled_from([0.5, 2.2, 3.2])
# All faults end within this time, and a service without a primary then has one again.
RECOVERY_S = 12.0


class Fleet:
    """A fleet whose leaders wait in simulated time."""

    def __init__(self):
        self.patches = ExitStack()
        self.fleet = None
        for module in (effects, fencing):
            stand_in = mock.patch.object(module, "sleep", self._wait)
            self.patches.enter_context(stand_in)
        self.fleet = UnfencedFleet()

    def _wait(self, seconds):
        self.fleet.wait(seconds)

    def close(self):
        self.patches.close()


class PromotionMachine(RuleBasedStateMachine):
    """Faults in any order; writes and reads go on all the time."""

    def __init__(self):
        super().__init__()
        self.simulated = Fleet()
        self.fleet = self.simulated.fleet

    @rule(seconds=st.sampled_from([0.3, 0.8, 1.2, 3.0]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(target_id=TARGETS, seconds=SECONDS)
    def go_dark(self, target_id, seconds):
        self.fleet.go_dark(target_id, seconds)
        self.fleet.run(0.1)

    @rule(seconds=SECONDS, pause=PAUSES)
    def primary_goes_dark(self, seconds, pause):
        self.fleet.go_dark(self.fleet.leader.target_id, seconds)
        self.fleet.run(pause)

    @rule(proxies=PROXIES, seconds=SECONDS, pause=PAUSES)
    def primary_is_cut_off(self, proxies, seconds, pause):
        self.fleet.cut(self.fleet.leader.target_id, proxies, seconds)
        self.fleet.run(pause)

    @rule(seconds=st.tuples(CUTS, CUTS, CUTS), pause=PAUSES)
    def proxies_lose_control(self, seconds, pause):
        for number, each in enumerate(seconds):
            self.fleet.cut_from_control({number}, each)
        self.fleet.run(pause)

    @rule(target_id=TARGETS, seconds=SECONDS)
    def replica_receives_nothing(self, target_id, seconds):
        self.fleet.deafen(target_id, seconds)

    @rule(lost=st.integers(0, 3), dropped=st.integers(0, 2))
    def platform_fails(self, lost, dropped):
        self.fleet.lost_answers = lost
        self.fleet.dropped_orders = dropped

    @rule(actions=st.integers(0, 12))
    def leader_ends(self, actions):
        self.fleet.end_leader_after(actions)
        self.fleet.run(0.5)

    @invariant()
    def nothing_has_failed(self):
        assert self.fleet.failures == {}

    def teardown(self):
        try:
            self.fleet.heal()
            served = len(self.fleet.acknowledged)
            self.fleet.run(RECOVERY_S)
            self.nothing_has_failed()
            assert len(self.fleet.acknowledged) > served, "no write is served"
        finally:
            self.simulated.close()


def test_no_former_primary_is_relied_on_whatever_fails():
    run_state_machine_as_test(
        PromotionMachine, settings=settings(max_examples=60, stateful_step_count=12)
    )


@pytest.fixture
def fleet():
    simulated = Fleet()
    yield simulated.fleet
    simulated.close()


def run_until(fleet, condition):
    """Runs a fleet step by step, for 15 s at most."""
    for _ in range(300):
        if condition():
            return
        fleet.run(0.05)
    raise AssertionError("this did not happen")


def bring_a_former_primary_back(fleet, seconds):
    """The former primary ``t1`` has missed two promotions, and is reached again.

    :param seconds: how long each of its successors is gone.
    """
    fleet.cut("t1", {0, 1}, 7.0)
    fleet.run(3.2)
    fleet.go_dark(fleet.leader.target_id, seconds)
    fleet.run(3.2)
    assert fleet.newest_term == 3
    fleet.go_dark(fleet.leader.target_id, seconds)
    fleet.run(0.6)


def test_a_former_primary_that_takes_over_acknowledges_nothing_in_its_old_term(fleet):
    """From the answer to its order on, it had acknowledged 200 to 250 writes."""
    bring_a_former_primary_back(fleet, seconds=60.0)
    served = len(fleet.acknowledged)
    fleet.run(16.0)
    assert fleet.leader.target_id == "t1"
    assert len(fleet.acknowledged) > served
    assert Failure.acknowledged_in_an_ended_term not in fleet.failures


def test_a_platform_that_promoted_nobody_leaves_a_primary(fleet):
    """The former primary was never replaced: no newer term will come."""
    fleet.dropped_orders = 2
    fleet.cut("t1", {0, 1}, 4.0)
    fleet.run(3.2)
    fleet.go_dark("t2", 60.0)
    fleet.go_dark("t3", 60.0)
    fleet.run(12.0)
    served = len(fleet.acknowledged)
    fleet.run(1.0)
    assert fleet.newest_term == 1
    assert len(fleet.acknowledged) > served
    assert fleet.failures == {}


def test_a_target_that_was_gone_when_its_promotion_was_due_is_ordered_again(fleet):
    """A promotion that control has not seen has ended the term that it leads."""
    fleet.go_dark("t3", 60.0)
    fleet.cut("t1", {0, 1}, 5.0)
    run_until(fleet, lambda: fleet.orders)
    fleet.cut("t2", set(), 60.0)
    run_until(fleet, lambda: fleet.newest_term == 2)
    fleet.go_dark("t2", 60.0)
    run_until(fleet, lambda: fleet.orders)
    fleet.restart("t1", 1.2)
    fleet.run(12.0)
    served = len(fleet.acknowledged)
    fleet.run(1.0)
    assert len(fleet.acknowledged) > served
    assert Failure.acknowledged_in_an_ended_term not in fleet.failures


def test_a_promotion_whose_order_got_no_answer_is_used_once_it_has_taken_effect(fleet):
    """Writes were refused for two more seconds."""
    fleet.lost_answers = 3
    fleet.go_dark("t1", 60.0)
    run_until(fleet, lambda: fleet.newest_term == 2)
    served = len(fleet.acknowledged)
    fleet.run(1.0)
    assert len(fleet.acknowledged) > served
    assert fleet.failures == {}


@pytest.mark.parametrize("actions", range(10))
def test_the_next_leader_relies_on_the_target_of_an_order_once_it_leads(fleet, actions):
    """The earlier one ended at one of its steps, between the order and its effect."""
    bring_a_former_primary_back(fleet, seconds=60.0)
    fleet.end_leader_after(actions)
    served = len(fleet.acknowledged)
    fleet.run(20.0)
    assert len(fleet.acknowledged) > served
    assert Failure.acknowledged_in_an_ended_term not in fleet.failures


def test_the_first_proxies_that_reach_control_again_replace_no_healthy_primary(fleet):
    """They had been told of it a moment ago, and control heard no other proxy."""
    fleet.go_dark("t1", 60.0)
    fleet.run(0.6)
    fleet.cut_from_control({0, 1, 2}, 4.0)
    fleet.run(3.6)
    fleet.cut_from_control({1, 2}, 3.0)
    fleet.run(4.0)
    assert fleet.newest_term == 2
    assert fleet.failures == {}


def test_no_commits_come_back_that_a_promotion_has_rolled_back(fleet):
    """A former primary was promoted a second before the others were back."""
    bring_a_former_primary_back(fleet, seconds=6.8)
    served = len(fleet.acknowledged)
    fleet.run(10.0)
    assert len(fleet.acknowledged) > served
    assert fleet.leader.target_id != "t1"
    assert fleet.failures == {}

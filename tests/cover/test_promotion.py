"""Promotion, leases and views under random faults, in a simulated group."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.decisions.leadership import LeadershipOptions
from godwitwheel.wire.control import GroupPhase
from godwitwheel.wire.target import Role
from tests.common.fake_group import FakeCell

TARGETS = st.sampled_from(["t0", "t1", "t2"])
FEW_TARGETS = st.sets(TARGETS, max_size=2)
PROXIES = st.integers(0, 2)


class PromotionMachine(RuleBasedStateMachine):
    """Draws faults; all processes go on in a random order between them."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.cell = FakeCell()
        self.cell.run(6.0, self.rng)
        view = self.cell.view()
        assert view.phase is GroupPhase.serving
        assert sorted(view.promotable) == ["t0", "t1", "t2"]

    @rule(
        seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0]), haste=st.sampled_from([0.2, 0.8])
    )
    def run(self, seconds, haste):
        self.cell.run(seconds, self.rng, haste)

    @rule(names=FEW_TARGETS)
    def only_these_are_dead(self, names):
        for name, target in self.cell.targets.items():
            target.alive = name not in names

    @rule(names=FEW_TARGETS, numbers=st.sets(PROXIES, max_size=1))
    def only_these_are_cut_off(self, names, numbers):
        for name, target in self.cell.targets.items():
            target.side = int(name in names)
        for number, proxy in enumerate(self.cell.proxies):
            proxy.side = int(number in numbers)

    @rule(numbers=st.sets(PROXIES, max_size=1))
    def only_these_lose_replies(self, numbers):
        for number, proxy in enumerate(self.cell.proxies):
            proxy.deaf = number in numbers

    @rule(names=FEW_TARGETS)
    def only_these_leave(self, names):
        for name, target in self.cell.targets.items():
            target.leaving = name in names

    @rule(reload=st.booleans())
    def elect_another_leader(self, reload):
        self.cell.elect(reload)

    @rule(number=PROXIES)
    def lose_leader_and_primary_at_once(self, number):
        self.only_these_are_cut_off({self.cell.view().primary}, {number})
        self.cell.elect(reload=True)

    @rule()
    def primary_and_then_the_candidate_die(self):
        view = self.cell.view()
        dead = {view.primary}
        for _ in range(80):
            self.only_these_are_dead(dead)
            self.cell.run(0.02, self.rng)
            view = self.cell.view()
            if view.phase is GroupPhase.fenced and view.primary:
                dead.add(view.primary)

    @rule(number=PROXIES)
    def primary_leaves_while_replies_get_lost(self, number):
        self.only_these_lose_replies({number})
        self.only_these_leave({self.cell.view().primary})

    @rule(name=TARGETS)
    def outdated_target_returns_alone(self, name):
        self.only_these_are_dead({name})
        self.cell.run(2.0, self.rng)
        self.only_these_are_dead({item for item in self.cell.targets if item != name})

    @rule(name=TARGETS, alone=st.booleans())
    def lose_log(self, name, alone):
        cell = self.cell
        others = [item for item in cell.view().promotable if item != name]
        if cell.view().phase is GroupPhase.serving and others and not cell.wiped:
            cell.wiped.add(name)
            cell.targets[name].wipe()
            if alone:
                for other in cell.targets.values():
                    other.alive = other.target_id == name

    @rule(heal=st.booleans())
    def gets_a_primary_again(self, heal):
        cell = self.cell
        if heal:
            for process in [*cell.targets.values(), *cell.proxies]:
                process.side = 0
            for proxy in cell.proxies:
                proxy.deaf = False
        connected = [item for item in cell.proxies if not item.side and not item.deaf]
        for _ in range(12):
            cell.run(0.5, self.rng)
            if self.serves():
                break
        usable = [
            name
            for name in cell.view().promotable
            if cell.targets[name].alive and not cell.targets[name].side
            if name not in cell.wiped
        ]
        if connected and usable:
            assert self.serves()

    def serves(self):
        view = self.cell.view()
        if view.phase is not GroupPhase.serving:
            return False
        primary = self.cell.targets[view.primary]
        is_primary = primary.role is Role.primary and primary.term == view.term
        return is_primary and primary.alive and not primary.side


def test_promotion_keeps_every_acknowledged_write_and_one_primary():
    run_state_machine_as_test(
        PromotionMachine, settings=settings(max_examples=80, stateful_step_count=30)
    )


def test_replicas_of_an_unresponsive_primary_do_not_count_as_lagging():
    slow_detection = LeadershipOptions(1.2, 0.01, 1.5, 0.4)
    cell = FakeCell(slow_detection)
    rng = random.Random(1)
    cell.run(10.0, rng)
    cell.targets["t0"].side = 1
    cell.run(5.0, rng)
    assert cell.view().phase is GroupPhase.serving
    assert cell.view().primary in ("t1", "t2")


def test_replaces_a_primary_that_lost_its_log():
    cell = FakeCell()
    rng = random.Random(1)
    cell.run(6.0, rng)
    cell.wiped.add("t0")
    cell.targets["t0"].wipe()
    cell.run(3.0, rng)
    assert cell.view().phase is GroupPhase.serving
    assert cell.view().primary in ("t1", "t2")


def test_group_is_not_fenced_if_no_target_answers_any_proxy():
    cell = FakeCell()
    rng = random.Random(1)
    cell.run(6.0, rng)
    for side in (1, 0):
        for target in cell.targets.values():
            target.side = side
        cell.run(2.0, rng)
        view = cell.view()
        assert (view.phase, view.term) == (GroupPhase.serving, 1)

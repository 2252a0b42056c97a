"""Connection quotas never exceed a target's cap, also across new leaders."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.decisions.leadership import Leadership, LeadershipOptions
from godwitwheel.decisions.quotas import QuotaTable, split
from godwitwheel.wire.control import (
    ClusterView,
    Heartbeat,
    TargetObservation,
    TargetRecord,
)
from godwitwheel.wire.target import Role, TargetStatus

CAP = 15
LEASE_S = 0.6
STEP_S = 0.05
PROXIES = st.integers(0, 3)


class FakeProxy:
    """Holds as many connections as its quota allows and its demand requires."""

    def __init__(self, name: str, incarnation: int):
        self.name = (name, incarnation)
        self.quota = 0
        self.held = 0
        self.demand = 0
        self.lease_until = 0.0
        self.connected = True

    def step(self, now: float) -> None:
        if now >= self.lease_until:
            self.quota = min(self.quota, self.held)
        self.held = min(self.demand, self.quota)


class QuotaMachine(RuleBasedStateMachine):
    """Proxies crash, restart and are isolated; leaders change.

    Connections of crashed VMs stay open at the target (``stuck``).
    """

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.proxies = [FakeProxy(f"p{i}", 1) for i in range(4)]
        self.stuck = []
        self.elect()
        self.run(4.0)

    def elect(self):
        self.table = QuotaTable(self.now + LEASE_S, ["t"])
        self.table.set_caps({"t": CAP}, self.now)
        self.leases = {}

    def send_heartbeat(self, proxy, reply_arrives=True):
        shares = self.table.targets["t"]
        heartbeat = Heartbeat(
            *proxy.name, "dc", "a:1", 0, 0, held={"t": proxy.held},
            demand={"t": proxy.demand}, quotas={"t": proxy.quota},
        )  # fmt: skip
        self.table.record_heartbeat(heartbeat, self.now)
        shares.record_open_count(self.open(), self.now)
        self.leases[proxy.name] = self.now + LEASE_S
        quotas = self.table.quotas(proxy.name, self.now)
        if reply_arrives:
            proxy.quota = quotas["t"]
            proxy.lease_until = self.now + LEASE_S

    def open(self):
        return sum(proxy.held for proxy in [*self.proxies, *self.stuck])

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for proxy in self.proxies:
                proxy.step(self.now)
                if proxy.connected and self.rng.random() < 0.4:
                    self.send_heartbeat(proxy, self.rng.random() < 0.8)
                proxy.step(self.now)
            for name, lease_until in list(self.leases.items()):
                if self.now >= lease_until:
                    del self.leases[name]
                    self.table.expire(name, self.now)
            self.check()

    def check(self):
        bounds = sum(max(item.quota, item.held) for item in self.proxies + self.stuck)
        assert bounds <= CAP, f"proxies may hold {bounds} of {CAP}"

    @rule(number=PROXIES, demand=st.integers(0, 20))
    def set_demand(self, number, demand):
        self.proxies[number].demand = demand

    @rule(number=PROXIES, closes=st.booleans())
    def crash_and_restart(self, number, closes):
        """A VM that crashes leaves its connections open at the target."""
        old = self.proxies[number]
        if not closes:
            old.quota = old.demand = old.held
            self.stuck.append(old)
        name, incarnation = old.name
        self.proxies[number] = FakeProxy(name, incarnation + 1)

    @rule(number=PROXIES)
    def isolate_or_reconnect(self, number):
        self.proxies[number].connected ^= True

    @rule()
    def elect_another_leader(self):
        self.elect()

    @rule()
    def target_is_removed_and_registers_again(self):
        """Proxies still hold their connections and quotas."""
        self.table.set_caps({}, self.now)
        self.table.set_caps({"t": CAP}, self.now)

    @rule()
    def whole_cap_is_used_again(self):
        """The whole cap is used once the target has closed stuck connections."""
        self.stuck = []
        for proxy in self.proxies:
            proxy.connected = True
            proxy.demand = 20
        self.run(8.0)
        assert self.open() == CAP


def test_quotas_stay_within_the_cap():
    run_state_machine_as_test(
        QuotaMachine, settings=settings(max_examples=40, stateful_step_count=25)
    )


def quotas_of_new_target(counts, seconds_since_election=10.0, known_before=()):
    """Returns two proxies' quotas at a target of which counts have been sampled."""
    table = QuotaTable(100.0 + LEASE_S, known_before)
    now = 100.0 + seconds_since_election
    table.set_caps({"t": CAP}, now)
    for count in counts:
        now += STEP_S
        table.record_open_count("t", count, now)
    names = [("p1", 1), ("p2", 1)]
    for name in names:
        table.record_heartbeat(Heartbeat(*name, "dc", "a:1", 0, 0), now)
    return sum(table.quotas(name, now)["t"] for name in names)


def test_a_target_that_registers_is_shared_from_its_first_count_on():
    # A data centre that was cut off within 1 s could not read its own target.
    assert quotas_of_new_target([]) == 0
    assert quotas_of_new_target([0]) == CAP
    assert quotas_of_new_target([4]) == CAP - 4


def test_a_target_that_an_earlier_leader_knew_is_not_shared_at_its_first_count():
    # Proxies may hold quotas of that leader, of which no connection is open yet.
    assert quotas_of_new_target([0], seconds_since_election=0.0) == 0
    assert quotas_of_new_target([0], known_before=["t"]) == 0


def quotas_of_leader(view_at_election, registers_after_s):
    """Returns a proxy's quota at a target that registers after an election."""
    options = LeadershipOptions(LEASE_S, 0.01, 0.3, 0.4)
    leadership = Leadership(100.0, options, "ab", view_at_election)
    targets = {"t": TargetRecord("t", "g", "dc", "a:2", 1, CAP)}
    view = ClusterView(version=9, targets=targets)
    now = 100.0 + registers_after_s
    for _ in range(2):
        now += STEP_S
        status = TargetStatus("t", "g", "dc", "a:2", Role.replica, 1, 5, 1, 2, CAP)
        observations = [TargetObservation("t", 0, status)]
        heartbeat = Heartbeat("p1", 1, "dc", "a:1", 9, 0, observations=observations)
        leadership.receive(heartbeat, view, now)
        quotas = leadership.grant(heartbeat, now, view, now)
    return quotas["t"]


def test_the_first_leader_shares_targets_that_register_at_once():
    # A data centre that was cut off within 2 s of the start could not read its own
    # target: the leader waited for the leases of an earlier one that there never was.
    assert quotas_of_leader(ClusterView(), registers_after_s=0.1) == CAP


def test_a_later_leader_waits_for_the_quotas_of_an_earlier_one():
    # An earlier leader may have granted quotas of a target that was removed since.
    view = ClusterView(version=5)
    assert quotas_of_leader(view, registers_after_s=0.1) == 0
    assert quotas_of_leader(view, registers_after_s=2 * LEASE_S) == CAP


def test_split_meets_small_demands_first_and_spreads_the_rest():
    demands = {("a", 1): 1, ("b", 1): 20, ("c", 1): 20}
    assert split(15, demands) == {("a", 1): 1, ("b", 1): 7, ("c", 1): 7}
    assert split(15, {("a", 1): 0, ("b", 1): 3}) == {("a", 1): 6, ("b", 1): 9}

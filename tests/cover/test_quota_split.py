"""The connections that all proxies may hold never exceed a target's cap."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitwheel.decisions.quotas import QuotaTable
from godwitwheel.wire.control import Heartbeat

CAP = 15
TARGET = "t1"
PROXIES = [f"p{number}" for number in range(5)]


class QuotaMachine(RuleBasedStateMachine):
    """Proxies report, open, close, lose replies and lose their leases.

    A proxy without a lease opens nothing, not even in place of a connection that it has
    closed; tests/cover/test_frozen_pool.py shows that a real one does the same.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.table = QuotaTable(self.now)
        self.table.set_caps({TARGET: CAP}, self.now)
        self.allowed = dict.fromkeys(PROXIES, 0)
        self.held = dict.fromkeys(PROXIES, 0)
        self.lapsed = set()

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.15, 0.6]))
    def wait(self, seconds):
        self.now += seconds
        self.table.record_open_count(TARGET, sum(self.held.values()), self.now)

    @rule()
    def rest(self):
        for _ in range(6):
            self.wait(0.3)

    @rule(proxy=st.sampled_from(PROXIES), demand=st.integers(0, 40), lost=st.booleans())
    def beat(self, proxy, demand, lost):
        heartbeat = Heartbeat(
            *(proxy, 1, "dc", "127.0.0.1:1", 0, 0),
            held={TARGET: self.held[proxy]},
            demand={TARGET: demand},
            quotas={TARGET: self.allowed[proxy]},
        )
        self.table.record_heartbeat(heartbeat, self.now)
        quota = self.table.quotas((proxy, 1), self.now)[TARGET]
        if not lost:
            self.allowed[proxy] = quota
            self.lapsed.discard(proxy)

    @rule(proxy=st.sampled_from(PROXIES), wanted=st.integers(0, CAP))
    def open_or_close(self, proxy, wanted):
        grown = min(wanted, max(self.allowed[proxy], self.held[proxy]))
        if proxy in self.lapsed:
            grown = min(grown, self.held[proxy])
            self.allowed[proxy] = grown
        self.held[proxy] = grown

    @rule(proxy=st.sampled_from(PROXIES))
    def lapse(self, proxy):
        self.allowed[proxy] = min(self.allowed[proxy], self.held[proxy])
        self.lapsed.add(proxy)
        self.table.expire((proxy, 1), self.now)

    @invariant()
    def sum_is_within_cap(self):
        together = sum(max(self.allowed[p], self.held[p]) for p in PROXIES)
        assert together <= CAP


TestQuotas = QuotaMachine.TestCase
TestQuotas.settings = settings(max_examples=120, stateful_step_count=60)


def test_proxy_without_a_lease_does_not_reopen_a_closed_connection():
    """The leader may have assigned that connection to another proxy by then.

    When its lease expires, a proxy lowers its quota to what it holds, and again when it
    closes a connection afterwards.
    """
    machine = QuotaMachine()
    machine.rest()
    machine.beat("p0", demand=0, lost=False)
    machine.open_or_close("p0", 1)
    machine.lapse("p0")
    machine.open_or_close("p0", 0)
    machine.rest()
    machine.beat("p1", demand=0, lost=False)
    machine.sum_is_within_cap()

"""Withdrawn keys at processes that are cut off, paused or slow to hear of a table.

Control is simulated: an answer to a report names the table that was active when the
report arrived or later, as the confirmation by a quorum guarantees.
"""

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from godwitwheel.accounts.authority import LeasedKeys
from godwitwheel.accounts.keys import digest_of
from godwitwheel.directory.records import AccountPolicy, Consistency, Route
from godwitwheel.sessions.access import authorize
from godwitwheel.sessions.context import SessionState
from tests.common.fake_sessions import SERVICE, FakeGroup

WITHDRAWAL_BOUND_S = 5.0
KEYS = ["k1", "k2", "k3"]
ACCOUNTS = ["ferry", "school"]
PROCESSES = [0, 1, 2]
ROUTE = Route("db", SERVICE, Consistency.primary, 800, 200, public=False)


class Process:
    """One proxy, whose clock runs at its own rate.

    :ivar pending: replies on their way: the table and the time of the report.
    """

    def __init__(self, drift):
        self.group = FakeGroup()
        self.drift = drift
        self.board = self.group.board
        self.restart()

    def restart(self):
        self.board.key_authority = LeasedKeys(WITHDRAWAL_BOUND_S)
        self.board.held_key_ring = None
        self.board.view = msgspec.structs.replace(
            self.board.view, table=msgspec.structs.replace(self.board.view.table)
        )
        self.pending = []

    def receive(self, table, sent_at):
        """Applies a reply that carries the active table."""
        if table.version >= self.board.view.table.version:
            self.board.view = msgspec.structs.replace(self.board.view, table=table)
        if table.version == self.board.view.table.version:
            self.board.key_authority.renew(sent_at)


class Withdrawals(RuleBasedStateMachine):
    """Keys move between accounts while processes hear of it late or not at all.

    :ivar holders: for each key, since when which account holds it, the newest last.
    """

    @initialize(drifts=st.tuples(*[st.sampled_from([0.99, 1.0, 1.01])] * 3))
    def start(self, drifts):
        self.now = 0.0
        self.version = 1
        self.processes = [Process(drift) for drift in drifts]
        self.holders = {key: [(0.0, None)] for key in KEYS}
        self.publish_keys({"k1": "ferry", "k2": "school"})

    def publish_keys(self, holders):
        self.version += 1
        for key in KEYS:
            holder = holders.get(key)
            if self.holders[key][-1][1] != holder:
                self.holders[key].append((self.now, holder))
        accounts = {
            name: AccountPolicy(
                name, [digest_of(key) for key in KEYS if holders.get(key) == name]
            )
            for name in ACCOUNTS
        }
        table = self.processes[0].board.view.table
        self.table = msgspec.structs.replace(
            table, version=self.version, accounts=accounts
        )

    @rule(key=st.sampled_from(KEYS), holder=st.sampled_from([None, *ACCOUNTS]))
    def publish(self, key, holder):
        holders = {each: spans[-1][1] for each, spans in self.holders.items()}
        self.publish_keys({**holders, key: holder})

    @rule(process=st.sampled_from(PROCESSES))
    def report_and_receive(self, process):
        """A report is answered at once."""
        reporter = self.processes[process]
        reporter.receive(self.table, reporter.group.clock.now())

    @rule(process=st.sampled_from(PROCESSES))
    def report(self, process):
        """A report arrives at control; its reply may take any time."""
        reporter = self.processes[process]
        reporter.pending.append((self.table, reporter.group.clock.now()))

    @rule(process=st.sampled_from(PROCESSES), data=st.data())
    def receive_reply(self, process, data):
        pending = self.processes[process].pending
        if pending:
            index = data.draw(st.integers(0, len(pending) - 1))
            self.processes[process].receive(*pending.pop(index))

    @rule(process=st.sampled_from(PROCESSES))
    def restart(self, process):
        self.processes[process].restart()

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.5, 4.4, 5.05]))
    def pass_time(self, seconds):
        self.now += seconds
        for process in self.processes:
            process.group.clock.advance(seconds * process.drift)

    @invariant()
    def no_key_serves_an_account_beyond_the_bound(self):
        for process in self.processes:
            for key in KEYS:
                self.check_statement(process, key)

    def check_statement(self, process, key):
        state = SessionState("s1", "db", digest_of(key))
        now = process.group.clock.now()
        if authorize(process.group.context, state, ROUTE, now) is not None:
            return
        assert state.account in self.holders_since(key, self.now - WITHDRAWAL_BOUND_S)

    def holders_since(self, key, since):
        """Returns the accounts that held a key at any moment from ``since`` on."""
        spans = self.holders[key]
        ends = [at for at, _ in spans[1:]] + [float("inf")]
        return [
            holder for (_, holder), end in zip(spans, ends, strict=True) if end >= since
        ]


TestWithdrawals = Withdrawals.TestCase
TestWithdrawals.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)

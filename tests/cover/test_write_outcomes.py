"""A write that ran is never answered ``not_run``, whichever fault occurs."""

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions.sessions import Session
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.context import ProxyContext
from godwitwheel.proxy.metrics import ProxyMetrics
from godwitwheel.proxy.pools import TargetPools
from godwitwheel.proxy.positions import PositionTracker
from godwitwheel.proxy.work import Work
from godwitwheel.proxy.writes import WriteExecutor
from godwitwheel.targets.base import TargetConnection
from godwitwheel.targets.errors import MayHaveRun, NotRun, Refused
from godwitwheel.wire.caller import CallerRequest, CallerStatement, Outcome
from godwitwheel.wire.service import Access, RequestRule, Service
from godwitwheel.wire.target import (
    ProblemCode,
    Role,
    SessionOpened,
    StatementReply,
    StepReply,
    TargetProblem,
)
from tests.common.group_model import GROUP, ModelControl

DEADLINE_S = 0.15
FAULTS = [
    "none",
    "none",
    "not_sent",
    "lost_before",
    "lost_after",
    "refused",
    "not_primary",
    "failed_after",
    "lease_lost_before",
    "lease_lost_after",
    "replaced_before",
    "replaced_after",
]


class ScriptedTarget:
    """A primary with a scripted sequence of faults.

    :ivar committed: how often the write took effect.
    :ivar changed: called after a change of the lease or the view.
    """

    def __init__(self, faults: list[str], board: Blackboard):
        self.faults = list(faults)
        self.board = board
        self.committed = 0
        self.control = ModelControl(["t0", "t1"])
        self.control.commit(ack_set=["t0"], promotable=["t0", "t1"])
        self.board.view = self.control.view
        self.changed = lambda: None

    def step(self, effect) -> None:
        """Applies an effect, with the next fault before or after it."""
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "not_sent":
            raise NotRun(fault)
        if fault in ("refused", "not_primary"):
            is_primary = fault == "refused"
            code = ProblemCode.statement_failed if is_primary else "not_primary"
            raise Refused(TargetProblem(ProblemCode(code), fault, ran=False))
        self.inject_fault(fault, "_before")
        effect()
        self.inject_fault(fault, "_after")

    def inject_fault(self, fault: str, moment: str) -> None:
        if not fault.endswith(moment):
            return
        if fault.startswith("lost"):
            raise MayHaveRun(fault)
        if fault.startswith("failed"):
            problem = TargetProblem(ProblemCode.statement_failed, fault, ran=True)
            raise Refused(problem)
        if fault.startswith("lease"):
            self.board.lease.expires_at = 0.0
        elif len(self.control.group.promotable) > 1:
            self.control.fence("")
            self.control.promote()
            self.board.view = self.control.view
        self.changed()
        sleep(0)
        sleep(0)


class ScriptedConnection(TargetConnection):
    """A connection whose transaction takes effect at its commit."""

    __slots__ = ("target", "in_transaction", "is_closed")

    def __init__(self, target_id: str, target: ScriptedTarget):
        super().__init__(target_id)
        self.target = target
        self.in_transaction = False
        self.is_closed = False

    def open(self, timeout_s):
        return SessionOpened(1, Role.primary)

    def run(self, sql, parameters, read_only, timeout_s):
        self.target.step(lambda: self.count(0 if self.in_transaction else 1))
        return StatementReply(1, self.target.control.group.term, 1)

    def begin(self, read_only, timeout_s):
        self.in_transaction = True
        self.target.step(lambda: None)
        return StepReply(1, self.target.control.group.term, 1)

    def commit(self, timeout_s):
        self.target.step(lambda: self.count(1))
        self.in_transaction = False
        return StepReply(1, self.target.control.group.term, 1)

    def rollback(self, timeout_s):
        self.target.step(lambda: None)
        self.in_transaction = False
        return StepReply(1, self.target.control.group.term, 1)

    def count(self, commits: int) -> None:
        self.target.committed += commits

    def close(self):
        self.is_closed = True

    def is_reusable(self):
        return not self.is_closed and not self.in_transaction


def run_write(faults, statement_count, repeatable):
    """Runs one write in a task of its own.

    :returns: the answer, and how often the write took effect.
    """
    clock = BootClock()
    board = Blackboard(ProxyIdentity("p0", 1, "dc", "127.0.0.1:2"))
    board.lease.expires_at = clock.now() + 60.0
    board.quotas = {"t0": 1, "t1": 1}
    target = ScriptedTarget(faults, board)
    pools = TargetPools(board, lambda name, _: ScriptedConnection(name, target), clock)
    metrics = ProxyMetrics(ProcessMetrics("p0", "proxy"))
    context = ProxyContext(board, clock, pools, metrics, random.Random(1))
    target.changed = context.handle_authority_change
    rule = RequestRule(GROUP, Access.write, repeatable=repeatable)
    work = Work(
        CallerRequest("s", "w", [CallerStatement("x")] * statement_count),
        Service("s", {"w": rule}),
        rule,
        Session({}, is_complete=True),
        "",
        clock.now(),
        clock.now() + DEADLINE_S,
    )
    writes = WriteExecutor(context, PositionTracker(context, None))
    answer = spawn(writes.run, work).wait()
    assert not context.in_flight.by_task
    return answer, target.committed


@example(["lost_after", "refused"], 1, True)
@example(["failed_after"], 1, False)
@settings(max_examples=150)
@given(
    faults=st.lists(st.sampled_from(FAULTS), max_size=6),
    statement_count=st.integers(1, 2),
    repeatable=st.booleans(),
)
def test_says_not_run_only_of_what_did_not_run(faults, statement_count, repeatable):
    answer, committed = run_write(faults, statement_count, repeatable)
    if answer.outcome is Outcome.not_run:
        assert committed == 0
    if answer.outcome is Outcome.done:
        assert committed >= 1
    if not repeatable:
        assert committed <= 1


@pytest.mark.parametrize("fault", ["lease_lost_after", "replaced_before", "lost_after"])
def test_dispatched_write_without_authority_or_reply_is_unknown(fault):
    answer, _ = run_write([fault], 1, False)
    assert answer.outcome is Outcome.unknown


@pytest.mark.parametrize("fault", ["not_sent", "not_primary"])
def test_retries_writes_that_certainly_did_not_run(fault):
    answer, committed = run_write([fault], 1, False)
    assert (answer.outcome, committed) == (Outcome.done, 1)

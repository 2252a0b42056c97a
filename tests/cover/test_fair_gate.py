"""Turns of several accounts at the concurrency limiter of a target."""

import contextlib

import pytest

from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.errors import TurnRefused
from godwitwheel.sessions.queueing.gate import ConcurrencyLimiter
from godwitwheel.sessions.queueing.turns import TurnRequest

SLOTS = 2
WAIT_BUDGET_S = 5.0


class Statements:
    """Statements at one target, of which those that have begun run until the end."""

    def __init__(self):
        self.clock = BootClock()
        self.limiter = ConcurrencyLimiter(SLOTS, self.clock)
        self.served = []

    def request(self, account, wait_budget_s=WAIT_BUDGET_S):
        deadline = self.clock.now() + wait_budget_s
        return TurnRequest("view", account, 2, deadline)

    def run(self, account):
        with self.limiter.turn(self.request(account)):
            self.served.append(account)

    @contextlib.contextmanager
    def full(self):
        """Holds all turns for the duration of the block."""
        with contextlib.ExitStack() as stack:
            for _ in range(self.limiter.queue.limit):
                stack.enter_context(self.limiter.turn(self.request("hot")))
            yield


def test_an_account_with_one_statement_does_not_wait_for_the_queue_of_another():
    statements = Statements()
    with statements.full():
        tasks = [spawn(statements.run, "hot") for _ in range(6)]
        sleep()
        tasks.append(spawn(statements.run, "light"))
        sleep()
    for task in tasks:
        task.wait()
    assert statements.served == ["light"] + 6 * ["hot"]


def test_a_refusal_tells_the_retry_time_of_the_account():
    """Guards against a retry time that covers the queue of another account."""
    statements = Statements()
    limiter = statements.limiter
    with statements.full():
        tasks = [spawn(statements.run, "hot") for _ in range(30)]
        sleep()
        with (
            pytest.raises(TurnRefused) as hot,
            limiter.turn(statements.request("hot", 0.05)),
        ):
            pass
        with (
            pytest.raises(TurnRefused) as light,
            limiter.turn(statements.request("light", 0.0)),
        ):
            pass
    for task in tasks:
        task.wait()
    assert hot.value.retry_after_s == pytest.approx(0.2)
    assert light.value.retry_after_s == 0.0

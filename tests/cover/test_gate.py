"""Concurrency limit of the statements at a target."""

import contextlib

import pytest

from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import Event, sleep, spawn
from godwitwheel.sessions.errors import TurnRefused
from godwitwheel.sessions.queueing.gate import STATEMENTS_AHEAD, ConcurrencyLimiter
from godwitwheel.sessions.queueing.turns import MAX_RUNNING_FACTOR, TurnRequest

SLOTS = 2
WAIT_BUDGET_S = 5.0


class LimiterHarness:
    """A concurrency limiter whose turns are held until the test ends them."""

    def __init__(self):
        self.clock = BootClock()
        self.limiter = ConcurrencyLimiter(SLOTS, self.clock)
        self.served: list[str] = []
        self.refused: list[str] = []

    @property
    def running(self):
        return len(self.limiter.queue.running)

    def hold(self, name, priority, wait_budget_s, release):
        request = TurnRequest(
            "view", NO_ACCOUNT, priority, self.clock.now() + wait_budget_s
        )
        try:
            with self.limiter.turn(request):
                self.served.append(name)
                release.wait()
        except TurnRefused:
            self.refused.append(name)

    def start(self, name, priority=1, wait_budget_s=WAIT_BUDGET_S):
        release = Event()
        task = spawn(self.hold, name, priority, wait_budget_s, release)
        sleep()
        return release, task


@pytest.fixture
def full():
    """A concurrency limiter at its limit."""
    harness = LimiterHarness()
    harness.held = [harness.start("first") for _ in range(SLOTS + STATEMENTS_AHEAD)]
    harness.served.clear()
    return harness


def end(held):
    release, task = held
    release.send()
    task.wait()
    sleep()


def test_concurrency_is_limited_to_the_slots_and_one_ahead(full):
    assert full.running == SLOTS + STATEMENTS_AHEAD


def test_a_statement_past_its_deadline_is_refused(full):
    _, task = full.start("late", wait_budget_s=0.0)
    task.wait()
    assert (full.served, full.refused) == ([], ["late"])
    assert full.limiter.queue.waiting == []
    assert full.running == SLOTS + STATEMENTS_AHEAD


def test_turns_are_granted_by_priority_then_order_of_arrival(full):
    names = ((2, "view-1"), (2, "view-2"), (1, "order"), (-1, "tx"))
    waiting = [full.start(name, priority) for priority, name in names]
    for held in full.held:
        end(held)
    for release, _ in waiting:
        release.send()
    for _, task in waiting:
        task.wait()
    assert full.served == ["tx", "order", "view-1", "view-2"]


def test_a_statement_expected_to_miss_its_deadline_is_refused_at_once(full):
    full.limiter.queue.turn_s["view"] = 1.0
    for _ in range(full.limiter.queue.limit):
        full.start("patient")
    full.start("hurried", wait_budget_s=0.2)
    assert (full.served, full.refused) == ([], ["hurried"])


def test_overdue_turns_do_not_count_against_the_limit(full):
    """Their answers may be lost while the target has free slots."""
    limit = full.limiter.queue.limit
    for turn in full.limiter.queue.running:
        turn.overdue_at = full.clock.now()
    waiting = [full.start("next") for _ in range(limit + 1)]
    assert full.served == ["next"] * limit
    assert full.running == 2 * limit
    for held in [*full.held, *waiting]:
        end(held)
    assert full.running == 0


def test_running_statements_are_bounded_when_all_turns_are_overdue(full):
    limit = full.limiter.queue.limit
    for _ in range(MAX_RUNNING_FACTOR):
        for turn in full.limiter.queue.running:
            turn.overdue_at = full.clock.now()
        for _ in range(limit):
            full.start("next")
    assert full.running == MAX_RUNNING_FACTOR * limit


def test_a_killed_task_leaves_the_queue(full):
    _, killed = full.start("killed")
    release, task = full.start("next")
    killed.kill()
    end(full.held[0])
    release.send()
    task.wait()
    assert full.served == ["next"]
    assert full.limiter.events == {}


def test_no_turn_leaks():
    harness = LimiterHarness()
    tasks = [
        spawn(harness.hold, "brief", 1, 0.001 * (number % 7), FixedDuration(0.002))
        for number in range(60)
    ]
    for task in tasks:
        task.wait()
    assert len(harness.served) + len(harness.refused) == 60
    with contextlib.ExitStack() as stack:
        for _ in range(SLOTS + STATEMENTS_AHEAD):
            now = harness.clock.now()
            stack.enter_context(
                harness.limiter.turn(TurnRequest("view", NO_ACCOUNT, 1, now))
            )
        assert harness.running == SLOTS + STATEMENTS_AHEAD


class FixedDuration:
    """Takes the place of a release event: the work ends after a fixed time."""

    def __init__(self, seconds):
        self.seconds = seconds

    def wait(self):
        sleep(self.seconds)

"""Turns at a target: priority, time limits, and the load that they answer."""

from godwitwheel.internal.clock import BootClock, ManualClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.gate import STATEMENTS_AHEAD, TURN_LIMIT_S, RunGate

SLOTS = 2
PATIENT_S = 5.0


def full_gate():
    gate = RunGate(ManualClock(), SLOTS)
    for _ in range(SLOTS + STATEMENTS_AHEAD):
        assert gate.enter(1, PATIENT_S) is not None
    return gate


def test_as_many_run_as_there_are_slots_and_one_ahead():
    assert full_gate().running(0.0) == SLOTS + STATEMENTS_AHEAD


def test_a_statement_whose_time_is_over_gets_no_turn():
    gate = full_gate()
    assert gate.enter(1, 0.0) is None
    assert gate.waiters == []
    assert gate.running(0.0) == SLOTS + STATEMENTS_AHEAD


def test_the_more_important_goes_first_and_equals_in_order():
    gate = full_gate()
    served = []

    def wait(priority, name):
        entered_at = gate.enter(priority, PATIENT_S)
        if entered_at is not None:
            served.append(name)
            gate.leave(entered_at)

    tasks = [
        spawn(wait, priority, name)
        for priority, name in ((2, "view-1"), (2, "view-2"), (1, "order"), (-1, "tx"))
    ]
    sleep()
    gate.leave(0.0)
    for task in tasks:
        task.wait()
    assert served == ["tx", "order", "view-1", "view-2"]


def test_statements_whose_answers_are_lost_do_not_keep_their_turns():
    """A fifth of the answers of a primary are lost; its slots are free all the same."""
    clock = ManualClock()
    gate = RunGate(clock, SLOTS)
    served = 0
    for number in range(100):
        entered_at = gate.enter(1, PATIENT_S)
        assert entered_at is not None
        served += 1
        clock.advance(0.02)
        if number % 5:
            gate.leave(entered_at)
    assert served == 100
    clock.advance(TURN_LIMIT_S)
    assert gate.running(clock.now()) == 0


def test_a_waiting_statement_gets_the_turn_of_one_that_has_had_its_time():
    gate = RunGate(BootClock(), 1)
    for _ in range(1 + STATEMENTS_AHEAD):
        assert gate.enter(1, PATIENT_S) is not None
    assert gate.enter(1, PATIENT_S) is not None


def test_a_turn_is_never_lost():
    clock = BootClock()
    gate = RunGate(clock, SLOTS)
    served = []

    def run(number):
        entered_at = gate.enter(number % 3, 0.01 * number)
        if entered_at is not None:
            sleep(0.003)
            gate.leave(entered_at)
            served.append(number)

    tasks = [spawn(run, number) for number in range(40)]
    for task in tasks:
        task.wait()
    assert gate.waiters == []
    assert gate.entered == []
    assert len(served) >= SLOTS + STATEMENTS_AHEAD

"""Turns at a target: priority, time limits, and the load that they answer."""

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.gate import STATEMENTS_AHEAD, RunGate

SLOTS = 2
PATIENT_S = 5.0


def full_gate():
    gate = RunGate(SLOTS)
    for _ in range(SLOTS + STATEMENTS_AHEAD):
        assert gate.enter(1, PATIENT_S)
    return gate


def test_as_many_run_as_there_are_slots_and_one_ahead():
    assert full_gate().running == SLOTS + STATEMENTS_AHEAD


def test_a_statement_whose_time_is_over_gets_no_turn():
    gate = full_gate()
    assert not gate.enter(1, 0.0)
    assert gate.waiters == []
    assert gate.running == SLOTS + STATEMENTS_AHEAD


def test_the_more_important_goes_first_and_equals_in_order():
    gate = full_gate()
    served = []

    def wait(priority, name):
        if gate.enter(priority, PATIENT_S):
            served.append(name)
            gate.leave()

    tasks = [
        spawn(wait, priority, name)
        for priority, name in ((2, "view-1"), (2, "view-2"), (1, "order"), (-1, "tx"))
    ]
    sleep()
    gate.leave()
    for task in tasks:
        task.wait()
    assert served == ["tx", "order", "view-1", "view-2"]


def test_a_turn_is_never_lost():
    gate = full_gate()
    tasks = [spawn(gate.enter, 1, 0.001 * number) for number in range(20)]
    sleep(0.005)
    for _ in range(5):
        gate.leave()
        sleep(0.002)
    granted = sum(task.wait() for task in tasks)
    assert gate.running == SLOTS + STATEMENTS_AHEAD - 5 + granted
    assert gate.waiters == []

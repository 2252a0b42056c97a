"""Admission control keeps a target's goodput and fairness under overload."""

import pytest

from godwitwheel.decisions.admission import MAX_QUEUE_WAIT_S
from godwitwheel.wire.service import Access
from tests.common.gate_simulation import Simulation

SLOTS = 2
SERVICE_S = 0.005
CAPACITY = SLOTS / SERVICE_S
DEADLINE_S = 0.1
SECONDS = 20.0
ROUNDING_S = 1e-9


def simulate(*loads, quota=15) -> Simulation:
    """Offers loads of ``(service, access, multiple of the capacity)`` to one target."""
    simulation = Simulation(quota, SLOTS, SERVICE_S, DEADLINE_S)
    for service, access, multiple in loads:
        simulation.offer_load(service, access, multiple * CAPACITY, SECONDS)
    simulation.run()
    return simulation


@pytest.mark.parametrize("multiple", [0.5, 1.0, 2.0, 3.0])
def test_keeps_goodput_under_overload(multiple):
    simulation = simulate(("a", Access.read, multiple))
    goodput = sum(simulation.in_time.values()) / SECONDS
    assert goodput >= 0.9 * CAPACITY * min(multiple, 1.0)
    assert simulation.late <= 0.01 * goodput * SECONDS


def test_refuses_work_long_before_its_deadline():
    simulation = simulate(("a", Access.read, 3.0))
    longest_s = min(MAX_QUEUE_WAIT_S, DEADLINE_S / 2) + ROUNDING_S
    assert max(simulation.refused) <= longest_s
    refused_immediately = sum(waited_s == 0 for waited_s in simulation.refused)
    assert refused_immediately >= 0.9 * len(simulation.refused)


def test_overload_by_one_service_does_not_starve_another():
    simulation = simulate(("small", Access.read, 0.3), ("flood", Access.read, 3.0))
    served = simulation.in_time["small", Access.read] / SECONDS
    assert served >= 0.9 * 0.3 * CAPACITY


def test_reserves_connections_of_a_primary_for_writes():
    simulation = Simulation(4, 4, SERVICE_S, DEADLINE_S)
    simulation.admission.serves_writes = True
    simulation.offer_load("a", Access.read, 3.0 * CAPACITY * 2, SECONDS)
    simulation.offer_load("a", Access.write, 0.2 * CAPACITY * 2, SECONDS)
    simulation.run()
    served = simulation.in_time["a", Access.write]
    assert simulation.admitted_immediately[Access.write] >= 0.3 * served
    assert served / SECONDS >= 0.97 * 0.2 * CAPACITY * 2

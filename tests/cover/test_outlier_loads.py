"""Ejections under loads of many minutes, and what callers get from uneven targets."""

import pytest

from godwitwheel.decisions.outliers import MAX_EJECTION_S, TRIAL_SUCCESSES
from godwitwheel.observe.events import EventName
from tests.common.outlier_simulation import Fault, Kind, Simulation

NORMAL_S = 600.0
HEALTHY_S = 20.0
FAULTY_S = 30.0
# A target is ejected within about two seconds of traffic: that time in seconds, or the
# statements of two seconds at a target that gets 20 a second.
DETECTION_S = 2.5
DETECTION_STATEMENTS = 40
FAULTS = {
    "failed": Fault(failed=0.4),
    "busy": Fault(busy=0.4),
    "lost": Fault(lost=0.4),
    "hung": Fault(hung=0.4),
    "slow_5": Fault(slow=5.0),
    "slow_8": Fault(slow=8.0),
}
# Reads avoid a slow target for its latency alone, often before enough of its answers
# could be compared.
EJECTING_FAULTS = ["failed", "busy", "lost", "hung"]


def kinds(reads_per_s, writes_per_s):
    """Returns kinds of which the longest takes eleven times as long as the shortest."""
    return [
        Kind("view", 0.5 * reads_per_s, 0.003, 0.1),
        Kind("search", 0.3 * reads_per_s, 0.010, 0.25),
        Kind("report", 0.2 * reads_per_s, 0.034, 0.6),
        Kind("order", writes_per_s, 0.006, 0.2, is_write=True),
    ]


@pytest.mark.parametrize("lagging", [0.0, 0.5])
@pytest.mark.parametrize(
    ("reads_per_s", "writes_per_s"), [(15, 5), (30, 20), (60, 5), (90, 30)]
)
def test_healthy_targets_are_not_ejected(reads_per_s, writes_per_s, lagging):
    """Long statements, lag and a busy primary are the normal spread of durations.

    With 15 reads a second the replicas get 1 to 3 of them, with 90 about 20.
    """
    simulation = Simulation(kinds(reads_per_s, writes_per_s), seed=7)
    simulation.faults["t3"] = Fault(lagging=lagging)
    simulation.run(NORMAL_S)
    assert simulation.ejections() == []


class FaultyRun:
    """A load on healthy targets, during the fault of one, and after it."""

    def __init__(self, target_id, fault, seed):
        self.target_id = target_id
        self.simulation = Simulation(kinds(60, 20), seed)
        self.starts_at = self.simulation.clock.now()
        self.simulation.run(HEALTHY_S)
        self.faulty_at = self.simulation.clock.now()
        self.simulation.faults[target_id] = fault
        self.simulation.run(FAULTY_S)
        self.mended_at = self.simulation.clock.now()
        del self.simulation.faults[target_id]
        self.simulation.run(HEALTHY_S)

    def settled(self):
        """Returns the time from the detection of the fault to its end."""
        return self.faulty_at + DETECTION_S, self.mended_at

    def is_detected_in_time(self):
        """Whether no target but the faulty one was ejected, and that soon enough."""
        ejections = self.simulation.ejections()
        if {target_id for _, target_id in ejections} != {self.target_id}:
            return False
        ejected_at = ejections[0][0]
        sent = self.simulation.sent[self.target_id]
        statements = sum(self.faulty_at <= at < ejected_at for at in sent)
        if statements <= DETECTION_STATEMENTS:
            return ejected_at >= self.faulty_at
        return self.faulty_at <= ejected_at <= self.faulty_at + DETECTION_S


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", FAULTS)
def test_callers_are_served_despite_an_uneven_replica(fault, seed):
    run = FaultyRun("t2", FAULTS[fault], seed)
    simulation = run.simulation
    before = simulation.served_share(run.starts_at, run.faulty_at)
    assert simulation.served_share(*run.settled()) >= before - 0.01
    assert simulation.sent_share("t2", *run.settled()) <= 0.05
    if fault in EJECTING_FAULTS:
        assert run.is_detected_in_time()
    assert {target_id for _, target_id in simulation.ejections()} <= {"t2"}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", FAULTS)
def test_reads_prefer_replicas_to_an_uneven_primary(fault, seed):
    """It still gets every write, a quarter of the statements."""
    run = FaultyRun("t1", FAULTS[fault], seed)
    if fault in EJECTING_FAULTS:
        assert run.is_detected_in_time()
    assert run.simulation.sent_share("t1", *run.settled()) <= 0.3
    assert run.simulation.served_share(*run.settled()) >= 0.98


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", EJECTING_FAULTS)
def test_a_mended_replica_gets_reads_again(fault, seed):
    """It is tried once the last ejection ends, and not ejected again."""
    run = FaultyRun("t2", FAULTS[fault], seed)
    restored_at, event, target_id = run.simulation.events[-1]
    assert (event, target_id) == (EventName.target_restored, "t2")
    assert run.mended_at <= restored_at <= run.mended_at + MAX_EJECTION_S + 1.0
    sent = [at for at in run.simulation.sent["t2"] if at > restored_at]
    assert len(sent) > TRIAL_SUCCESSES

"""Faults of the soak end with its run."""

from bench.soak import run
from bench.soak.faults import Fault
from bench.soak.run import Soak, SoakOptions
from godwitwheel.internal.loop import sleep, spawn

FAULT_S = 0.2


class RecordedFault(Fault):
    """Records whether it has begun and ended."""

    def __init__(self):
        self.what = ""
        self.calls = []

    def begin(self):
        self.calls.append("begin")

    def end(self):
        self.calls.append("end")


def test_no_fault_restarts_a_process_after_the_run_was_ended(tmp_path, monkeypatch):
    # The soak left a process of control running: a run that is ended kills all
    # processes, but a fault that was under way started its own again.
    faults = []

    def draw(context):
        faults.append(RecordedFault())
        return faults[-1]

    monkeypatch.setattr(run, "draw_fault", draw)
    monkeypatch.setattr(run, "FAULT_DURATION_S", (FAULT_S, FAULT_S))
    soak = Soak(SoakOptions(1, 60.0, 1, 1, 1), tmp_path)
    task = spawn(soak._inject_faults)
    while not faults or not faults[0].calls:
        sleep(0.01)
    task.kill()
    sleep(2 * FAULT_S)
    assert faults[0].calls == ["begin"]

"""Faults of the soak leave no process behind."""

import subprocess

from bench.soak import run
from bench.soak.faults import Fault
from bench.soak.fleet_processes import SoakProcess
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


class YieldingChild:
    """A child process that yields to other tasks while it is started."""

    started = []

    def __init__(self, *arguments, **options):
        sleep(0.01)
        self.started.append(self)

    def poll(self):
        return None


def test_two_faults_that_end_at_once_start_one_process(tmp_path, monkeypatch):
    # The soak left a process of control running (seed 633): all members and one of them
    # were started again at once, so that it was started twice and ended once.
    monkeypatch.setattr(subprocess, "Popen", YieldingChild)
    monkeypatch.setattr(YieldingChild, "started", [])
    process = SoakProcess("core", "core-1", "127.0.0.1", tmp_path)
    tasks = [spawn(process.start_again) for _ in range(2)]
    for task in tasks:
        task.wait()
    assert process.is_running()
    assert len(YieldingChild.started) == 1

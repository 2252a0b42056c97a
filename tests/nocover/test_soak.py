"""A short seeded run of the soak, and the seeds that have failed."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 240.0
# Every seed that has ever failed, with its cause.
SEEDS = {
    1: "the first seed; it has not failed",
    2: "with client accounts: QUOTA, before their limits were enforced",
}


@pytest.mark.parametrize("seed", sorted(SEEDS))
def test_no_promise_is_broken(seed, tmp_path):
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed)]
    command += ["--seconds", "6", "--fronts", "3", "--callers", "8"]
    command += ["--folder", str(tmp_path)]
    finished = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert finished.returncode == 0, finished.stdout + finished.stderr


def test_no_promise_is_broken_by_the_programs_as_they_are_deployed(tmp_path):
    # A library or a flag of the deploy file was in no test: the soak runs the programs
    # with the libraries of the tests. The texts are drawn from all that is allowed.
    command = [sys.executable, "-m", "bench.soak", "--deployed", "--seed", "1"]
    command += ["--seconds", "6", "--fronts", "3", "--callers", "8"]
    command += ["--folder", str(tmp_path)]
    finished = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert finished.returncode == 0, finished.stdout + finished.stderr
    assert " 0 served" not in finished.stdout


def test_the_folder_for_logs_is_created(tmp_path):
    # A folder that did not exist ended the soak with a traceback.
    folder = tmp_path / "new" / "logs"
    command = [sys.executable, "-m", "bench.soak", "--seeds", "0"]
    command += ["--folder", str(folder)]
    finished = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=TIMEOUT_S)
    assert finished.returncode == 0, finished.stderr
    assert folder.is_dir()

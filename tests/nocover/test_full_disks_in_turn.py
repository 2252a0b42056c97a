"""Real processes whose disks are full for some seconds, one after another."""

import time

from bench.soak.mischief import DiskState, InjectedFaults
from bench.soak.run import Soak, SoakOptions
from godwitwheel.internal.loop import sleep

START_TIMEOUT_S = 30.0
# Bound on the acknowledgement of a change.
ACKNOWLEDGE_TIMEOUT_S = 5.0
FULL_S = 3.0
GAP_S = 0.2


def test_changes_are_acknowledged_and_no_process_restarts(tmp_path):
    """Elsewhere changes were refused or unanswered long after all disks had room."""
    options = SoakOptions(seed=1, seconds=0.0, fronts=1, cores=3, callers=0)
    with Soak(options, tmp_path) as soak:
        operator = soak.operator
        assert operator.publish(START_TIMEOUT_S)
        members = soak.fleet.of_role("core")
        pids = [member.child.pid for member in members]
        for host in soak.fleet.core_hosts * 2:
            soak.fleet.set_injected_faults(host, InjectedFaults(disk=DiskState.full))
            ends_at = time.monotonic() + FULL_S
            while time.monotonic() < ends_at:
                assert operator.publish(ACKNOWLEDGE_TIMEOUT_S), f"{host} is full"
                sleep(0.1)
            soak.fleet.set_injected_faults(host, InjectedFaults())
            sleep(GAP_S)
        for _ in range(10):
            assert operator.publish(ACKNOWLEDGE_TIMEOUT_S)
        # Members that don't lead answer a read with a redirect.
        ends_at = time.monotonic() + ACKNOWLEDGE_TIMEOUT_S
        while (version := operator.read()) == 0 and time.monotonic() < ends_at:
            sleep(0.1)
        assert version == operator.version
        assert [member.child.pid for member in members] == pids
        assert all(member.is_running() for member in members)
        assert soak.promises.violations == []

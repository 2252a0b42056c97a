"""``make demo``: bookings resume after a primary is killed.

Starts hangar-ledger's whole deployment on this machine, publishes the files of
two services, books under load, kills a primary and checks every answer.
"""

from godwitwheel.internal.loop import patch_standard_library

patch_standard_library(with_subprocesses=True)

import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from godwitwheel.internal.loop import sleep, spawn  # noqa: E402

from .deployment import Deployment  # noqa: E402
from .ledger_check import CheckResult  # noqa: E402
from .load_run import (  # noqa: E402
    check_records,
    failover_gap_s,
    output_tails,
    traffic_for,
)
from .topology import ferreira  # noqa: E402
from .traffic import Traffic  # noqa: E402

RATE_PER_S = 120.0
LOAD_S = 16.0
KILL_AFTER_S = 5.0
FINDINGS_SHOWN = 5


def run(deployment: Deployment) -> int:
    """Runs the demo on a running deployment and returns the exit code."""
    group = deployment.topology.groups[0]
    traffic = traffic_for(deployment)
    load = spawn(traffic.run, RATE_PER_S, LOAD_S)
    sleep(KILL_AFTER_S)
    primary = deployment.primary_of(group)
    print(f"killing {primary}, the primary of {group}", flush=True)
    killed_at = time.monotonic()
    deployment.kill(primary)
    load.wait()
    traffic.wait_for_answers()
    result = check_records(deployment, traffic.records)
    gap_s = failover_gap_s(traffic.records, group, primary, killed_at)
    report(traffic, result, gap_s)
    return 0 if result.is_clean() and gap_s is not None else 1


def report(traffic: Traffic, result: CheckResult, gap_s: float | None) -> None:
    """Prints the results of the run."""
    gap = "bookings did not resume" if gap_s is None else f"{gap_s * 1000:.0f} ms"
    print(f"sent              {len(traffic.records)}")
    print(f"acknowledged      {result.acknowledged}")
    print(f"lost              {len(result.lost)}")
    print(f"doubled           {len(result.doubled)}")
    print(f"unknown           {result.unknown}")
    print(f"refused           {result.refused}")
    print(f"failover gap      {gap}")
    print(f"replica share     {result.replica_share():.0%} of {result.reads} reads")
    for name, findings in result.faults().items():
        print(f"FAULT {name}: {len(findings)}: {findings[:FINDINGS_SHOWN]}")


def main() -> int:
    """Runs the demo; the logs are kept if it fails."""
    folder = Path(tempfile.mkdtemp(prefix="godwitwheel-demo-"))
    print(f"starting hangar-ledger's deployment, logs in {folder}", flush=True)
    code = 1
    try:
        with Deployment(ferreira(), folder=folder) as deployment:
            code = run(deployment)
    except Exception as error:
        print(f"the demo failed: {error!r}")
    if code:
        print(output_tails(folder))
        print(f"logs are kept in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return code


if __name__ == "__main__":
    sys.exit(main())

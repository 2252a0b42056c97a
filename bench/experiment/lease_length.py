"""Measures the failover gap for several lease lengths and heartbeat intervals."""

import os
import statistics
import time

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep, spawn

from ..deployment import Deployment
from ..load_run import failover_gap_s, traffic_for
from ..topology import ferreira
from .base import Experiment, Row
from .failover import PARTS, read_events, split_gap, wait_for_recovery

# Lease length and heartbeat interval.
LENGTHS_S = ((0.3, 0.075), (0.6, 0.15), (1.2, 0.15))
RATE_PER_S = 60.0
WARM_UP_S = 3.0
OUTAGE_S = 3.0


class LeaseLength(Experiment):
    """A primary is killed, alone or at the same moment as a proxy with a lease."""

    name = "lease-length"

    def run(self) -> None:
        outages = 16 if self.is_long else 6
        for lease_s, heartbeat_s in LENGTHS_S:
            os.environ["GODWITWHEEL_LEASE_S"] = str(lease_s)
            os.environ["GODWITWHEEL_HEARTBEAT_INTERVAL_S"] = str(heartbeat_s)
            folder = self.folder / f"{self.name}-{lease_s}"
            with Deployment(ferreira(), folder=folder) as deployment:
                self._measure(deployment, lease_s, heartbeat_s, outages)

    def _measure(
        self, deployment: Deployment, lease_s: float, heartbeat_s: float, outages: int
    ) -> None:
        traffic = traffic_for(deployment)
        load = spawn(traffic.run, RATE_PER_S, float("inf"))
        sleep(WARM_UP_S)
        lost = [kill_and_restart(deployment, number) for number in range(outages)]
        load.kill()
        traffic.wait_for_answers()
        self.check_answers(deployment, traffic.records)
        events = read_events(deployment)
        for what, group, primary, lost_at, lost_wall in lost:
            gap_s = failover_gap_s(traffic.records, group, primary, lost_at)
            if gap_s is None:
                self.add_fault("writes not resumed", f"{lease_s} {primary}")
                continue
            row: Row = {"lease_s": lease_s, "heartbeat_s": heartbeat_s, "lost": what}
            row |= {"gap_ms": gap_s * 1000}
            row |= split_gap(events, group, lost_wall, lost_wall + gap_s)
            self.rows.append(row)

    def plot(self, axes: Axes) -> None:
        labels, left = [], []
        for lease_s, _ in LENGTHS_S:
            for what in ("primary", "primary and proxy"):
                labels.append(f"{lease_s} s, {what}")
                left.append(0.0)
        for part in (*(name for name, _ in PARTS), "first_write_ms"):
            widths = [self._median(label, part) for label in labels]
            axes.barh(labels, widths, left=left, label=part.removesuffix("_ms"))
            left = [start + width for start, width in zip(left, widths, strict=True)]
        axes.set_xlabel("ms since the primary was lost, sums of medians")
        axes.set_title("Failover gap by length of the lease")
        axes.legend()

    def _median(self, label: str, part: str) -> float:
        values = [
            row[part] or 0.0
            for row in self.rows
            if f"{row['lease_s']} s, {row['lost']}" == label
        ]
        return statistics.median(values) if values else 0.0


def kill_and_restart(
    deployment: Deployment, number: int
) -> tuple[str, str, str, float, float]:
    """Kills a group's primary, for odd numbers also a proxy, and restarts them."""
    group = deployment.topology.groups[number % len(deployment.topology.groups)]
    lost = [deployment.primary_of(group)]
    if number % 2:
        lost.append(f"proxy-{number % deployment.topology.proxies + 1}")
    lost_at, lost_wall = time.monotonic(), time.time()
    for process_id in lost:
        deployment.kill(process_id)
    sleep(OUTAGE_S)
    for process_id in lost:
        deployment.restart(process_id)
    wait_for_recovery(deployment, group)
    what = "primary and proxy" if number % 2 else "primary"
    return what, group, lost[0], lost_at, lost_wall

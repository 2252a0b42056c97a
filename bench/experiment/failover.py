"""Measures the failover gap for killed, paused and isolated primaries."""

import json
import time

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.observe.events import EventName

from ..deployment import Deployment
from ..load_run import failover_gap_s, traffic_for
from ..topology import ferreira
from .base import Experiment, Row

KINDS = ("killed", "frozen", "isolated")
# The gap ends at the first acknowledged write, so it is measured to within the time
# between two writes.
RATE_PER_S = 120.0
WARM_UP_S = 2.0
OUTAGE_S = 3.0
RECOVERY_LIMIT_S = 20.0
SETTLE_S = 1.0
PARTS = (
    ("detection_ms", EventName.primary_lost),
    ("fence_ms", EventName.group_fenced),
    ("lease_wait_ms", EventName.leases_out),
    ("promotion_ms", EventName.target_promoted),
    ("view_ms", EventName.writes_accepted),
)


class FailoverGap(Experiment):
    """Time from losing a primary until a write is acknowledged again."""

    name = "failover-gap"

    def run(self) -> None:
        repetitions = 10 if self.is_long else 1
        folder = self.folder / self.name
        with Deployment(ferreira(), with_relay=True, folder=folder) as deployment:
            traffic = traffic_for(deployment)
            load = spawn(traffic.run, RATE_PER_S, float("inf"))
            sleep(WARM_UP_S)
            outages = []
            for number in range(repetitions * len(KINDS)):
                kind = KINDS[number % len(KINDS)]
                group = deployment.topology.groups[number % 3]
                outages.append(fail_primary(deployment, kind, group))
            load.kill()
            traffic.wait_for_answers()
            self.check_answers(deployment, traffic.records)
            most = self.check_caps(deployment)
            events = read_events(deployment)
            for kind, group, primary, lost_at, lost_wall in outages:
                gap_s = failover_gap_s(traffic.records, group, primary, lost_at)
                if gap_s is None:
                    self.add_fault("writes not resumed", f"{kind} {primary}")
                    continue
                row: Row = {"kind": kind, "group": group, "gap_ms": gap_s * 1000}
                row |= split_gap(events, group, lost_wall, lost_wall + gap_s)
                row["most_connections"] = most
                self.rows.append(row)

    def plot(self, axes: Axes) -> None:
        labels = [f"{row['kind']} {number}" for number, row in enumerate(self.rows, 1)]
        left = [0.0] * len(labels)
        for part in (*(name for name, _ in PARTS), "first_write_ms"):
            widths = [max(row.get(part) or 0.0, 0.0) for row in self.rows]
            axes.barh(labels, widths, left=left, label=part.removesuffix("_ms"))
            left = [start + width for start, width in zip(left, widths, strict=True)]
        axes.set_xlabel("ms since the primary was lost")
        axes.set_title("Failover gap")
        axes.legend()


def fail_primary(
    deployment: Deployment, kind: str, group: str
) -> tuple[str, str, str, float, float]:
    """Makes a group's primary fail for ``OUTAGE_S`` seconds and waits for recovery."""
    primary = deployment.primary_of(group)
    lost_at, lost_wall = time.monotonic(), time.time()
    if kind == "killed":
        deployment.kill(primary)
    elif kind == "frozen":
        deployment.pause(primary)
    else:
        data_centre = deployment.members[primary].data_centre
        deployment.isolate(deployment.process_ids_in(data_centre))
    sleep(OUTAGE_S)
    if kind == "killed":
        deployment.restart(primary)
    elif kind == "frozen":
        deployment.resume(primary)
    else:
        deployment.heal()
    wait_for_recovery(deployment, group)
    return kind, group, primary, lost_at, lost_wall


def wait_for_recovery(deployment: Deployment, group: str) -> None:
    """Waits until all targets of a group report the same term, then ``SETTLE_S``."""
    limit = time.monotonic() + RECOVERY_LIMIT_S
    while time.monotonic() < limit:
        statuses = [deployment.status(name) for name in deployment.targets_of(group)]
        terms = {status.term if status else None for status in statuses}
        if len(terms) == 1 and None not in terms:
            break
        sleep(0.05)
    sleep(SETTLE_S)


def read_events(deployment: Deployment) -> list[dict]:
    """Returns the events of all processes in the order of their wall times."""
    events = []
    for path in deployment.log_files():
        for line in path.read_bytes().splitlines():
            event = json.loads(line)
            if "message_type" in event:
                events.append(event)
    return sorted(events, key=lambda event: event["timestamp"])


def split_gap(
    events: list[dict], group: str, lost_wall: float, resumed_wall: float
) -> Row:
    """Splits a failover gap into its parts by the logged events.

    :returns: milliseconds of each part; ``None`` for a part without its event.
    """
    row: Row = {}
    part_start = lost_wall
    for part, name in PARTS:
        found = [
            event["timestamp"]
            for event in events
            if event["message_type"] == name
            and event.get("group") == group
            and part_start <= event["timestamp"] <= resumed_wall
        ]
        row[part] = (found[0] - part_start) * 1000 if found else None
        part_start = found[0] if found else part_start
    row["first_write_ms"] = (resumed_wall - part_start) * 1000
    return row

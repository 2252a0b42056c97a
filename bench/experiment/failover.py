"""The failover gap, for killed, frozen and isolated primaries."""

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
RATE_PER_S = 120.0
WARM_UP_S = 2.0
# Writes that this end of the gap can't see are the time between two of them.
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
            losses = []
            for number in range(repetitions * len(KINDS)):
                kind = KINDS[number % len(KINDS)]
                group = deployment.topology.groups[number % 3]
                losses.append(lose_primary(deployment, kind, group))
            load.kill()
            traffic.wait_for_answers()
            self.check_answers(deployment, traffic.records)
            most = self.check_caps(deployment)
            events = read_events(deployment)
            for kind, group, primary, lost_at, lost_wall in losses:
                gap_s = failover_gap_s(traffic.records, group, primary, lost_at)
                if gap_s is None:
                    self.add_fault("writes not resumed", f"{kind} {primary}")
                    continue
                row: Row = {"kind": kind, "group": group, "gap_ms": gap_s * 1000}
                row |= split(events, group, lost_wall, lost_wall + gap_s)
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


def lose_primary(
    deployment: Deployment, kind: str, group: str
) -> tuple[str, str, str, float, float]:
    """Loses a group's primary, waits, and brings it back."""
    primary = deployment.primary_of(group)
    lost_at, lost_wall = time.monotonic(), time.time()
    if kind == "killed":
        deployment.kill(primary)
    elif kind == "frozen":
        deployment.pause(primary)
    else:
        data_centre = deployment.members[primary].data_centre
        deployment.cut_off(deployment.inside(data_centre))
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
    """Returns once all targets of a group are in one term, and a little later."""
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
        for line in path.read_text(errors="replace").splitlines():
            event = json.loads(line)
            if "message_type" in event:
                events.append(event)
    return sorted(events, key=lambda event: event["timestamp"])


def split(events: list[dict], group: str, lost_wall: float, resumed_wall: float) -> Row:
    """Splits a gap by the events of the time line.

    :returns: milliseconds of each part; ``None`` for one without an event.
    """
    row: Row = {}
    reached = lost_wall
    for part, name in PARTS:
        found = [
            event["timestamp"]
            for event in events
            if event["message_type"] == name
            and event.get("group") == group
            and reached <= event["timestamp"] <= resumed_wall
        ]
        row[part] = (found[0] - reached) * 1000 if found else None
        reached = found[0] if found else reached
    row["first_write_ms"] = (resumed_wall - reached) * 1000
    return row

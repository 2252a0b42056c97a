"""Injects one or two random faults at a time under load; checks every answer."""

import random
import time
from abc import ABC, abstractmethod
from pathlib import Path

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.observe.events import EventName

from ..deployment import Deployment
from ..load_run import traffic_for
from ..topology import ferreira
from .base import Experiment
from .failover import read_events

RATE_PER_S = 90.0
WARM_UP_S = 2.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
RECOVERY_LIMIT_S = 25.0
RECOVERY_POLL_S = 0.3
QUIET_S = 0.5
CONTROL_MEMBERS = 3
LAGS_MS = (50, 400, 1500, 4000)
VIEW_EVENTS = {
    EventName.ack_set_changed,
    EventName.group_fenced,
    EventName.writes_accepted,
}


class Fault(ABC):
    """A fault that is injected and later ended.

    :ivar process_id: the process that it affects.
    """

    __slots__ = ("process_id",)

    def __init__(self, process_id: str):
        self.process_id = process_id

    @abstractmethod
    def begin(self, deployment: Deployment) -> None:
        """Injects the fault."""

    @abstractmethod
    def end(self, deployment: Deployment) -> None:
        """Ends the fault."""

    def __str__(self) -> str:
        return f"{type(self).__name__} {self.process_id}"


class Killed(Fault):
    """The process is killed and restarted with its data."""

    __slots__ = ()

    def begin(self, deployment: Deployment) -> None:
        deployment.kill(self.process_id)

    def end(self, deployment: Deployment) -> None:
        deployment.restart(self.process_id)


class DiskLost(Killed):
    """The process is killed and restarted with an empty data folder."""

    __slots__ = ()

    def end(self, deployment: Deployment) -> None:
        deployment.restart(self.process_id, lose_disk=True)


class Frozen(Fault):
    """The process is paused and resumed."""

    __slots__ = ()

    def begin(self, deployment: Deployment) -> None:
        deployment.pause(self.process_id)

    def end(self, deployment: Deployment) -> None:
        deployment.resume(self.process_id)


class CutOff(Fault):
    """The process's whole data centre is isolated from the others."""

    __slots__ = ()

    def begin(self, deployment: Deployment) -> None:
        data_centre = deployment.members[self.process_id].data_centre
        deployment.isolate(deployment.process_ids_in(data_centre))

    def end(self, deployment: Deployment) -> None:
        deployment.heal()


class Isolated(CutOff):
    """The process alone is isolated from all others; callers still reach it."""

    __slots__ = ()

    def begin(self, deployment: Deployment) -> None:
        deployment.isolate([self.process_id])


class Lagging(Fault):
    """The target applies replicated entries with a lag."""

    __slots__ = ("lag_ms",)

    def __init__(self, process_id: str, lag_ms: int):
        super().__init__(process_id)
        self.lag_ms = lag_ms

    def begin(self, deployment: Deployment) -> None:
        deployment.set_lag(self.process_id, self.lag_ms)

    def end(self, deployment: Deployment) -> None:
        deployment.set_lag(self.process_id, 0)


KINDS = {
    "target": (Killed, DiskLost, Frozen, CutOff, Isolated, Lagging),
    "proxy": (Killed, Frozen, CutOff, Isolated),
    "control": (Killed, DiskLost, Frozen, CutOff, Isolated),
}


def draw_fault(deployment: Deployment, rng: random.Random) -> Fault:
    """Draws a kind of process, a process of it and a fault."""
    kind = rng.choice(sorted(KINDS))
    member = rng.choice(deployment.of_kind(kind))
    process_id = member.process.process_id
    if kind == "target" and rng.random() < 0.5:
        process_id = deployment.primary_of(member.group) or process_id
    fault = rng.choice(KINDS[kind])
    if fault is Lagging:
        return Lagging(process_id, rng.choice(LAGS_MS))
    return fault(process_id)


def draw_faults(deployment: Deployment, rng: random.Random) -> list[Fault]:
    """Draws one or two faults that may be active at the same time.

    Two faults affect different processes, and at most one of them cuts links, since
    a new cut replaces the old one. Two lost disks at once are not drawn: three copies
    aren't guaranteed to survive them.
    """
    first = draw_fault(deployment, rng)
    if rng.random() < 0.5:
        return [first]
    second = draw_fault(deployment, rng)
    while (
        second.process_id == first.process_id
        or (isinstance(first, CutOff) and isinstance(second, CutOff))
        or (isinstance(first, DiskLost) and isinstance(second, DiskLost))
    ):
        second = draw_fault(deployment, rng)
    return [first, second]


class Chaos(Experiment):
    """Rounds of random faults; the same seed draws the same faults.

    :ivar seed: of the faults and of the traffic.
    """

    name = "chaos"
    seed = 1

    def __init__(self, is_long: bool, folder: Path):
        super().__init__(is_long, folder)
        self.options = ["--seed", str(self.seed)]

    def run(self) -> None:
        rounds = 60 if self.is_long else 8
        rng = random.Random(self.seed)
        folder = self.folder / self.name
        with Deployment(ferreira(), with_relay=True, folder=folder) as deployment:
            traffic = traffic_for(deployment, seed=self.seed)
            load = spawn(traffic.run, RATE_PER_S, float("inf"))
            sleep(WARM_UP_S)
            for number in range(rounds):
                self.run_round(deployment, rng, number)
            load.kill()
            traffic.wait_for_answers()
            result = self.check_answers(deployment, traffic.records)
            most = self.check_caps(deployment)
            self.rows.append(
                {
                    "round": "all",
                    "seed": self.seed,
                    "acknowledged": result.acknowledged,
                    "unknown": result.unknown,
                    "refused": result.refused,
                    "replica_share": result.replica_share(),
                    "most_connections": most,
                }
            )

    def run_round(
        self, deployment: Deployment, rng: random.Random, number: int
    ) -> None:
        """Injects the faults of one round, ends them and waits for recovery."""
        faults = draw_faults(deployment, rng)
        text = ", ".join(str(fault) for fault in faults)
        print(f"  round {number}: {text}", flush=True)
        known_index = last_membership(read_events(deployment))["index"]
        for fault in faults:
            fault.begin(deployment)
            sleep(rng.uniform(0.0, MIN_FAULT_S))
        sleep(rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
        for fault in faults:
            fault.end(deployment)
        after_index = known_index if any(map(replaces_member, faults)) else 0
        recovery_s = wait_until_recovered(deployment, after_index)
        if recovery_s is None:
            self.add_fault("not whole again", f"round {number}: {text}")
        self.rows.append({"round": number, "faults": text, "recovery_s": recovery_s})

    def plot(self, axes: Axes) -> None:
        rounds = [row for row in self.rows if row["round"] != "all"]
        recovery_times_s = [row["recovery_s"] for row in rounds]
        limited = [
            RECOVERY_LIMIT_S if time_s is None else time_s
            for time_s in recovery_times_s
        ]
        axes.bar([row["round"] for row in rounds], limited)
        axes.set_xlabel("round; the JSON file names its faults")
        axes.set_ylabel("s until all groups and the cell are complete")
        axes.set_title(f"Random faults, seed {self.seed}")


def replaces_member(fault: Fault) -> bool:
    """Whether the fault replaces a control member by a new one."""
    return isinstance(fault, DiskLost) and fault.process_id.startswith("control")


def wait_until_recovered(deployment: Deployment, after_index: int) -> float | None:
    """Waits until every group and the cell have all their members again.

    :param after_index: only a membership with a higher log index counts. Losing a
        second control disk before the first member is replaced loses the cell.
    :returns: the recovery time in seconds; ``None`` after ``RECOVERY_LIMIT_S``.
    """
    began_at = time.monotonic()
    while time.monotonic() < began_at + RECOVERY_LIMIT_S:
        events = read_events(deployment)
        if is_cell_complete(events, after_index) and are_groups_complete(
            deployment, events
        ):
            took_s = time.monotonic() - began_at
            sleep(QUIET_S)
            return took_s
        sleep(RECOVERY_POLL_S)
    return None


def last_membership(events: list[dict]) -> dict:
    """Returns the latest ``membership_changed`` event of all control members."""
    changes = [
        event
        for event in events
        if event["message_type"] == EventName.membership_changed
    ]
    return max(changes, key=lambda event: event["index"])


def is_cell_complete(events: list[dict], after_index: int) -> bool:
    """Whether all control members vote, as of a log index after ``after_index``."""
    membership = last_membership(events)
    if membership["index"] <= after_index:
        return False
    return len(membership["voters"]) == CONTROL_MEMBERS and not membership["learners"]


def are_groups_complete(deployment: Deployment, events: list[dict]) -> bool:
    """Whether each group serves with all targets, by its last events."""
    promotable: dict[str, list[str]] = {}
    serving: dict[str, bool] = {}
    for event in events:
        if event["message_type"] not in VIEW_EVENTS:
            continue
        group = event["group"]
        promotable[group] = event.get("promotable", promotable.get(group, []))
        serving[group] = event["message_type"] != EventName.group_fenced
    return all(
        serving.get(group)
        and len(promotable[group]) == len(deployment.targets_of(group))
        for group in deployment.topology.groups
    )

"""Measures the share of reads at replicas, and the highest that the lag permits."""

import bisect
from collections import defaultdict

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep

from ..deployment import Deployment
from ..load import LoadProcesses, ended, latency_ms
from ..records import Ending, RequestKind, RequestRecord
from ..topology import Topology, agency, ferreira
from .base import Experiment

LAGS_MS = (50, 200, 500, 1000, 2000, 5000)
SHORT_LAGS_MS = (50, 1000, 5000)
RATE_PER_S = 150.0
SETTLE_S = 2.0


class ReplicaShare(Experiment):
    """Share of reads at replicas for several replication lags."""

    name = "replica-share"

    def run(self) -> None:
        for topology in (ferreira(), agency()):
            folder = self.folder / f"{self.name}-{topology.name}"
            with Deployment(topology, folder=folder) as deployment:
                self._run_lags(deployment, topology)

    def _run_lags(self, deployment: Deployment, topology: Topology) -> None:
        seconds = 30.0 if self.is_long else 3.0
        all_records: list[RequestRecord] = []
        for lag_ms in LAGS_MS if self.is_long else SHORT_LAGS_MS:
            set_lags(deployment, lag_ms)
            sleep(SETTLE_S)
            proxies = deployment.proxy_addresses()
            with LoadProcesses(
                proxies,
                topology.name,
                topology.groups,
                RATE_PER_S,
                seconds,
                deployment.folder,
                resend_s=5.0,
            ) as load:
                records = load.wait().records
            all_records += records
            self._add_row(topology, lag_ms, records)
        result = self.check_answers(deployment, all_records)
        self.rows[-1]["most_connections"] = self.check_caps(deployment)
        self.rows[-1]["acknowledged"] = result.acknowledged

    def _add_row(
        self,
        topology: Topology,
        lag_ms: int,
        records: list[RequestRecord],
    ) -> None:
        sent = [record for record in records if record.kind is not RequestKind.write]
        reads = ended(sent, Ending.done)
        writes = [record for record in records if record.kind is RequestKind.write]
        own = writes_by_caller(records)
        permitted = [read for read in reads if may_use_replica(read, lag_ms, own)]
        at_replicas = [read for read in reads if read.from_replica]
        read_ms = latency_ms(reads, [50, 99])
        write_ms = latency_ms(ended(writes, Ending.done), [50, 99])
        self.rows.append(
            {
                "deployment": topology.name,
                "lag_ms": lag_ms,
                "reads": len(reads),
                "reads_not_done": len(sent) - len(reads),
                "replica_share": len(at_replicas) / max(len(reads), 1),
                "lag_permits": len(permitted) / max(len(reads), 1),
                "read_p50_ms": read_ms[0],
                "read_p99_ms": read_ms[1],
                "write_p50_ms": write_ms[0],
                "write_p99_ms": write_ms[1],
            }
        )

    def plot(self, axes: Axes) -> None:
        for name in ("ferreira", "agency"):
            rows = [row for row in self.rows if row["deployment"] == name]
            lags = [row["lag_ms"] for row in rows]
            axes.plot(lags, [row["replica_share"] for row in rows], "o-", label=name)
            permits = [row["lag_permits"] for row in rows]
            axes.plot(lags, permits, "x--", label=f"{name}: lag permits")
        axes.set_xscale("log")
        axes.set_ylim(0, 1.05)
        axes.set_xlabel("replication lag, ms")
        axes.set_title("Share of reads at replicas")
        axes.legend()


def set_lags(deployment: Deployment, lag_ms: int) -> None:
    """Sets the lag of every target; a primary ignores it."""
    for member in deployment.of_kind("target"):
        deployment.set_lag(member.process.process_id, lag_ms)


def may_use_replica(
    read: RequestRecord, lag_ms: int, writes: dict[tuple[str, str], list[float]]
) -> bool:
    """Whether a replica that lags exactly ``lag_ms`` was permitted to serve a read.

    The service's staleness must allow the lag, and the caller's last acknowledged
    write before the read must be older than it.

    :param writes: when each caller's writes were acknowledged, by caller and group.
    """
    if lag_ms > read.max_staleness_ms:
        return False
    own = writes.get((read.caller, read.group), [])
    before = bisect.bisect_left(own, read.sent_at)
    return not before or own[before - 1] <= read.sent_at - lag_ms / 1000


def writes_by_caller(
    records: list[RequestRecord],
) -> dict[tuple[str, str], list[float]]:
    """Returns the sorted times of acknowledged writes, by caller and group."""
    found = defaultdict(list)
    for record in records:
        if record.kind is RequestKind.write and record.ending is Ending.done:
            found[(record.caller, record.group)].append(record.answered_at)
    return {caller: sorted(times) for caller, times in found.items()}

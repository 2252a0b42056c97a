"""Measures goodput and refusal latency, at half to three times the capacity."""

from matplotlib.axes import Axes

from godwitwheel.internal.loop import sleep
from godwitwheel.wire.client import Client

from ..deployment import Deployment
from ..direct import DirectTraffic
from ..load import MIXES, LoadProcesses, ended, latency_ms
from ..records import Ending, RequestKind, RequestRecord
from ..topology import Topology, agency, ferreira
from ..workload import Mix
from .base import Experiment, Row

MULTIPLES = (0.5, 1.0, 1.5, 2.0, 3.0)
SHORT_MULTIPLES = (0.5, 1.0, 3.0)
STATEMENT_MS = 40.0
MIX_NAMES = {"ferreira": "ferreira-single", "agency": "agency"}
PAUSE_S = 1.0


class Overload(Experiment):
    """Open-loop load beyond the capacity of the targets' slots, without retries."""

    name = "overload"

    def run(self) -> None:
        for topology in (ferreira(), agency()):
            topology.statement_ms = STATEMENT_MS
            folder = self.folder / f"{self.name}-{topology.name}"
            with Deployment(topology, folder=folder) as deployment:
                self._run_multiples(deployment, topology)

    def _run_multiples(self, deployment: Deployment, topology: Topology) -> None:
        capacity = capacity_per_s(topology, mix_of(topology))
        seconds = 20.0 if self.is_long else 3.0
        all_records: list[RequestRecord] = []
        for multiple in MULTIPLES if self.is_long else SHORT_MULTIPLES:
            rate = multiple * capacity
            with LoadProcesses(
                deployment.proxy_addresses(),
                MIX_NAMES[topology.name],
                topology.groups,
                rate,
                seconds,
                deployment.folder,
            ) as load:
                result = load.wait()
            all_records += result.records
            row = summarize(result.records, rate, seconds)
            row |= {"deployment": topology.name, "multiple": multiple}
            row["skipped"] = result.skipped
            self.rows.append(row)
            sleep(PAUSE_S)
        self.check_answers(deployment, all_records)
        self.rows[-1]["most_connections"] = self.check_caps(deployment)
        self._run_direct(deployment, topology, capacity, seconds)

    def _run_direct(
        self,
        deployment: Deployment,
        topology: Topology,
        rate: float,
        seconds: float,
    ) -> None:
        """Measures the load at capacity without proxies, all at the primaries."""
        for member in deployment.of_kind("proxy"):
            member.process.kill()
        sleep(PAUSE_S)
        primaries = {
            group: deployment.members[deployment.primary_of(group)].listen
            for group in topology.groups
        }
        with Client() as client:
            cap = topology.connection_cap
            traffic = DirectTraffic(primaries, cap, mix_of(topology), client)
            traffic.run(rate, seconds)
            traffic.wait_for_answers()
        row = summarize(traffic.records, rate, seconds)
        row |= {"deployment": f"{topology.name}, primaries only", "multiple": 1.0}
        self.rows.append(row)

    def plot(self, axes: Axes) -> None:
        for name in ("ferreira", "agency"):
            rows = [row for row in self.rows if row["deployment"] == name]
            multiples = [row["multiple"] for row in rows]
            share = [row["done_per_s"] / rows[1]["offered_per_s"] for row in rows]
            axes.plot(multiples, share, "o-", label=f"{name}: goodput / capacity")
            refusal_s = [row["refusal_p99_ms"] / 1000 for row in rows]
            axes.plot(multiples, refusal_s, "x--", label=f"{name}: refusal p99, s")
        axes.set_xlabel("offered load / capacity")
        axes.set_title("Goodput and time to a refusal")
        axes.legend()


def mix_of(topology: Topology) -> Mix:
    """Returns the requests that the experiment sends."""
    return MIXES[MIX_NAMES[topology.name]](topology.groups)


def capacity_per_s(topology: Topology, mix: Mix) -> float:
    """Returns the requests per second that the slots allow, reads at any target."""
    per_target = topology.slots / (topology.statement_ms / 1000)
    groups = len(topology.groups)
    weight = sum(mix.weights)
    shares = list(zip(mix.requests, mix.weights, strict=True))
    writes = sum(request.entries * share for request, share in shares) / weight
    reads = sum(share for request, share in shares if not request.entries) / weight
    at_primaries = per_target * groups / writes
    at_all = per_target * groups * topology.targets_per_group / (writes + reads)
    return min(at_primaries, at_all)


def summarize(records: list[RequestRecord], rate: float, seconds: float) -> Row:
    """Returns goodput, outcomes and latencies of one load."""
    done = ended(records, Ending.done)
    refused = ended(records, Ending.not_run)
    writes = [record for record in records if record.kind is RequestKind.write]
    done_ms = latency_ms(done, [50, 99])
    refusal_ms = latency_ms(refused, [50, 99])
    return {
        "offered_per_s": rate,
        "done_per_s": len(done) / seconds,
        "writes_done_share": len(ended(writes, Ending.done)) / max(len(writes), 1),
        "refused": len(refused),
        "unknown": len(ended(records, Ending.unknown)),
        "no_answer": len(ended(records, Ending.no_answer, Ending.not_sent)),
        "done_p50_ms": done_ms[0],
        "done_p99_ms": done_ms[1],
        "refusal_p50_ms": refusal_ms[0],
        "refusal_p99_ms": refusal_ms[1],
    }

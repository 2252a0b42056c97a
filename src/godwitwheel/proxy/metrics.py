"""The metrics of a proxy."""

from ..observe.metrics import ProcessMetrics
from ..wire.caller import CallerAnswer

LATENCY_BUCKETS_S = [
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
]


class ProxyMetrics:
    """Counts answers and reads; shows queues, connections and the lease as gauges."""

    __slots__ = ("requests", "reads", "latency", "queued", "held", "lease_s")

    def __init__(self, process: ProcessMetrics):
        self.requests = process.counter(
            "requests_total", "Answers to callers by outcome and reason."
        )
        self.reads = process.counter(
            "reads_total", "Reads done by the role of the target."
        )
        self.latency = process.histogram(
            "request_seconds",
            "Time from a request's arrival to its answer.",
            LATENCY_BUCKETS_S,
        )
        self.queued = process.gauge(
            "queued", "Requests that wait for a connection, by target."
        )
        self.held = process.gauge(
            "connections_held", "Connections open or opening, by target."
        )
        self.lease_s = process.gauge(
            "lease_seconds", "Time for which the lease still holds."
        )

    def record_answer(self, answer: CallerAnswer, seconds: float) -> None:
        """Counts one answer."""
        reason = answer.reason.value if answer.reason else ""
        self.requests.inc({"outcome": answer.outcome.value, "reason": reason})
        self.latency.observe({"outcome": answer.outcome.value}, seconds)

    def record_read(self, from_replica: bool) -> None:
        """Counts one read that was served."""
        self.reads.inc({"role": "replica" if from_replica else "primary"})

    def record_state(self, lease_s: float, pools: dict) -> None:
        """Sets the gauges of the queues, the held connections and the lease."""
        self.lease_s.set({}, max(lease_s, 0.0))
        for target_id, pool in pools.items():
            waiting = sum(queue.length for queue in pool.admission.queues.values())
            self.queued.set({"target": target_id}, waiting)
            self.held.set({"target": target_id}, pool.held())

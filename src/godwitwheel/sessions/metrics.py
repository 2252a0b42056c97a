"""Metrics of a proxy's interactive sessions."""

from ..observe.metrics import Counter, ProcessMetrics, label_value
from .connections.counts import PoolCounts

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0]

# Accounts whose refusals are counted separately; the others are counted together.
NAMED_ACCOUNTS = 10
# Label of the others; no account has an empty name.
OTHER_ACCOUNTS = ""


class LimitRefusals:
    """Counts refusals by rate limits, with a bounded number of labels.

    The accounts with the most refusals have labels of their own. When another account
    takes the place of one, the count of that one goes to the others.

    :ivar counts: refusals by account.
    """

    __slots__ = ("counter", "counts")

    def __init__(self, counter: Counter):
        self.counter = counter
        self.counts: dict[str, int] = {}

    def record(self, account: str) -> None:
        """Counts a refusal."""
        self.counts[account] = self.counts.get(account, 0) + 1

    def update(self) -> None:
        """Sets the counter's values."""
        ranked = sorted(self.counts, key=lambda name: (-self.counts[name], name))
        named = ranked[:NAMED_ACCOUNTS]
        self.counter.values.clear()
        for name in named:
            self.counter.set({"account": label_value(name)}, self.counts[name])
        rest = sum(self.counts[name] for name in ranked[NAMED_ACCOUNTS:])
        if rest:
            self.counter.set({"account": OTHER_ACCOUNTS}, rest)


class SessionMetrics(ProcessMetrics):
    """Counts statements by outcome and measures their latency.

    :ivar pool_counts: what the connection pools have done.
    """

    __slots__ = (
        "statements",
        "latency",
        "sessions",
        "attempts",
        "lost_connections",
        "limit_refusals",
        "pool_counts",
        "opened_connections",
        "evicted_connections",
        "connection_waits",
        "ejections",
        "restorations",
        "retries_withheld",
    )

    def __init__(self, process_id: str):
        super().__init__(process_id, "sessions")
        self.statements = self.counter(
            "session_statements_total", "Statements answered, by kind and outcome."
        )
        self.latency = self.histogram(
            "session_statement_seconds",
            "Time to the answer of a statement that a target ran.",
            LATENCY_BUCKETS_S,
        )
        self.sessions = self.gauge("sessions_open", "Sessions open now.")
        self.attempts = self.counter(
            "session_attempts_total", "Attempts at targets, by outcome."
        )
        self.lost_connections = self.counter(
            "session_connections_lost_total", "Connections to targets that broke."
        )
        self.limit_refusals = LimitRefusals(
            self.counter(
                "account_limit_refusals_total",
                "Operations refused by rate limits, by account.",
            )
        )
        self.pool_counts = PoolCounts()
        self.opened_connections = self.counter(
            "session_connections_opened_total", "Connections to targets opened."
        )
        self.evicted_connections = self.counter(
            "session_connections_evicted_total",
            "Idle connections closed in favour of another account.",
        )
        self.connection_waits = self.counter(
            "session_connection_waits_total",
            "Requests for a connection that had to wait.",
        )
        self.ejections = self.counter(
            "session_targets_ejected_total", "Ejections of targets, by reason."
        )
        self.restorations = self.counter(
            "session_targets_restored_total", "Ejected targets that got reads again."
        )
        self.retries_withheld = self.counter(
            "session_retries_withheld_total",
            "Reads not retried after a failed answer, as the retry budget was spent.",
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.limit_refusals.update()
        self.opened_connections.set({}, self.pool_counts.opened)
        self.evicted_connections.set({}, self.pool_counts.evicted)
        self.connection_waits.set({}, self.pool_counts.waits)
        return super().render()

"""Metrics of a proxy's interactive sessions."""

from ..observe.metrics import ProcessMetrics

LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0]


class SessionMetrics(ProcessMetrics):
    """Counts statements by outcome and measures their latency."""

    __slots__ = (
        "statements",
        "latency",
        "sessions",
        "attempts",
        "lost_connections",
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

"""Deadlines and timeouts of a statement, and how long it waits before a refusal."""

from ...directory.records import Route

# Share of the latency objective that a statement may wait for a target: a caller that
# retries later is better served than one whose statement waits without a chance to run.
WAIT_SHARE = 0.9
# The same while no primary is known, when a target is unlikely to become available.
NO_PRIMARY_WAIT_SHARE = 0.15
# Delay before the next attempt after a target refused, in seconds.
RETRY_DELAY_S = 0.015
# How much later than expected a promotion may complete, in seconds.
PROMOTION_SLACK_S = 0.1
# Share of the latency objective after which a read tries another target, so that the
# second one can still answer within the objective.
READ_ATTEMPT_SHARE = 0.6
MIN_READ_ATTEMPT_S = 0.1
# Share of a route's statement timeout that a transaction waits for one answer. After
# that it is aborted, and its caller has to begin a new one.
TRANSACTION_ATTEMPT_SHARE = 0.35
MIN_TRANSACTION_ATTEMPT_S = 0.15


class Deadlines:
    """The deadlines of one statement, in seconds of the clock.

    :ivar start_deadline: when the statement is refused if no target has accepted it.
    :ivar no_primary_deadline: the same while no primary is known.
    :ivar expires_at: when the statement times out, whether or not it is running.
    """

    __slots__ = (
        "objective_s",
        "started_at",
        "start_deadline",
        "no_primary_deadline",
        "expires_at",
    )

    def __init__(self, route: Route, now: float):
        objective_s = route.latency_objective_ms / 1000.0
        self.objective_s = objective_s
        self.started_at = now
        self.expires_at = now + route.statement_timeout_ms / 1000.0
        self.start_deadline = min(now + WAIT_SHARE * objective_s, self.expires_at)
        self.no_primary_deadline = min(
            now + NO_PRIMARY_WAIT_SHARE * objective_s, self.expires_at
        )

    def waits_for_primary(self, expected_at: float, now: float) -> bool:
        """Whether to go on waiting while no target is confirmed as primary.

        A promotion that should complete before ``start_deadline`` is waited for.
        Without one there is no estimate, so the statement is refused soon.

        :param expected_at: when the promotion under way should complete, in seconds
            of the clock.
        """
        if now < min(expected_at + PROMOTION_SLACK_S, self.start_deadline):
            return expected_at <= self.start_deadline
        return now < self.no_primary_deadline

    def read_attempt_s(self, now: float) -> float:
        """Returns how long a read waits for one target's answer, in seconds."""
        share_s = READ_ATTEMPT_SHARE * self.objective_s
        left_s = self.expires_at - now
        return max(min(max(share_s, MIN_READ_ATTEMPT_S), left_s), 0.001)

    def attempt_s(self, now: float) -> float:
        """Returns how long a transaction waits for one answer, in seconds."""
        left_s = self.expires_at - now
        share_s = TRANSACTION_ATTEMPT_SHARE * (self.expires_at - self.started_at)
        return min(max(share_s, MIN_TRANSACTION_ATTEMPT_S), left_s)

    def left_s(self, now: float) -> float:
        """Returns the time until the statement times out, in seconds."""
        return max(self.expires_at - now, 0.001)


def refusal_text(reason: str, retry_after_ms: int) -> str:
    """Returns the text of a refusal, with the time after which to retry."""
    return f"{reason}; not run, retry after {retry_after_ms} ms"

"""Decides how long a statement may wait before it is refused."""

from ..directory.records import Route

# Share of the latency objective that a statement may wait for a target: a caller
# that comes back later is better served than one that is held without a chance.
WAIT_SHARE = 0.9
# The same while no primary is known, when only an unlikely chance is waited for.
NO_PRIMARY_SHARE = 0.15
# Pause between two attempts at targets that refused, in seconds.
RETRY_PAUSE_S = 0.015
# How much later than expected a promotion may come, in seconds.
PROMOTION_SLACK_S = 0.1
# Part of the latency objective after which a read tries another target, so that the
# second one can still answer within it.
READ_ATTEMPT_SHARE = 0.6
SHORTEST_READ_ATTEMPT_S = 0.1
# Part of a route's statement timeout after which a transaction is given up: its caller
# has to begin it anew.
ATTEMPT_SHARE = 0.35
SHORTEST_ATTEMPT_S = 0.15


class Deadlines:
    """The times of one statement, in seconds of the clock.

    :ivar give_up_at: it is refused then if no target has taken it.
    :ivar expires_at: it has timed out then, whether it runs or not.
    """

    __slots__ = (
        "objective_s",
        "started_at",
        "give_up_at",
        "no_primary_at",
        "expires_at",
    )

    def __init__(self, route: Route, now: float):
        objective_s = route.latency_objective_ms / 1000.0
        self.objective_s = objective_s
        self.started_at = now
        self.expires_at = now + route.statement_timeout_ms / 1000.0
        self.give_up_at = min(now + WAIT_SHARE * objective_s, self.expires_at)
        self.no_primary_at = min(now + NO_PRIMARY_SHARE * objective_s, self.expires_at)

    def waits_for_primary(self, expected_at: float, now: float) -> bool:
        """Whether to wait while no target is known to lead.

        A promotion that should be over within the objective is waited for; nothing
        is known of any other, so its callers are better told at once.
        """
        if now < min(expected_at + PROMOTION_SLACK_S, self.give_up_at):
            return expected_at <= self.give_up_at
        return now < self.no_primary_at

    def read_attempt_s(self, now: float) -> float:
        """Returns how long a read may wait for one target's answer."""
        share_s = READ_ATTEMPT_SHARE * self.objective_s
        left_s = self.expires_at - now
        return max(min(max(share_s, SHORTEST_READ_ATTEMPT_S), left_s), 0.001)

    def attempt_s(self, now: float) -> float:
        """Returns how long a transaction waits for an answer before it is given up."""
        left_s = self.expires_at - now
        share_s = ATTEMPT_SHARE * (self.expires_at - self.started_at)
        return min(max(share_s, SHORTEST_ATTEMPT_S), left_s)

    def left_s(self, now: float) -> float:
        """Returns the time until the statement has timed out."""
        return max(self.expires_at - now, 0.001)


def refusal_text(reason: str, retry_after_ms: int) -> str:
    """Returns the text of a refusal, which says when to come back."""
    return f"{reason}; not run, retry after {retry_after_ms} ms"

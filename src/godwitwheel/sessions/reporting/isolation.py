"""Detects that a proxy is isolated, so that callers should use other proxies."""

# How old the last answer of control or of a primary may be, in seconds. Usually each
# answers several times within this span.
UNREACHABLE_AFTER_S = 0.6
# The load balancer removes a proxy after two failed readiness checks, one per second.
BALANCER_DELAY_S = 2.2
# After that delay, idle sessions are ended at this interval, in seconds: callers may
# reconnect here until every proxy of the data centre has detected that it is isolated.
SESSION_END_INTERVAL_S = 0.5


class Isolation:
    """Whether this proxy can reach neither control nor most primaries.

    One of the two is not enough: if control has no leader, or a primary is down, other
    proxies can't reach it either.

    :ivar is_isolated: whether new callers should use other proxies.
    :ivar end_sessions_at: when to end idle sessions next, in seconds of the clock.
    """

    __slots__ = ("is_isolated", "end_sessions_at")

    def __init__(self):
        self.is_isolated = False
        self.end_sessions_at = 0.0

    def update(
        self,
        answered_at: float | None,
        is_control_unreachable: bool,
        confirmations: list[float],
        now: float,
    ) -> bool:
        """Updates the state from the latest answers. Times are in seconds of the clock.

        :param answered_at: when control last answered, ``None`` if it never did.
        :param is_control_unreachable: whether control left the last report unanswered.
        :param confirmations: for each service, when its primary was last confirmed, or
            its owner last reachable.
        :returns: whether ``is_isolated`` changed.
        """
        lacks_control = answered_at is None or (
            is_control_unreachable and now - answered_at > UNREACHABLE_AFTER_S
        )
        missing = sum(
            1
            for confirmed_at in confirmations
            if now - confirmed_at > UNREACHABLE_AFTER_S
        )
        isolated = lacks_control and 2 * missing > len(confirmations)
        changed = isolated is not self.is_isolated
        if changed:
            self.is_isolated = isolated
            self.end_sessions_at = now + BALANCER_DELAY_S
        return changed

    def should_end_sessions(self, now: float) -> bool:
        """Whether to end idle sessions now, so that callers use another proxy."""
        if not self.is_isolated or now < self.end_sessions_at:
            return False
        self.end_sessions_at = now + SESSION_END_INTERVAL_S
        return True

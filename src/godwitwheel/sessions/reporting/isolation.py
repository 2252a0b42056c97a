"""Detects that a process is isolated, so that its callers should use others."""

import math

from ..board import SessionBoard

# How old the last answer of control or of a primary may be, in seconds. Usually each
# answers several times within this span.
UNREACHABLE_AFTER_S = 0.6
# The load balancer removes a proxy after two failed readiness checks, one per second.
BALANCER_DELAY_S = 2.2
# After that delay, idle sessions are ended at this interval, in seconds: callers may
# reconnect here until every proxy of the data centre has detected that it is isolated.
SESSION_END_INTERVAL_S = 0.5


def primary_usable_at(
    board: SessionBoard, service: str, answered_at: float | None
) -> float:
    """Returns when a service's primary was last known to be of use to this process.

    :param answered_at: when control last answered, ``None`` if it never did.
    :returns: seconds of the clock.
    """
    confirmed_at = board.known_primary(service).last_confirmed_at
    if not board.authority.needs_lease:
        return confirmed_at
    # Without control no lease is renewed, so that the primary is soon of no use.
    return min(confirmed_at, -math.inf if answered_at is None else answered_at)


def is_isolated(
    answered_at: float | None,
    is_control_unreachable: bool,
    confirmations: list[float],
    now: float,
) -> bool:
    """Whether a process reaches neither control nor most primaries.

    Times are in seconds of the clock.

    :param answered_at: when control last answered, ``None`` if it never did.
    :param is_control_unreachable: whether control left the last report unanswered.
    :param confirmations: for each service, when its primary was last confirmed, or its
        owner last reachable.
    """
    lacks_control = answered_at is None or (
        is_control_unreachable and now - answered_at > UNREACHABLE_AFTER_S
    )
    missing = sum(
        1 for confirmed_at in confirmations if now - confirmed_at > UNREACHABLE_AFTER_S
    )
    return lacks_control and 2 * missing > len(confirmations)


class Isolation:
    """Whether this process can reach neither control nor most primaries.

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
        """Updates the state from the latest answers; see :func:`is_isolated`.

        :returns: whether ``is_isolated`` changed.
        """
        isolated = is_isolated(answered_at, is_control_unreachable, confirmations, now)
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

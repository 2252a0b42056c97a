"""Decides whether callers are better served by proxies elsewhere."""

# Control calls and questions to primaries are answered several times within it.
SILENCE_S = 0.6
# The balancer needs two questions, one a second, to take a proxy out.
NOTICED_S = 2.2


class Isolation:
    """Whether this proxy reaches neither control nor most primaries.

    Either alone says little: control may have no leader, or a primary may be lost,
    and then other proxies are no better off.

    :ivar is_isolated: whether new callers should go elsewhere.
    :ivar since: when that began, in seconds of the clock.
    """

    __slots__ = ("is_isolated", "since", "has_ended_sessions")

    def __init__(self):
        self.is_isolated = False
        self.since = 0.0
        self.has_ended_sessions = False

    def update(
        self, answered_at: float | None, proofs: list[float], now: float
    ) -> bool:
        """Takes in what was heard last.

        :param answered_at: when control answered last, ``None`` if it never did.
        :param proofs: when each service's primary proved to lead last.
        :returns: whether the verdict changed.
        """
        lacks_control = answered_at is None or now - answered_at > SILENCE_S
        missing = sum(1 for proof_at in proofs if now - proof_at > SILENCE_S)
        isolated = lacks_control and 2 * missing > len(proofs)
        changed = isolated is not self.is_isolated
        if changed:
            self.is_isolated = isolated
            self.since = now
            self.has_ended_sessions = False
        return changed

    def should_end_sessions(self, now: float) -> bool:
        """Whether to end idle sessions now, so that their callers come back
        elsewhere; true once for each time of isolation."""
        if not self.is_isolated or self.has_ended_sessions:
            return False
        if now - self.since < NOTICED_S:
            return False
        self.has_ended_sessions = True
        return True

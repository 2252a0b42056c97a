"""Decides whether callers are better served by proxies elsewhere."""

# Control calls and questions to primaries are answered several times within it.
SILENCE_S = 0.6
# The balancer needs two questions, one a second, to take a proxy out.
NOTICED_S = 2.2
# From then on idle sessions are ended this often: callers may come back here for as
# long as another proxy of the data centre has not noticed that it is cut off.
END_INTERVAL_S = 0.5


class Isolation:
    """Whether this proxy reaches neither control nor most primaries.

    Either alone says little: control may have no leader, or a primary may be lost,
    and then other proxies are no better off.

    :ivar is_isolated: whether new callers should go elsewhere.
    :ivar end_sessions_at: when idle sessions are to be ended next.
    """

    __slots__ = ("is_isolated", "end_sessions_at")

    def __init__(self):
        self.is_isolated = False
        self.end_sessions_at = 0.0

    def update(
        self,
        answered_at: float | None,
        is_lost: bool,
        proofs: list[float],
        now: float,
    ) -> bool:
        """Takes in what was heard last.

        :param answered_at: when control answered last, ``None`` if it never did.
        :param is_lost: whether control has not answered the last report.
        :param proofs: when each service's primary proved to lead last, or its owner
            was within reach.
        :returns: whether the verdict changed.
        """
        lacks_control = answered_at is None or (
            is_lost and now - answered_at > SILENCE_S
        )
        missing = sum(1 for proof_at in proofs if now - proof_at > SILENCE_S)
        isolated = lacks_control and 2 * missing > len(proofs)
        changed = isolated is not self.is_isolated
        if changed:
            self.is_isolated = isolated
            self.end_sessions_at = now + NOTICED_S
        return changed

    def should_end_sessions(self, now: float) -> bool:
        """Whether to end idle sessions now, so that their callers come back
        elsewhere."""
        if not self.is_isolated or now < self.end_sessions_at:
            return False
        self.end_sessions_at = now + END_INTERVAL_S
        return True

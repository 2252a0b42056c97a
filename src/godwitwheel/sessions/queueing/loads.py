"""Decaying averages of the load that kinds and accounts put on a target."""

import math

# Time constant of the decaying load average; a shorter one mistakes a burst of a few
# hundred ms for an overload. In seconds.
LOAD_DECAY_S = 2.0
# Age at which the common scale of :class:`AccountLoads` is renewed, in seconds; its
# exponential stays far below the largest float.
MAX_SCALE_AGE_S = 20 * LOAD_DECAY_S
# Age up to which :meth:`AccountLoads.concurrency` repeats its last result, in seconds.
MAX_RESULT_AGE_S = 0.01
# Accounts whose decayed work is below this are dropped, in seconds.
NEGLIGIBLE_WORK_S = 1e-6


class DecayingLoad:
    """Exponentially decaying load that one kind of statement puts on the target.

    Only finished turns count. Requests would overstate the load, because refused
    statements are retried.

    :ivar work_s: decayed sum of the durations of turns at ``updated_at``, in seconds.
    """

    __slots__ = ("work_s", "updated_at")

    def __init__(self, now: float):
        self.work_s = 0.0
        self.updated_at = now

    def add(self, lasted_s: float, now: float) -> None:
        """Adds a finished turn."""
        self.work_s = self._decayed_s(now) + lasted_s
        self.updated_at = now

    def concurrency(self, now: float) -> float:
        """Returns the average number of concurrent turns."""
        return self._decayed_s(now) / LOAD_DECAY_S

    def _decayed_s(self, now: float) -> float:
        return self.work_s * math.exp((self.updated_at - now) / LOAD_DECAY_S)


class AccountLoads:
    """Decaying load by priority and account.

    All loads decay alike, so they are kept on one scale that grows with time: reading
    all of them takes one exponential.

    :ivar scaled_work_s: sum of the durations of turns by priority and account, each
        multiplied by the scale at its end.
    :ivar scaled_since: when the scale was 1, in seconds of the clock.
    :ivar results: last result of :meth:`concurrency` by priority, and the time of it.
    """

    __slots__ = ("scaled_work_s", "scaled_since", "results")

    def __init__(self):
        self.scaled_work_s: dict[int, dict[str, float]] = {}
        self.scaled_since = 0.0
        self.results: dict[int, tuple[float, dict[str, float]]] = {}

    def add(self, priority: int, account: str, lasted_s: float, now: float) -> None:
        """Adds a finished turn."""
        if now - self.scaled_since > MAX_SCALE_AGE_S:
            self._renew_scale(now)
        scaled = self.scaled_work_s.setdefault(priority, {})
        added_s = lasted_s * self._scale(now)
        scaled[account] = scaled.get(account, 0.0) + added_s

    def concurrency(self, priority: int, now: float) -> dict[str, float]:
        """Returns the average concurrency at a priority by account.

        It may be :data:`MAX_RESULT_AGE_S` old.
        """
        computed_at, result = self.results.get(priority, (-math.inf, {}))
        if now - computed_at <= MAX_RESULT_AGE_S:
            return result
        factor = 1.0 / (self._scale(now) * LOAD_DECAY_S)
        scaled = self.scaled_work_s.get(priority, {})
        result = {account: work_s * factor for account, work_s in scaled.items()}
        self.results[priority] = (now, result)
        return result

    def _scale(self, now: float) -> float:
        # Longer without a turn, the loads are 0 in any case.
        age_s = min(now - self.scaled_since, 2 * MAX_SCALE_AGE_S)
        return math.exp(age_s / LOAD_DECAY_S)

    def _renew_scale(self, now: float) -> None:
        factor = 1.0 / self._scale(now)
        for priority, scaled in self.scaled_work_s.items():
            self.scaled_work_s[priority] = {
                account: work_s * factor
                for account, work_s in scaled.items()
                if work_s * factor > NEGLIGIBLE_WORK_S
            }
        self.scaled_since = now


def fair_concurrency(capacity: float, loads: list[float], backlogged: int) -> float:
    """Returns the concurrency that each backlogged account gets in fair order.

    Accounts that offer less than that get what they offer, and the others share the
    rest equally.

    :param capacity: turns that run concurrently.
    :param loads: average concurrency of each account without queued requests.
    :param backlogged: number of accounts with queued requests, at least 1.
    """
    left = capacity
    sharing = backlogged + len(loads)
    for load in sorted(loads):
        if load * sharing >= left:
            break
        left -= load
        sharing -= 1
    return left / sharing

"""Decides how many statements an owner lets run at a target at once.

It answers a load near the capacity of targets with two or three slots: what waits at a
target is served in order of arrival, what waits here by priority, and can still be
refused while its caller has time to come back.
"""

import itertools

from ..internal.clock import Clock
from ..internal.loop import Event, wait_for

# Statements beyond the slots that are at the target already, so that a slot that
# becomes free has work at once.
STATEMENTS_AHEAD = 1
# A statement without an answer for so long no longer counts as running: its answer may
# be lost while its slot is free.
TURN_LIMIT_S = 0.2
# How often a waiting statement looks whether a turn has run out.
TURN_POLL_S = 0.05


class GateWaiter:
    """A statement that waits for its turn; the lowest key goes first."""

    __slots__ = ("key", "event")

    def __init__(self, key: tuple[int, int]):
        self.key = key
        self.event = Event()


class RunGate:
    """Counts the statements that run at one target.

    :ivar limit: how many may run at once.
    :ivar entered: when each of them got its turn, in seconds of the clock.
    """

    __slots__ = ("clock", "limit", "entered", "waiters", "numbers")

    def __init__(self, clock: Clock, slots: int):
        self.clock = clock
        self.limit = max(slots, 1) + STATEMENTS_AHEAD
        self.entered: list[float] = []
        self.waiters: list[GateWaiter] = []
        self.numbers = itertools.count()

    def running(self, now: float) -> int:
        """Returns how many statements take up a turn."""
        return sum(1 for entered_at in self.entered if now - entered_at < TURN_LIMIT_S)

    def enter(self, priority: int, timeout_s: float) -> float | None:
        """Waits for a turn.

        :param priority: 0 goes first.
        :returns: when the turn began, to be handed to :meth:`leave`; ``None`` if it
            did not come in time.
        """
        now = self.clock.now()
        if not self.waiters and self.running(now) < self.limit:
            return self._begin(now)
        deadline = now + timeout_s
        waiter = GateWaiter((priority, next(self.numbers)))
        self.waiters.append(waiter)
        try:
            while now < deadline:
                wait_for(waiter.event, min(deadline - now, TURN_POLL_S))
                waiter.event = Event()
                now = self.clock.now()
                if self._is_next(waiter) and self.running(now) < self.limit:
                    return self._begin(now)
        finally:
            self.waiters.remove(waiter)
            self._wake_next()
        return None

    def leave(self, entered_at: float) -> None:
        """Ends a turn and lets the next one in."""
        self.entered.remove(entered_at)
        self._wake_next()

    def _begin(self, now: float) -> float:
        self.entered.append(now)
        return now

    def _is_next(self, waiter: GateWaiter) -> bool:
        return waiter is min(self.waiters, key=lambda each: each.key)

    def _wake_next(self) -> None:
        if self.waiters and self.running(self.clock.now()) < self.limit:
            first = min(self.waiters, key=lambda waiter: waiter.key)
            if not first.event.ready():
                first.event.send()

"""Decides how many statements an owner lets run at a target at once.

It answers a load near the capacity of targets with two or three slots: what waits at a
target is served in order of arrival, what waits here by priority, and can still be
refused while its caller has time to come back.
"""

import itertools

from ..internal.loop import Event, wait_for

# Statements beyond the slots that are at the target already, so that a slot that
# becomes free has work at once.
STATEMENTS_AHEAD = 1


class GateWaiter:
    """A statement that waits for its turn; the lowest key goes first."""

    __slots__ = ("key", "event")

    def __init__(self, key: tuple[int, int]):
        self.key = key
        self.event = Event()


class RunGate:
    """Counts the statements that run at one target.

    :ivar limit: how many may run at once.
    :ivar running: how many do.
    """

    __slots__ = ("limit", "running", "waiters", "numbers")

    def __init__(self, slots: int):
        self.limit = max(slots, 1) + STATEMENTS_AHEAD
        self.running = 0
        self.waiters: list[GateWaiter] = []
        self.numbers = itertools.count()

    def enter(self, priority: int, timeout_s: float) -> bool:
        """Waits for a turn.

        :param priority: 0 goes first.
        :returns: whether it came in time.
        """
        if self.running < self.limit and not self.waiters:
            self.running += 1
            return True
        waiter = GateWaiter((priority, next(self.numbers)))
        self.waiters.append(waiter)
        if wait_for(waiter.event, timeout_s):
            return True
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            return False
        # Its turn came together with the end of its time.
        self.leave()
        return False

    def leave(self) -> None:
        """Ends a turn and lets the next one in."""
        self.running -= 1
        if self.waiters and self.running < self.limit:
            first = min(self.waiters, key=lambda waiter: waiter.key)
            self.waiters.remove(first)
            self.running += 1
            first.event.send()

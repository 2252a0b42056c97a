"""Limits on the operations of one client account on one runner."""

import collections
import math

# Compensates for rounding: a token that is due is not missed by a fraction.
TOLERANCE = 1e-9


class TokenBucket:
    """Tokens that accrue at a rate; each operation takes one.

    :ivar rate_per_s: tokens gained per second.
    :ivar burst: most tokens that it holds.
    :ivar tokens: tokens held at ``updated_at``.
    :ivar updated_at: in seconds of the clock.
    """

    __slots__ = ("rate_per_s", "burst", "tokens", "updated_at")

    def __init__(self, rate_per_s: float, burst: float, now: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Changes rate and burst from now on; tokens above the burst are lost."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def wait_s(self, now: float) -> float:
        """Returns the time until it holds a token, in seconds."""
        self._refill(now)
        missing = 1.0 - self.tokens
        if missing <= TOLERANCE:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0.0 else math.inf

    def take(self) -> None:
        """Takes a token, after :meth:`wait_s` has returned 0."""
        self.tokens -= 1.0

    def put_back(self) -> None:
        """Returns a token that was taken for an operation that did not run."""
        self.tokens = min(self.tokens + 1.0, self.burst)

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + self.rate_per_s * elapsed_s, self.burst)
        self.updated_at = max(now, self.updated_at)


class OperationWindow:
    """Counts the operations of the last seconds.

    They are counted in slots, and each until its whole slot has left the window.

    :ivar length_s: length of the window, in seconds.
    :ivar slot_s: length of a slot, in seconds.
    :ivar slots: pairs of a slot's number and its count, the oldest first.
    :ivar count: sum of the counts.
    """

    __slots__ = ("length_s", "slot_s", "slots", "count")

    def __init__(self, length_s: float, slot_s: float):
        self.length_s = length_s
        self.slot_s = slot_s
        self.slots: collections.deque[list[int]] = collections.deque()
        self.count = 0

    def advance(self, now: float) -> int:
        """Drops the slots that have left the window, and returns the count."""
        while self.slots and self._leaves_at(self.slots[0]) <= now:
            self.count -= self.slots.popleft()[1]
        return self.count

    def add(self, now: float) -> None:
        """Counts an operation."""
        number = self._number(now)
        if not self.slots or self.slots[-1][0] < number:
            self.slots.append([number, 0])
        self.slots[-1][1] += 1
        self.count += 1

    def remove(self, added_at: float) -> None:
        """Takes back an operation that did not run."""
        number = self._number(added_at)
        for slot in reversed(self.slots):
            if slot[0] == number and slot[1] > 0:
                slot[1] -= 1
                self.count -= 1
                return

    def wait_s(self, limit: float, now: float) -> float:
        """Returns the time until one more operation is within a limit, in seconds."""
        excess = self.advance(now) + 1 - limit
        if excess <= TOLERANCE:
            return 0.0
        for slot in self.slots:
            excess -= slot[1]
            if excess <= TOLERANCE:
                return self._leaves_at(slot) - now
        return math.inf

    def _number(self, now: float) -> int:
        return math.floor(now / self.slot_s)

    def _leaves_at(self, slot: list[int]) -> float:
        return (slot[0] + 1) * self.slot_s + self.length_s

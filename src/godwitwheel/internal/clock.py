"""The clock that processes read; decisions get its value as an argument."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of the current time."""

    @abstractmethod
    def now(self) -> float:
        """Returns seconds since an arbitrary start; it never goes back."""

    @abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch; it may jump."""


class BootClock(Clock):
    """Counts the time that a VM is suspended, which CLOCK_MONOTONIC does not.

    A lease timed by CLOCK_MONOTONIC would look valid on a VM that was suspended
    for an hour.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """A clock that tests advance explicitly."""

    __slots__ = ("seconds", "wall_seconds")

    def __init__(self, seconds: float = 0.0, wall_seconds: float = 1.7e9):
        self.seconds = seconds
        self.wall_seconds = wall_seconds

    def now(self) -> float:
        return self.seconds

    def wall(self) -> float:
        return self.wall_seconds

    def advance(self, seconds: float) -> None:
        """Moves both readings forward."""
        self.seconds += seconds
        self.wall_seconds += seconds

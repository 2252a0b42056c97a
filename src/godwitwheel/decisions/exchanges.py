"""Exchanges with a target and their outcomes, from which outliers are detected."""

import enum


class Outcome(enum.Enum):
    """How an exchange ended, as far as it says something about the target's health."""

    answered = "answered"
    failed = "failed"
    busy = "busy"
    lost = "lost"
    timed_out = "timed_out"


class Exchange:
    """One exchange with a target.

    :ivar kind: class of statements whose durations can be compared.
    :ivar queued: how many statements it had to wait for at the target, as a multiple
        of the target's slots.
    :ivar travel_s: usual time to the target and back, in seconds.
    :ivar outcome: ``None`` if it says nothing about the target's health.
    :ivar started_at: when it was sent, in seconds of the clock.
    :ivar ended_at: when it was answered or given up, in seconds of the clock.
    """

    __slots__ = (
        "target_id",
        "kind",
        "queued",
        "travel_s",
        "outcome",
        "started_at",
        "ended_at",
    )

    def __init__(
        self, target_id: str, kind: str, queued: float, travel_s: float, now: float
    ):
        self.target_id = target_id
        self.kind = kind
        self.queued = queued
        self.travel_s = travel_s
        self.outcome: Outcome | None = None
        self.started_at = now
        self.ended_at = now

    @property
    def elapsed_s(self) -> float:
        """Time from sending to the end, in seconds."""
        return self.ended_at - self.started_at

    @property
    def duration_s(self) -> float:
        """Time at the target, in seconds."""
        return max(self.elapsed_s - self.travel_s, 0.0)

    @property
    def is_failure(self) -> bool:
        """Whether the target did not serve the statement as it should have."""
        return self.outcome is not Outcome.answered

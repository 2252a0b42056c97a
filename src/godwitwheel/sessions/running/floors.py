"""Computes the floor of a read: the minimum log position that it must reflect.

Floors come from samples of the primary's log position over time.
"""

import enum
from collections import deque

from ...directory.records import Consistency
from ...internal.sentinel import Refusal
from ..statements import Position, later_of

# Samples come with the primary's answers, so a busy proxy gets many. One that is less
# than this after the previous one is dropped.
MIN_SAMPLE_SPACING_S = 0.02
MAX_SAMPLES = 256
# Subtracted from the configured staleness to allow for late timers, in seconds.
STALENESS_MARGIN_S = 0.1


class FloorProblem(enum.Enum):
    """Why a floor could not be computed."""

    no_recent_sample = "no_recent_sample"


class Sample:
    """A position that the primary's log had reached.

    :ivar sent_at: when the request was sent, in seconds of the clock. Every commit
        acknowledged before that is at or below ``position``.
    """

    __slots__ = ("sent_at", "position")

    def __init__(self, sent_at: float, position: Position):
        self.sent_at = sent_at
        self.position = position


class PositionHistory:
    """Samples of one service's primary, oldest first."""

    __slots__ = ("samples",)

    def __init__(self):
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def add(self, sent_at: float, position: Position) -> None:
        """Adds the position from an answer that confirmed a target as primary.

        :param sent_at: when the request was sent, in seconds of the clock.
        """
        if self.samples:
            latest = self.samples[-1]
            if position < latest.position:
                # The answer arrived out of order, or is from an older term.
                return
            if sent_at - latest.sent_at < MIN_SAMPLE_SPACING_S:
                return
        self.samples.append(Sample(sent_at, position))

    def floor(self, max_staleness_s: float, now: float) -> Position | Refusal:
        """Returns the lowest position that satisfies a staleness bound.

        That is the position of the oldest sample within the bound, which the most
        replicas have reached.

        :param max_staleness_s: a read must see every commit older than this.
        """
        oldest_allowed = now - max(max_staleness_s - STALENESS_MARGIN_S, 0.0)
        for sample in self.samples:
            if sample.sent_at >= oldest_allowed:
                return sample.position
        return Refusal(FloorProblem.no_recent_sample)


def read_floor(
    consistency: Consistency,
    history: PositionHistory,
    max_staleness_s: float,
    own_position: Position | None,
    now: float,
) -> Position | Refusal:
    """Returns the floor of a read that may run at a replica.

    :param own_position: log position of the session's last commit, if any.
    """
    floor = history.floor(max_staleness_s, now)
    if isinstance(floor, Refusal):
        return floor
    if consistency is Consistency.read_your_writes:
        return later_of(floor, own_position)
    return floor

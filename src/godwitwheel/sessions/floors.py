"""Decides which log position a read must see, from samples of the primary."""

import enum
from collections import deque

from ..directory.records import Consistency
from ..internal.sentinel import Refusal
from .statements import Position, later_of

# A sample is taken from the primary's answers, so busy proxies get many: those that
# come closer together than this are dropped.
MIN_SAMPLE_SPACING_S = 0.02
MAX_SAMPLES = 256
# Part of the declared staleness that is kept back for late timers, in seconds.
STALENESS_MARGIN_S = 0.1


class FloorProblem(enum.Enum):
    """Why no floor is known."""

    no_recent_sample = "no_recent_sample"


class Sample:
    """A position that the primary's log had reached.

    :ivar asked_at: when the question was sent: every commit that was acknowledged
        before that is at or below ``position``.
    """

    __slots__ = ("asked_at", "position")

    def __init__(self, asked_at: float, position: Position):
        self.asked_at = asked_at
        self.position = position


class PositionHistory:
    """Samples of one service's primary, the oldest first."""

    __slots__ = ("samples",)

    def __init__(self):
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def add(self, asked_at: float, position: Position) -> None:
        """Takes a position that a target gave while it proved to lead.

        :param asked_at: when the question was sent, in seconds of the clock.
        """
        if self.samples:
            latest = self.samples[-1]
            if position < latest.position:
                # The answer was overtaken; an old term's positions say less.
                return
            if asked_at - latest.asked_at < MIN_SAMPLE_SPACING_S:
                return
        self.samples.append(Sample(asked_at, position))

    def floor(self, max_staleness_s: float, now: float) -> Position | Refusal:
        """Returns the lowest position that a read may show.

        The oldest sample that is recent enough asks least of a replica.

        :param max_staleness_s: age of commits from which on the read must see them.
        """
        oldest_allowed = now - max(max_staleness_s - STALENESS_MARGIN_S, 0.0)
        for sample in self.samples:
            if sample.asked_at >= oldest_allowed:
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

    :param own_position: where the session's own last commit is, if any.
    """
    floor = history.floor(max_staleness_s, now)
    if isinstance(floor, Refusal):
        return floor
    if consistency is Consistency.read_your_writes:
        return later_of(floor, own_position)
    return floor

"""Logs the decisions of sessions, with a limit on lines per second."""

from ..observe.events import EventName, record_event

# Log lines per second for statements that succeeded, and for all other events.
ROUTINE_LINES_PER_S = 5
NOTABLE_LINES_PER_S = 200


class LineRateLimiter:
    """Limits log lines within each second of the clock.

    :ivar suppressed: lines over the limit, counted until a later line reports them.
    """

    __slots__ = ("per_s", "second", "used", "suppressed")

    def __init__(self, per_s: int):
        self.per_s = per_s
        self.second = 0
        self.used = 0
        self.suppressed = 0

    def allows(self, now: float) -> bool:
        """Whether another line may be written now."""
        second = int(now)
        if second != self.second:
            self.second = second
            self.used = 0
        if self.used >= self.per_s:
            self.suppressed += 1
            return False
        self.used += 1
        return True

    def take_suppressed(self) -> int:
        """Returns the number of suppressed lines and resets it."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


class StatementLog:
    """Logs decisions about statements, within separate limits for successes and others.

    The limit for refusals and other failures is higher than the one for successes.
    """

    __slots__ = ("routine", "notable")

    def __init__(
        self,
        routine_per_s: int = ROUTINE_LINES_PER_S,
        notable_per_s: int = NOTABLE_LINES_PER_S,
    ):
        self.routine = LineRateLimiter(routine_per_s)
        self.notable = LineRateLimiter(notable_per_s)

    def record(
        self, event: EventName, now: float, routine: bool = False, **fields: object
    ) -> None:
        """Writes a line if its rate limit allows one.

        :param routine: whether the line reports a success.
        """
        limiter = self.routine if routine else self.notable
        if not limiter.allows(now):
            return
        suppressed = limiter.take_suppressed()
        if suppressed:
            fields["lines_left_out"] = suppressed
        record_event(event, **fields)

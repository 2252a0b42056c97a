"""Records what sessions decide, with a bound on the lines a second."""

from ..observe.events import EventName, record_event

# Lines a second for statements that went as planned, and for all others.
ROUTINE_LINES_PER_S = 5
NOTABLE_LINES_PER_S = 200


class LineBudget:
    """Counts lines within each second of the clock.

    :ivar left_out: lines that the budget did not allow since the last one that told.
    """

    __slots__ = ("per_s", "second", "used", "left_out")

    def __init__(self, per_s: int):
        self.per_s = per_s
        self.second = 0
        self.used = 0
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Whether another line may be written now."""
        second = int(now)
        if second != self.second:
            self.second = second
            self.used = 0
        if self.used >= self.per_s:
            self.left_out += 1
            return False
        self.used += 1
        return True

    def take_left_out(self) -> int:
        """Returns how many lines were left out, and begins anew."""
        left_out, self.left_out = self.left_out, 0
        return left_out


class StatementLog:
    """Writes decisions about statements; refusals and doubts go before successes."""

    __slots__ = ("routine", "notable")

    def __init__(
        self,
        routine_per_s: int = ROUTINE_LINES_PER_S,
        notable_per_s: int = NOTABLE_LINES_PER_S,
    ):
        self.routine = LineBudget(routine_per_s)
        self.notable = LineBudget(notable_per_s)

    def record(
        self, event: EventName, now: float, routine: bool = False, **fields: object
    ) -> None:
        """Writes a line if its budget allows one.

        :param routine: the decision went as planned.
        """
        budget = self.routine if routine else self.notable
        if not budget.allows(now):
            return
        left_out = budget.take_left_out()
        if left_out:
            fields["lines_left_out"] = left_out
        record_event(event, **fields)

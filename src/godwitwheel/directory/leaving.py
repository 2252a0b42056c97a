"""How long ago targets announced that they leave, as processes tell each other.

The time from the announcement is bounded, so that a process that starts, or that hears
of the announcement late, must not begin a period of its own. Processes carry the time
that has passed, since their clocks have different origins. Of several ages the longest
one holds. A proxy counts from when it sent the request that brought the age, so that
its count is never behind control's. A new leader counts from when it received a report.
Since that may have been delayed, it asks again for as long as processes report to it
for the first time.
"""

from collections.abc import Iterable

from .records import Incarnation, LeavingAge, TargetEntry


class LeavingTimes:
    """Since when targets have been leaving.

    :ivar since: latest time at which each incarnation can have announced it, in seconds
        of the clock.
    """

    __slots__ = ("since",)

    def __init__(self):
        self.since: dict[Incarnation, float] = {}

    def record(self, incarnation: Incarnation, since: float) -> None:
        """Records when an incarnation announced that it leaves, in seconds.

        The earliest time that was recorded holds.
        """
        self.since[incarnation] = min(since, self.since.get(incarnation, since))

    def forget(self, incarnation: Incarnation) -> None:
        """Forgets an incarnation that does not leave."""
        self.since.pop(incarnation, None)

    def learn(self, ages: Iterable[LeavingAge], as_of: float) -> None:
        """Records what another process has told.

        :param as_of: the time that the ages are counted back from, in seconds of the
            clock.
        """
        for age in ages:
            self.record(age.incarnation, as_of - age.age_ms / 1000.0)

    def retain(self, targets: Iterable[TargetEntry]) -> None:
        """Forgets all other incarnations than those of these targets."""
        if not self.since:
            return
        known = {target.incarnation() for target in targets}
        self.since = {
            incarnation: since
            for incarnation, since in self.since.items()
            if incarnation in known
        }

    def age_s(self, target: TargetEntry, now: float) -> float | None:
        """Returns how long ago a target announced that it leaves, in seconds.

        :returns: ``None`` if that is not known.
        """
        since = self.since.get(target.incarnation())
        return None if since is None else now - since

    def lacks_any(self, targets: Iterable[TargetEntry]) -> bool:
        """Whether it is not known since when one of these targets is leaving."""
        return any(target.incarnation() not in self.since for target in targets)

    def ages(self, targets: Iterable[TargetEntry], now: float) -> list[LeavingAge]:
        """Returns the known ages of leaving targets."""
        known = []
        for target in targets:
            age_s = self.age_s(target, now)
            if age_s is not None:
                age_ms = max(round(1000 * age_s), 0)
                known.append(LeavingAge(target.incarnation(), age_ms))
        return known

"""Ejects targets that fail or are slow compared with the service's other targets.

A target may report itself healthy and still fail part of its statements, or take
several times as long as the others. Only the answers show it, so each process that
connects to targets compares their recent exchanges and sends reads elsewhere for a
while. What all targets of a service have in common, such as an overload or statements
that are wrong, never ejects one.
"""

import enum
from collections import deque
from collections.abc import Iterable

from .exchanges import Exchange, Outcome
from .outlier_evidence import (
    MIN_DURATIONS,
    OUTLIER_FACTOR,
    WINDOW_S,
    Ejection,
    Reason,
    UsualDurations,
    compare,
)

# With little traffic, the last few exchanges within this time are compared. In seconds.
LONG_WINDOW_S = 4.0
# Exchanges that are kept for each target.
MAX_SAMPLES = 128
# Statements queued ahead, as a multiple of the target's slots, from which a statement
# may have timed out for the queue alone. An ejection would overload the other targets.
MAX_QUEUED_TIMEOUT = 1.0
# Shortest interval between two comparisons of a target, in seconds.
CHECK_INTERVAL_S = 0.2
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Time without an ejection after which the next one is half as long, in seconds.
QUIET_S = 10.0
# Successes in a row that end a trial.
TRIAL_SUCCESSES = 5
# Slow answers that fail a trial; a healthy target gives one now and then.
TRIAL_SLOW_ANSWERS = 2
# How long a statement admitted to a trial keeps others out if its end is never
# recorded, because it was refused before it was sent. In seconds.
TRIAL_STATEMENT_S = 1.0


class Members:
    """The targets of a service.

    :ivar target_ids: ids of all of them.
    :ivar primary_id: id of the primary, or empty while none is known.
    """

    __slots__ = ("target_ids", "primary_id")

    def __init__(self, target_ids: Iterable[str], primary_id: str):
        self.target_ids = list(target_ids)
        self.primary_id = primary_id

    def max_ejected(self) -> int:
        """Returns how many targets may be ejected at once."""
        return len(self.target_ids) // 2


class Stage(enum.Enum):
    """Whether a target gets reads."""

    active = "active"
    ejected = "ejected"
    trial = "trial"


class Restoration:
    """The decision to send reads to an ejected target again.

    :ivar out_s: time since its first ejection in a row, in seconds.
    :ivar latency_s: shortest time of an exchange of its trial, in seconds.
    """

    __slots__ = ("target_id", "out_s", "latency_s")

    def __init__(self, target_id: str, out_s: float, latency_s: float):
        self.target_id = target_id
        self.out_s = out_s
        self.latency_s = latency_s


class TargetTracker:
    """The recent exchanges of one target, and its ejection.

    :ivar in_flight: exchanges that have begun and not ended.
    :ivar samples: exchanges since the last ejection, oldest first.
    :ivar checked_at: time of the last comparison, in seconds of the clock.
    :ivar out_since: start of the first ejection in a row, in seconds of the clock.
    :ivar ejected_until: end of the ejection and start of the trial, in seconds of the
        clock.
    :ivar next_ejection_s: length of the next ejection unless quiet time shortens it.
    :ivar restored_at: end of the last trial, in seconds of the clock.
    :ivar trial_latencies_s: times of the successes in a row of the trial.
    :ivar slow_answers: slow answers in the trial.
    :ivar occupied_until: until when a statement of the trial keeps others out, in
        seconds of the clock.
    """

    __slots__ = (
        "target_id",
        "in_flight",
        "samples",
        "checked_at",
        "is_ejected",
        "out_since",
        "ejected_until",
        "next_ejection_s",
        "restored_at",
        "trial_latencies_s",
        "slow_answers",
        "occupied_until",
    )

    def __init__(self, target_id: str, now: float):
        self.target_id = target_id
        self.in_flight = 0
        self.samples: deque[Exchange] = deque(maxlen=MAX_SAMPLES)
        self.checked_at = now - CHECK_INTERVAL_S
        self.is_ejected = False
        self.out_since = now
        self.ejected_until = now
        self.next_ejection_s = FIRST_EJECTION_S
        self.restored_at = now
        self.trial_latencies_s: list[float] = []
        self.slow_answers = 0
        self.occupied_until = now

    def stage(self, now: float) -> Stage:
        """Returns whether the target gets reads."""
        if not self.is_ejected:
            return Stage.active
        return Stage.ejected if now < self.ejected_until else Stage.trial

    def recent(self, now: float) -> list[Exchange]:
        """Returns the exchanges that are compared."""
        earliest = now - LONG_WINDOW_S
        kept = [each for each in self.samples if each.ended_at > earliest]
        within = sum(1 for each in kept if each.ended_at > now - WINDOW_S)
        return kept[-max(within, MIN_DURATIONS) :]

    def eject(self, now: float) -> float:
        """Starts an ejection.

        :returns: how long it lasts, in seconds.
        """
        if not self.is_ejected:
            quiet_periods = int((now - self.restored_at) / QUIET_S)
            self.next_ejection_s = max(
                self.next_ejection_s / 2 ** min(quiet_periods, 8), FIRST_EJECTION_S
            )
            self.out_since = now
        lasts_s = self.next_ejection_s
        self.is_ejected = True
        self.ejected_until = now + lasts_s
        self.next_ejection_s = min(2 * lasts_s, MAX_EJECTION_S)
        self.samples.clear()
        self.trial_latencies_s = []
        self.slow_answers = 0
        self.occupied_until = self.ejected_until
        return lasts_s

    def restore(self, now: float) -> None:
        """Ends the trial after its last success."""
        self.is_ejected = False
        self.restored_at = now


class OutlierDetector:
    """Compares the targets of one service, and decides which get no reads.

    :ivar trackers: by target id.
    """

    __slots__ = ("trackers",)

    def __init__(self):
        self.trackers: dict[str, TargetTracker] = {}

    def admitted(
        self, candidates: list[str], members: Members, may_try: bool, now: float
    ) -> list[str]:
        """Returns the targets that a read may be sent to.

        A target whose trial is free comes first, and is then kept for this statement.
        Otherwise ejected targets are left out: the primary as long as a replica is
        left, a replica as long as any target is.

        :param candidates: ids of the targets that could run the read; not empty.
        :param may_try: whether the read may run at a target on trial.
        """
        out = self._ejected(members)
        for target_id in candidates if may_try else ():
            tracker = out.get(target_id)
            if tracker is None or tracker.stage(now) is not Stage.trial:
                continue
            if now >= tracker.occupied_until:
                tracker.occupied_until = now + TRIAL_STATEMENT_S
                return [target_id]
        left = [each for each in candidates if each not in out]
        primary = [each for each in candidates if each == members.primary_id]
        return left or primary or candidates

    def has_ejected(self) -> bool:
        """Whether any target is ejected or on trial."""
        return any(tracker.is_ejected for tracker in self.trackers.values())

    def begin(
        self, target_id: str, kind: str, slots: int, travel_s: float, now: float
    ) -> Exchange:
        """Records that an exchange begins.

        :param slots: number of statements that the target runs concurrently.
        :param travel_s: usual time to the target and back, in seconds.
        """
        tracker = self._tracker(target_id, now)
        tracker.in_flight += 1
        slots = max(slots, 1)
        queued = max(tracker.in_flight - slots, 0) / slots
        return Exchange(target_id, kind, queued, travel_s, now)

    def end(
        self, exchange: Exchange, outcome: Outcome | None, members: Members, now: float
    ) -> Ejection | Restoration | None:
        """Records how an exchange ended.

        :param outcome: ``None`` if it says nothing about the target's health.
        :returns: the decision that follows, if any.
        """
        self._forget_others(members)
        is_queued = exchange.queued >= MAX_QUEUED_TIMEOUT
        if not (outcome is Outcome.timed_out and is_queued):
            exchange.outcome = outcome
        exchange.ended_at = now
        tracker = self._tracker(exchange.target_id, now)
        tracker.in_flight = max(tracker.in_flight - 1, 0)
        if tracker.is_ejected:
            if tracker.ejected_until <= exchange.started_at:
                return self._record_trial(tracker, exchange, members, now)
            return None
        if exchange.outcome is None:
            return None
        tracker.samples.append(exchange)
        if now - tracker.checked_at < CHECK_INTERVAL_S:
            return None
        tracker.checked_at = now
        return self._check(tracker, members, now)

    def _tracker(self, target_id: str, now: float) -> TargetTracker:
        tracker = self.trackers.get(target_id)
        if tracker is None:
            tracker = self.trackers[target_id] = TargetTracker(target_id, now)
        return tracker

    def _forget_others(self, members: Members) -> None:
        for target_id in set(self.trackers) - set(members.target_ids):
            del self.trackers[target_id]

    def _ejected(self, members: Members) -> dict[str, TargetTracker]:
        """Returns the ejected targets, within the limit even if the targets changed.

        The primary comes last, so that it never keeps a replica from being ejected.
        """
        ejected = [each for each in self.trackers.values() if each.is_ejected]
        ejected.sort(key=lambda each: each.target_id == members.primary_id)
        limit = members.max_ejected()
        return {each.target_id: each for each in ejected[:limit]}

    def _check(
        self, tracker: TargetTracker, members: Members, now: float
    ) -> Ejection | None:
        """Ejects a target if it is an outlier and may be ejected."""
        others = self._others(tracker, now)
        ejection = compare(tracker.target_id, tracker.recent(now), others, now)
        if ejection is None or not self._may_eject(tracker, members):
            return None
        ejection.ejected_s = tracker.eject(now)
        return ejection

    def _others(self, tracker: TargetTracker, now: float) -> list[Exchange]:
        return [
            exchange
            for other in self.trackers.values()
            if other is not tracker
            for exchange in other.recent(now)
        ]

    def _may_eject(self, tracker: TargetTracker, members: Members) -> bool:
        ejected = set(self._ejected(members))
        if tracker.target_id != members.primary_id:
            ejected.discard(members.primary_id)
        return len(ejected) < members.max_ejected()

    def _record_trial(
        self, tracker: TargetTracker, exchange: Exchange, members: Members, now: float
    ) -> Ejection | Restoration | None:
        """Records an exchange that was sent during a target's trial."""
        tracker.occupied_until = now
        if exchange.outcome is None:
            return None
        usual = UsualDurations(self._others(tracker, now), now)
        is_slow = usual.has(exchange.kind) and usual.slowdown(exchange) > OUTLIER_FACTOR
        if exchange.is_failure or is_slow:
            return self._record_trial_failure(tracker, exchange, now)
        tracker.trial_latencies_s.append(exchange.elapsed_s)
        if len(tracker.trial_latencies_s) < TRIAL_SUCCESSES:
            return None
        tracker.restore(now)
        return Restoration(
            tracker.target_id,
            now - tracker.out_since,
            min(tracker.trial_latencies_s),
        )

    def _record_trial_failure(
        self, tracker: TargetTracker, exchange: Exchange, now: float
    ) -> Ejection | None:
        samples = len(tracker.trial_latencies_s) + 1
        tracker.trial_latencies_s = []
        if not exchange.is_failure:
            tracker.slow_answers += 1
            if tracker.slow_answers < TRIAL_SLOW_ANSWERS:
                return None
        ejection = Ejection(tracker.target_id)
        ejection.reason = Reason.failed_trial
        ejection.samples = samples
        ejection.failure_rate = exchange.is_failure / samples
        ejection.ejected_s = tracker.eject(now)
        return ejection

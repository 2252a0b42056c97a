"""Ejects targets that fail or are slow compared with the service's other targets.

A target may report itself healthy and still fail part of its statements, or take
several times as long as the others. Only the answers show it, so each process that
connects to targets compares their recent exchanges and sends reads elsewhere for a
while. What all targets of a service have in common, such as an overload or statements
that are wrong, never ejects one.
"""

import enum
import math
import statistics
from collections import deque
from collections.abc import Iterable

# Exchanges that are compared: those that ended within the window or, with little
# traffic, the last few within the longer one. In seconds.
WINDOW_S = 2.0
LONG_WINDOW_S = 4.0
# Exchanges that are kept for each target.
MAX_SAMPLES = 128
# Fewest exchanges of a target, and of the others together, that give a failure rate.
MIN_SAMPLES = 5
MIN_FAILURE_RATE = 0.2
# A target is not ejected if as many failures would be this likely at the others' rate.
# With few statements, a target that fails as rarely as the others may else stand out.
MAX_CHANCE = 0.001
# A few long statements that occupy all slots of a healthy target let those behind them
# time out together. Failures that end within this time of the first count as one burst,
# and one or two bursts eject no target. In seconds.
BURST_S = 0.25
MIN_BURSTS = 3
# Statements queued ahead, as a multiple of the target's slots, from which a statement
# may have timed out for the queue alone. An ejection would overload the other targets.
MAX_QUEUED_TIMEOUT = 1.0
# Multiple of the others' failure rate, or duration, above which a target is an outlier.
OUTLIER_FACTOR = 3.0
# Fewest exchanges whose durations are compared; of fewer, a few slow ones at a healthy
# target would decide the median.
MIN_DURATIONS = 12
# Fewest exchanges of one kind at the other targets that give its usual duration.
MIN_REFERENCE_DURATIONS = 8
# The same for each half of the window.
MIN_HALF_DURATIONS = 4
# Added to the usual duration, so that delays of the network don't make a target slow
# for the shortest statements. In seconds.
NETWORK_ALLOWANCE_S = 0.001
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


class Reason(enum.Enum):
    """Why a target is ejected."""

    failing = "failing"
    slow = "slow"
    failed_trial = "failed_trial"


class Ejection:
    """The decision to send no reads to a target for a while.

    :ivar samples: exchanges of the target that were compared.
    :ivar failure_rate: share of them that failed.
    :ivar others_failure_rate: the same of the service's other targets, as if one more
        exchange had failed and one more had not.
    :ivar slowdown: median of the durations as multiples of those at the other targets;
        0 if too few could be compared.
    :ivar ejected_s: how long it lasts, in seconds.
    """

    __slots__ = (
        "target_id",
        "reason",
        "samples",
        "failure_rate",
        "others_failure_rate",
        "slowdown",
        "ejected_s",
    )

    def __init__(self, target_id: str):
        self.target_id = target_id
        self.reason = Reason.failing
        self.samples = 0
        self.failure_rate = 0.0
        self.others_failure_rate = 0.0
        self.slowdown = 0.0
        self.ejected_s = 0.0


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


def compare(
    target_id: str, own: list[Exchange], others: list[Exchange], now: float
) -> Ejection | None:
    """Returns the evidence if a target is an outlier among those of its service."""
    if len(own) < MIN_SAMPLES or len(others) < MIN_SAMPLES:
        return None
    failures = sum(1 for each in own if each.is_failure)
    ejection = Ejection(target_id)
    ejection.samples = len(own)
    ejection.failure_rate = failures / len(own)
    # One failure is added, since no failure of a few exchanges doesn't mean none ever.
    others_failures = sum(1 for each in others if each.is_failure)
    ejection.others_failure_rate = (others_failures + 1) / (len(others) + 2)
    ejection.slowdown = median_slowdown(own, others, now)
    lowest_rate = max(MIN_FAILURE_RATE, OUTLIER_FACTOR * ejection.others_failure_rate)
    if ejection.failure_rate >= lowest_rate and count_bursts(own) >= MIN_BURSTS:
        chance = chance_of(failures, len(own), ejection.others_failure_rate)
        if chance <= MAX_CHANCE:
            ejection.reason = Reason.failing
            return ejection
    if ejection.slowdown > OUTLIER_FACTOR:
        ejection.reason = Reason.slow
        return ejection
    return None


def count_bursts(exchanges: list[Exchange]) -> int:
    """Returns the number of bursts of failures among exchanges, oldest first."""
    bursts = 0
    burst_until = -math.inf
    for each in exchanges:
        if each.is_failure and each.ended_at >= burst_until:
            bursts += 1
            burst_until = each.ended_at + BURST_S
    return bursts


def chance_of(failures: int, samples: int, rate: float) -> float:
    """Returns the probability of at least so many failures at a failure rate."""
    return sum(
        math.comb(samples, count) * rate**count * (1.0 - rate) ** (samples - count)
        for count in range(failures, samples + 1)
    )


def median_slowdown(own: list[Exchange], others: list[Exchange], now: float) -> float:
    """Returns the median of a target's durations as multiples of the usual ones.

    :returns: 0 if too few could be compared.
    """
    usual = UsualDurations(others, now)
    slowdowns = [
        usual.slowdown(each)
        for each in own
        if not each.is_failure and usual.has(each.kind)
    ]
    return statistics.median(slowdowns) if len(slowdowns) >= MIN_DURATIONS else 0.0


class UsualDurations:
    """The durations at the other targets.

    When all targets become slower or faster at once, the medians of some change before
    those of others. The longest of the medians of the window and of its halves is
    taken, so that none is slow meanwhile.

    :ivar by_kind_s: median duration by kind, in seconds, of kinds with enough samples.
    :ivar mean_s: mean duration over all kinds, in seconds; how long a slot is occupied
        by a statement that is queued ahead.
    """

    __slots__ = ("by_kind_s", "mean_s")

    def __init__(self, exchanges: list[Exchange], now: float):
        by_kind: dict[str, list[Exchange]] = {}
        for each in exchanges:
            if not each.is_failure:
                by_kind.setdefault(each.kind, []).append(each)
        self.by_kind_s = {
            kind: longest_median_s(answered, now)
            for kind, answered in by_kind.items()
            if len(answered) >= MIN_REFERENCE_DURATIONS
        }
        durations_s = [e.duration_s for answered in by_kind.values() for e in answered]
        self.mean_s = statistics.fmean(durations_s) if durations_s else 0.0

    def has(self, kind: str) -> bool:
        """Whether the usual duration of a kind is known."""
        return kind in self.by_kind_s

    def slowdown(self, exchange: Exchange) -> float:
        """Returns an exchange's duration as a multiple of the usual one of its kind.

        Statements queued ahead of it at the target add to the usual duration, so that
        a target is not slow for being busy.
        """
        usual_s = self.by_kind_s[exchange.kind] + NETWORK_ALLOWANCE_S
        return exchange.duration_s / (usual_s + exchange.queued * self.mean_s)


def longest_median_s(answered: list[Exchange], now: float) -> float:
    """Returns the longest median duration of a window and its halves, in seconds."""
    durations_s = [each.duration_s for each in answered]
    middle = now - WINDOW_S / 2
    halves = (
        [each.duration_s for each in answered if each.ended_at <= middle],
        [each.duration_s for each in answered if each.ended_at > middle],
    )
    medians_s = [
        statistics.median(half) for half in halves if len(half) >= MIN_HALF_DURATIONS
    ]
    return max([statistics.median(durations_s), *medians_s])

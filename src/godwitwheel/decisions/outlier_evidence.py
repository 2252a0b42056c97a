"""Compares a target's exchanges with those of the service's other targets.

What all targets of a service have in common is no evidence against one of them.
"""

import enum
import math
import statistics

from .exchanges import Exchange

# Exchanges that are compared are those that ended within this time, in seconds.
WINDOW_S = 2.0
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

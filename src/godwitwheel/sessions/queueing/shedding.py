"""Estimates which queued requests at a target would start after their deadline.

A request starts once the requests ahead of it have run, and what arrives meanwhile and
goes first as well. The latter is estimated from recent loads:

- all statements of more urgent priorities;
- those of the request's own account with shorter durations;
- at its priority, those of each other account whose virtual time is smaller than the
  request's once its queued requests have run. They go first at the account's recent
  rate, up to a fair share, and only until its virtual time has caught up.

In fair order the requests that an account has beyond its share come last, so they are
the first that are late: those of the account with the most queued work. For the
account with the largest recent load, the estimate of what overtakes is an upper bound,
so that its requests are refused early. For the others it is an expected value, because
with the bound, requests are refused that would have started in time.
"""

import heapq
import math
from collections.abc import Callable

from ...directory.records import NO_ACCOUNT
from .fair_level import FairLevel
from .loads import AccountLoads, DecayingLoad, fair_concurrency
from .turn_records import QueuedTurn

# Smallest share of a target's capacity that is assumed to be left by the statements
# that go first.
MIN_CAPACITY_SHARE = 0.02
# Loads, and durations in seconds, that are taken for 0 where their products could be
# rounded to 0.
NEGLIGIBLE = 1e-9


class RecentLoads:
    """The load that finished turns have put on a target.

    :ivar by_kind: load by account and kind.
    :ivar by_account: load by priority and account.
    """

    __slots__ = ("by_kind", "by_account")

    def __init__(self):
        self.by_kind: dict[str, dict[str, DecayingLoad]] = {}
        self.by_account = AccountLoads()

    def add(
        self, account: str, kind: str, priority: int, lasted_s: float, now: float
    ) -> None:
        """Adds a finished turn."""
        kinds = self.by_kind.setdefault(account, {})
        kinds.setdefault(kind, DecayingLoad(now)).add(lasted_s, now)
        self.by_account.add(priority, account, lasted_s, now)


class Overtaking:
    """The accounts of one priority whose new requests would go before a queued one.

    :ivar fair: largest load that one account can put ahead of the requests of others.
    :ivar load: sum of the loads of these accounts.
    :ivar count: number of these accounts.
    :ivar times_sum_s: sum of their virtual times, in seconds.
    :ivar pending: virtual time and load of each account that has nothing queued and is
        not among these, as a heap.
    """

    __slots__ = ("loads", "fair", "load", "count", "times_sum_s", "pending")

    def __init__(self, level: FairLevel, loads: dict[str, float], capacity: float):
        idle = [
            (level.time_s(account), load)
            for account, load in loads.items()
            if account not in level.queues
        ]
        # A sorted list is a heap.
        idle.sort()
        self.loads = loads
        self.fair = fair_concurrency(
            capacity, [load for _, load in idle], len(level.queues)
        )
        self.load = 0.0
        self.count = 0
        self.times_sum_s = 0.0
        self.pending = idle

    def add(self, account: str, time_s: float) -> None:
        """Adds an account that has nothing queued beyond a virtual time."""
        load = self.loads.get(account, 0.0)
        if load:
            heapq.heappush(self.pending, (time_s, load))

    def advance(self, time_s: float) -> None:
        """Proceeds to the requests at a virtual time."""
        pending = self.pending
        while pending and pending[0][0] < time_s:
            start_s, load = heapq.heappop(pending)
            self.load += min(load, self.fair)
            self.count += 1
            self.times_sum_s += start_s

    def work_s(self, time_s: float) -> float:
        """Returns the work after which all have caught up with a virtual time."""
        return max(self.count * time_s - self.times_sum_s, 0.0)


def expected_wait_s(
    capacity: float, ahead_s: float, load: float, overtaking_s: float
) -> float:
    """Returns the expected wait for work ahead, with what overtakes meanwhile.

    In a wait of W, the accounts that overtake put at most ``load * W`` first, and at
    most ``overtaking_s``. As some of them reach the one bound and some the other, half
    of the harmonic mean of both is taken.

    :param capacity: turns that run concurrently.
    :param ahead_s: work that is queued ahead, in seconds.
    :param load: load of the accounts that overtake.
    :param overtaking_s: work after which these have caught up, in seconds.
    :returns: seconds; the W that solves
        ``capacity * W = ahead_s + 1 / (1 / (load * W) + 1 / overtaking_s)``.
    """
    if min(ahead_s, load, overtaking_s) <= NEGLIGIBLE:
        return ahead_s / capacity
    square = capacity * load
    linear = capacity * overtaking_s - load * (ahead_s + overtaking_s)
    product = ahead_s * overtaking_s
    root = math.sqrt(linear * linear + 4.0 * square * product)
    # Of two equal forms, the one without a difference of almost equal numbers.
    if linear > 0.0:
        return 2.0 * product / (linear + root)
    return (root - linear) / (2.0 * square)


class LateSearch:
    """One search for late requests, over the priorities in ascending order.

    :ivar limit: most concurrent turns; this many requests always stay, so that there
        is work for a turn that becomes free even if the estimate is wrong.
    :ivar loads: recent loads.
    :ivar rank_of: returns the rank of a kind; see :func:`.turn_records.rank`.
    :ivar now: seconds of the clock.
    :ivar late: requests that are expected to miss their deadline.
    :ivar kept: number of the other requests so far.
    :ivar ahead_s: expected duration of their turns, in seconds.
    :ivar urgent_total: load of the more urgent priorities.
    :ivar urgent: the same by account.
    :ivar overtaking: the accounts that overtake at the current priority.
    :ivar busiest: account with the largest recent load at the current priority.
    :ivar ranks: rank by kind, for the kinds looked up so far.
    :ivar own_loads: by account and rank, the load of the account's own statements that
        go first.
    """

    __slots__ = (
        "limit",
        "loads",
        "rank_of",
        "now",
        "late",
        "kept",
        "ahead_s",
        "urgent_total",
        "urgent",
        "overtaking",
        "busiest",
        "ranks",
        "own_loads",
    )

    def __init__(
        self,
        limit: int,
        loads: RecentLoads,
        rank_of: Callable[[str], tuple[int, int]],
        now: float,
    ):
        self.limit = limit
        self.loads = loads
        self.rank_of = rank_of
        self.now = now
        self.late: list[QueuedTurn] = []
        self.kept = 0
        self.ahead_s = 0.0
        self.urgent_total = 0.0
        self.urgent: dict[str, float] = {}
        self.overtaking: Overtaking | None = None
        self.busiest = NO_ACCOUNT
        self.ranks: dict[str, tuple[int, int]] = {}
        self.own_loads: dict[tuple[str, tuple[int, int]], float] = {}

    def search(self, levels: dict[int, FairLevel]) -> list[QueuedTurn]:
        """Returns the late requests.

        :param levels: requests by priority; at least one is queued.
        """
        by_account = self.loads.by_account
        last = max(priority for priority, level in levels.items() if level.queues)
        for priority in sorted(levels.keys() | by_account.scaled_work_s.keys()):
            loads = by_account.concurrency(priority, self.now)
            level = levels.get(priority)
            if level is not None and level.queues:
                least = MIN_CAPACITY_SHARE * self.limit
                capacity = max(self.limit - self.urgent_total, least)
                self.overtaking = Overtaking(level, loads, capacity)
                self.busiest = max(loads, key=loads.get, default=NO_ACCOUNT)
                level.walk(self._keeps, self.overtaking.add)
            if priority >= last:
                break
            self._add_urgent(loads)
        return self.late

    def _add_urgent(self, loads: dict[str, float]) -> None:
        for account, load in loads.items():
            self.urgent[account] = self.urgent.get(account, 0.0) + load
            self.urgent_total += load

    def _keeps(self, turn: QueuedTurn, time_s: float) -> bool:
        wait_s = self._wait_s(turn, time_s)
        deadline = turn.request.start_deadline
        if self.kept >= self.limit and self.now + wait_s > deadline:
            self.late.append(turn)
            return False
        self.kept += 1
        self.ahead_s += turn.expected_s
        return True

    def _wait_s(self, turn: QueuedTurn, time_s: float) -> float:
        """Returns the expected time until a request starts, in seconds."""
        overtaking = self.overtaking
        overtaking.advance(time_s)
        account = turn.request.account
        own = self._own_load(account, turn.key[:2])
        urgent = self.urgent_total - self.urgent.get(account, 0.0)
        load = overtaking.load
        turn.available_share = share = self._share_left_by(own + urgent + load)
        wait_s = self.ahead_s / (self.limit * share)
        if load:
            capacity = self.limit * self._share_left_by(own + urgent)
            overtaking_s = overtaking.work_s(time_s)
            if account == self.busiest:
                wait_s = min(wait_s, (self.ahead_s + overtaking_s) / capacity)
            else:
                wait_s = expected_wait_s(capacity, self.ahead_s, load, overtaking_s)
        if load or urgent:
            alone_s = self.ahead_s / (self.limit * self._share_left_by(own))
            turn.slowdown = wait_s / alone_s if alone_s else 1.0
        return wait_s

    def _share_left_by(self, load: float) -> float:
        return max(1.0 - load / self.limit, MIN_CAPACITY_SHARE)

    def _own_load(self, account: str, own_rank: tuple[int, int]) -> float:
        """Returns the load of an account's kinds that go before a rank."""
        known = self.own_loads.get((account, own_rank))
        if known is None:
            known = 0.0
            for kind, load in self.loads.by_kind.get(account, {}).items():
                if self._rank(kind) < own_rank:
                    known += load.concurrency(self.now)
            self.own_loads[account, own_rank] = known
        return known

    def _rank(self, kind: str) -> tuple[int, int]:
        known = self.ranks.get(kind)
        if known is None:
            known = self.ranks[kind] = self.rank_of(kind)
        return known

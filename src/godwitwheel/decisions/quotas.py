"""Splits the connection cap of each target among the live proxies.

A proxy is live while it has a lease. For each target, the connections that live proxies
may hold plus those that proxies without a lease may still hold (``unaccounted``) never
exceed the cap. A proxy whose lease expires opens no connection beyond those that it
holds, so the target's own count of open connections shows when its share is free again.
A new leader begins with the whole cap unaccounted and adopts what heartbeats report.
At a target that registers later, or under the first leader, nobody has been granted a
connection, so that its first count already shows all that there can be.
"""

from collections import deque
from collections.abc import Collection

from ..wire.control import Heartbeat
from .leases import HolderName

# Margin for the time offset between a target's counts and the proxies' reports.
SETTLE_S = 0.5
# Time that a target's counts must span before they lower ``unaccounted``.
EVIDENCE_WINDOW_S = 0.5
DEMAND_WINDOW_S = 2.0
HISTORY_S = 3.0
SPLIT_INTERVAL_S = 0.1


class Sample:
    """A count of connections at a time, in seconds of the leader's clock."""

    __slots__ = ("time", "count")

    def __init__(self, time: float, count: int):
        self.time = time
        self.count = count


class Share:
    """One live proxy's share of one target's connections.

    :ivar bound: connections that it may hold until it reports a lower quota.
    :ivar since: when its first report was received, in seconds of the clock.
    :ivar held: reported numbers of held connections, oldest first.
    :ivar demand: reported numbers of connections that it could use, oldest first.
    """

    __slots__ = ("bound", "since", "held", "demand")

    def __init__(self, bound: int, since: float):
        self.bound = bound
        self.since = since
        self.held: deque[Sample] = deque()
        self.demand: deque[Sample] = deque()

    def record(self, held: int, demand: int, now: float) -> None:
        """Records a report."""
        _append(self.held, Sample(now, held))
        _append(self.demand, Sample(now, demand))

    def lowest_held(self, since: float) -> int:
        """Returns the lowest number of held connections reported since ``since``.

        :returns: 0 if there is none, or if the proxy's first report is later than that.
        """
        if self.since > since:
            return 0
        return min(
            [sample.count for sample in self.held if sample.time >= since],
            default=0,
        )

    def recent_demand(self, now: float) -> int:
        """Returns the highest demand of the last ``DEMAND_WINDOW_S`` seconds."""
        since = now - DEMAND_WINDOW_S
        return max(
            (sample.count for sample in self.demand if sample.time >= since), default=0
        )


class TargetShares:
    """How one target's connections are split among proxies.

    :ivar unaccounted: connections that proxies without a lease may hold.
    :ivar unaccounted_grew_at: when that number last grew, in seconds of the clock.
    :ivar open_counts: the target's own counts of open connections, oldest first.
    :ivar fair_split: the last split; it is recomputed only every ``SPLIT_INTERVAL_S``,
        so that the cost of a heartbeat does not grow with the number of proxies.
    :ivar split_at: when it was computed, in seconds of the clock.
    :ivar ungranted_since: for a target at which no process has had a quota that may
        still be in force, when it registered, in seconds of the clock; ``None`` for
        others, and once its first count has been used.
    """

    __slots__ = (
        "cap",
        "unaccounted",
        "unaccounted_grew_at",
        "shares",
        "open_counts",
        "fair_split",
        "split_at",
        "ungranted_since",
    )

    def __init__(
        self,
        cap: int,
        unaccounted_grew_at: float,
        ungranted_since: float | None = None,
    ):
        self.ungranted_since = ungranted_since
        self.cap = cap
        self.unaccounted = cap
        self.unaccounted_grew_at = unaccounted_grew_at
        self.shares: dict[HolderName, Share] = {}
        self.open_counts: deque[Sample] = deque()
        self.fair_split: dict[HolderName, int] = {}
        self.split_at = 0.0

    def unassigned(self) -> int:
        """Returns how many connections are neither assigned nor unaccounted."""
        bounds = sum(share.bound for share in self.shares.values())
        return max(self.cap - bounds - self.unaccounted, 0)

    def record_report(
        self, name: HolderName, quota: int, held: int, demand: int, now: float
    ) -> None:
        """Records a proxy's report.

        The share of a new proxy is taken from ``unaccounted``.
        """
        bound = max(quota, held)
        share = self.shares.get(name)
        if share is None:
            share = self.shares[name] = Share(bound, now)
            self.unaccounted = max(self.unaccounted - bound, 0)
        share.bound = bound
        share.record(held, demand, now)

    def expire(self, name: HolderName, now: float) -> None:
        """Counts the share of a proxy whose lease expired as unaccounted."""
        share = self.shares.pop(name, None)
        if share is not None:
            self._add_unaccounted(share.bound, now)

    def release(self, name: HolderName, held: int, now: float) -> None:
        """Frees the share of a proxy that is stopping, except what it still holds."""
        if self.shares.pop(name, None) is not None:
            self._add_unaccounted(held, now)

    def record_open_count(self, count: int, sampled_at: float) -> None:
        """Records the target's own count of open connections."""
        if not self.open_counts or sampled_at > self.open_counts[-1].time:
            _append(self.open_counts, Sample(sampled_at, count))

    def reclaim(self, now: float) -> None:
        """Lowers ``unaccounted`` to the most that the target's own counts allow for."""
        if not self.unaccounted:
            return
        if self.ungranted_since is not None:
            self._reclaim_ungranted(self.ungranted_since)
            return
        start = max(now - 2 * EVIDENCE_WINDOW_S, self.unaccounted_grew_at + SETTLE_S)
        counts = [sample for sample in self.open_counts if sample.time >= start]
        if not counts or counts[-1].time - counts[0].time < EVIDENCE_WINDOW_S:
            return
        # Each count includes the connections of live proxies, except those that a
        # proxy reported as closed around that time.
        since = start - SETTLE_S
        held_by_live = sum(share.lowest_held(since) for share in self.shares.values())
        max_unaccounted = max(sample.count for sample in counts) - held_by_live
        self.unaccounted = min(self.unaccounted, max(max_unaccounted, 0))

    def _reclaim_ungranted(self, since: float) -> None:
        """Lowers ``unaccounted`` to the first count after the target has registered.

        Nobody may open a connection there before, so that the count can only fall.
        """
        for sample in self.open_counts:
            if sample.time >= since:
                self.unaccounted = min(self.unaccounted, sample.count)
                self.ungranted_since = None
                return

    def quota(self, name: HolderName, now: float) -> int:
        """Returns the quota to send to a live proxy, and records it as granted."""
        share = self.shares[name]
        fair_part = self._current_split(name, now)[name]
        if fair_part > share.bound:
            share.bound += min(fair_part - share.bound, self.unassigned())
            return share.bound
        return fair_part

    def _current_split(self, name: HolderName, now: float) -> dict[HolderName, int]:
        if name not in self.fair_split or now >= self.split_at + SPLIT_INTERVAL_S:
            demands = {
                other: item.recent_demand(now) for other, item in self.shares.items()
            }
            self.fair_split = split(self.cap, demands)
            self.split_at = now
        return self.fair_split

    def _add_unaccounted(self, count: int, now: float) -> None:
        if count:
            self.unaccounted = min(self.unaccounted + count, self.cap)
            self.unaccounted_grew_at = now


class QuotaTable:
    """The shares of all targets.

    :param earlier_leases_expire_at: when the last lease of an earlier leader that came
        with quotas expires, in seconds of the clock.
    :ivar known_before: targets that an earlier leader knew, or that were removed since;
        proxies may hold quotas of them.
    """

    __slots__ = ("earlier_leases_expire_at", "targets", "known_before")

    def __init__(
        self, earlier_leases_expire_at: float, known_before: Collection[str] = ()
    ):
        self.earlier_leases_expire_at = earlier_leases_expire_at
        self.targets: dict[str, TargetShares] = {}
        self.known_before = set(known_before)

    def set_caps(self, caps: dict[str, int], now: float) -> None:
        """Sets the connection cap of every target; removes the other targets."""
        for target_id in list(self.targets):
            if target_id not in caps:
                del self.targets[target_id]
                self.known_before.add(target_id)
        for target_id, cap in caps.items():
            known = self.targets.get(target_id)
            if known is None:
                start = max(now, self.earlier_leases_expire_at)
                is_new = start == now and target_id not in self.known_before
                ungranted_since = now if is_new else None
                self.targets[target_id] = TargetShares(cap, start, ungranted_since)
            elif known.cap != cap:
                known.cap = cap

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Records the connections that a proxy's heartbeat reports."""
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        for target_id, shares in self.targets.items():
            held = heartbeat.held.get(target_id, 0)
            if heartbeat.leaving:
                shares.release(name, held, now)
                continue
            shares.record_report(
                name,
                heartbeat.quotas.get(target_id, 0),
                held,
                heartbeat.demand.get(target_id, 0),
                now,
            )

    def expire(self, name: HolderName, now: float) -> None:
        """Counts the shares of a proxy whose lease expired as unaccounted."""
        for shares in self.targets.values():
            shares.expire(name, now)

    def record_open_count(self, target_id: str, count: int, sampled_at: float) -> None:
        """Records a target's own count of open connections."""
        shares = self.targets.get(target_id)
        if shares is not None:
            shares.record_open_count(count, sampled_at)

    def quotas(self, name: HolderName, now: float) -> dict[str, int]:
        """Returns the quotas to send to a live proxy."""
        quotas = {}
        for target_id, shares in self.targets.items():
            shares.reclaim(now)
            if name in shares.shares:
                quotas[target_id] = shares.quota(name, now)
        return quotas


def split(cap: int, demands: dict[HolderName, int]) -> dict[HolderName, int]:
    """Splits ``cap`` by max-min fairness: smaller demands are met first.

    What exceeds all demands is spread evenly, so that an idle proxy can start at once.
    """
    names = sorted(demands, key=lambda name: (demands[name], name))
    parts = {}
    left = cap
    for position, name in enumerate(names):
        part = min(demands[name], left // (len(names) - position))
        parts[name] = part
        left -= part
    if not names:
        return parts
    even, odd = divmod(left, len(names))
    for position, name in enumerate(sorted(names)):
        parts[name] += even + (position < odd)
    return parts


def _append(samples: deque[Sample], sample: Sample) -> None:
    samples.append(sample)
    while samples[0].time < sample.time - HISTORY_S:
        samples.popleft()

"""Splits the connections that a target accepts among the live proxies.

For each target, what live proxies may hold plus what proxies without a lease may
still hold (``unaccounted``) never exceeds the cap. A proxy that loses its lease
opens no connection beyond those that it holds, so the target's own count of open
connections shows when its share is free again. A new leader begins with the whole
cap unaccounted and adopts what heartbeats report.
"""

from collections import deque

from ..wire.control import Heartbeat
from .leases import HolderName

SETTLE_S = 0.5
EVIDENCE_WINDOW_S = 0.5
DEMAND_WINDOW_S = 2.0
HISTORY_S = 3.0
SPLIT_INTERVAL_S = 0.1


class Sample:
    """A count at a time, in seconds of the leader's clock."""

    __slots__ = ("time", "count")

    def __init__(self, time: float, count: int):
        self.time = time
        self.count = count


class Share:
    """One live proxy's part of one target's connections.

    :ivar bound: connections that it may hold until it reports a lower quota.
    :ivar since: when it began to report.
    """

    __slots__ = ("bound", "since", "held", "demand")

    def __init__(self, bound: int, since: float):
        self.bound = bound
        self.since = since
        self.held: deque[Sample] = deque()
        self.demand: deque[Sample] = deque()

    def note(self, held: int, demand: int, now: float) -> None:
        """Takes in a report."""
        _append(self.held, Sample(now, held))
        _append(self.demand, Sample(now, demand))

    def lowest_held(self, since: float) -> int:
        """Returns the lowest count reported since, and in the report before."""
        if self.since > since:
            return 0
        return min(
            [sample.count for sample in self.held if sample.time >= since],
            default=0,
        )

    def recent_demand(self, now: float) -> int:
        """Returns the highest demand of the last seconds."""
        since = now - DEMAND_WINDOW_S
        return max(
            (sample.count for sample in self.demand if sample.time >= since), default=0
        )


class TargetShares:
    """How one target's connections are shared out.

    :ivar unaccounted: connections that proxies without a lease may hold.
    :ivar disturbed_at: when that number last grew.
    :ivar opened: the target's own counts.
    :ivar fair: the last split; it is made anew only every ``SPLIT_INTERVAL_S``, so
        that the work for a heartbeat does not grow with the number of proxies.
    """

    __slots__ = (
        "cap",
        "unaccounted",
        "disturbed_at",
        "shares",
        "opened",
        "fair",
        "split_at",
    )

    def __init__(self, cap: int, disturbed_at: float):
        self.cap = cap
        self.unaccounted = cap
        self.disturbed_at = disturbed_at
        self.shares: dict[HolderName, Share] = {}
        self.opened: deque[Sample] = deque()
        self.fair: dict[HolderName, int] = {}
        self.split_at = 0.0

    def room(self) -> int:
        """Returns the connections that nobody may hold."""
        bounds = sum(share.bound for share in self.shares.values())
        return max(self.cap - bounds - self.unaccounted, 0)

    def note(
        self, name: HolderName, quota: int, held: int, demand: int, now: float
    ) -> None:
        """Takes in what a proxy reports; adopts what a new one may hold."""
        bound = max(quota, held)
        share = self.shares.get(name)
        if share is None:
            share = self.shares[name] = Share(bound, now)
            self.unaccounted = max(self.unaccounted - bound, 0)
        share.bound = bound
        share.note(held, demand, now)

    def lapse(self, name: HolderName, now: float) -> None:
        """Sets aside the share of a proxy that lost its lease."""
        share = self.shares.pop(name, None)
        if share is not None:
            self._set_aside(share.bound, now)

    def give_back(self, name: HolderName, held: int, now: float) -> None:
        """Frees the share of a proxy that stops, but for what it still holds."""
        if self.shares.pop(name, None) is not None:
            self._set_aside(held, now)

    def observe_open(self, count: int, sampled_at: float) -> None:
        """Takes in the target's own count of open connections."""
        if not self.opened or sampled_at > self.opened[-1].time:
            _append(self.opened, Sample(sampled_at, count))

    def reclaim(self, now: float) -> None:
        """Lowers ``unaccounted`` to what the target's own counts leave possible."""
        if not self.unaccounted:
            return
        start = max(now - 2 * EVIDENCE_WINDOW_S, self.disturbed_at + SETTLE_S)
        counts = [sample for sample in self.opened if sample.time >= start]
        if not counts or counts[-1].time - counts[0].time < EVIDENCE_WINDOW_S:
            return
        # Live proxies' own connections were open at each count, except those that
        # a proxy reported as closed some time around it.
        since = start - SETTLE_S
        live = sum(share.lowest_held(since) for share in self.shares.values())
        most = max(sample.count for sample in counts) - live
        self.unaccounted = min(self.unaccounted, max(most, 0))

    def quota(self, name: HolderName, now: float) -> int:
        """Returns the quota to send to a live proxy, and counts it as given."""
        share = self.shares[name]
        fair = self._fair_parts(name, now)[name]
        if fair > share.bound:
            share.bound += min(fair - share.bound, self.room())
            return share.bound
        return fair

    def _fair_parts(self, name: HolderName, now: float) -> dict[HolderName, int]:
        if name not in self.fair or now >= self.split_at + SPLIT_INTERVAL_S:
            demands = {
                other: item.recent_demand(now) for other, item in self.shares.items()
            }
            self.fair = split(self.cap, demands)
            self.split_at = now
        return self.fair

    def _set_aside(self, count: int, now: float) -> None:
        if count:
            self.unaccounted = min(self.unaccounted + count, self.cap)
            self.disturbed_at = now


class QuotaTable:
    """The shares of all targets.

    :param earlier_leases_out_at: when the leases of earlier leaders have run out,
        in seconds of the clock.
    """

    __slots__ = ("earlier_leases_out_at", "targets")

    def __init__(self, earlier_leases_out_at: float):
        self.earlier_leases_out_at = earlier_leases_out_at
        self.targets: dict[str, TargetShares] = {}

    def set_caps(self, caps: dict[str, int], now: float) -> None:
        """Takes in which targets there are and what they accept."""
        for target_id in list(self.targets):
            if target_id not in caps:
                del self.targets[target_id]
        for target_id, cap in caps.items():
            known = self.targets.get(target_id)
            if known is None:
                start = max(now, self.earlier_leases_out_at)
                self.targets[target_id] = TargetShares(cap, start)
            elif known.cap != cap:
                known.cap = cap

    def note(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes in a proxy's heartbeat."""
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        for target_id, shares in self.targets.items():
            held = heartbeat.held.get(target_id, 0)
            if heartbeat.leaving:
                shares.give_back(name, held, now)
                continue
            shares.note(
                name,
                heartbeat.quotas.get(target_id, 0),
                held,
                heartbeat.demand.get(target_id, 0),
                now,
            )

    def lapse(self, name: HolderName, now: float) -> None:
        """Sets aside the shares of a proxy that lost its lease."""
        for shares in self.targets.values():
            shares.lapse(name, now)

    def observe_open(self, target_id: str, count: int, sampled_at: float) -> None:
        """Takes in a target's own count of open connections."""
        shares = self.targets.get(target_id)
        if shares is not None:
            shares.observe_open(count, sampled_at)

    def quotas(self, name: HolderName, now: float) -> dict[str, int]:
        """Returns the quotas to send to a live proxy."""
        quotas = {}
        for target_id, shares in self.targets.items():
            shares.reclaim(now)
            if name in shares.shares:
                quotas[target_id] = shares.quota(name, now)
        return quotas


def split(cap: int, demands: dict[HolderName, int]) -> dict[HolderName, int]:
    """Splits ``cap`` so that no demand is met further while a smaller one is not.

    What no one asks for is spread evenly, so that an idle proxy can start at once.
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

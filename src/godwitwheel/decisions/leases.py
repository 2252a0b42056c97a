"""Tracks which proxies may still acknowledge writes, and under which view.

A grant is a lease together with the view that the heartbeat reply carried: a proxy that
receives it uses that view or a newer one. So until a grant expires, its proxy may use
the carried view, unless a later heartbeat promised to use a newer one.
"""

# ``(proxy_id, incarnation)``.
HolderName = tuple[str, int]


class Holder:
    """One incarnation of a proxy that holds leases.

    :ivar view_version: the newest view that it promised to use.
    :ivar grants: latest expiry of the leases granted, by carried view version, in
        seconds of the clock.
    """

    __slots__ = ("view_version", "grants")

    def __init__(self):
        self.view_version = 0
        self.grants: dict[int, float] = {}

    def expires_at(self) -> float:
        """Returns when its last lease expires, in seconds of the clock."""
        return max(self.grants.values(), default=0.0)

    def may_use_older_view(self, version: int, now: float) -> bool:
        """Whether it may use a view older than ``version`` at ``now``."""
        if self.view_version >= version:
            return False
        return any(
            carried < version and now < expires_at
            for carried, expires_at in self.grants.items()
        )


class LeaseTable:
    """The leases that this leader granted and that earlier leaders may have granted.

    :ivar max_lease_s: longest duration of a lease by this member's clock, in seconds.
    :param leader_since: when this member became leader, in seconds of the clock.
    :param lease_s: duration of a lease by the proxy's clock, in seconds.
    :param clock_drift: largest relative difference between the rates of two VMs'
        clocks.
    """

    __slots__ = ("leader_since", "max_lease_s", "holders")

    def __init__(self, leader_since: float, lease_s: float, clock_drift: float):
        self.leader_since = leader_since
        self.max_lease_s = lease_s * (1.0 + clock_drift)
        self.holders: dict[HolderName, Holder] = {}

    def acknowledge(self, name: HolderName, view_version: int) -> None:
        """Records a heartbeat's promise to use no older view."""
        holder = self.holders.get(name)
        if holder is not None:
            holder.view_version = max(holder.view_version, view_version)

    def grant(
        self,
        name: HolderName,
        view_version: int,
        carried_version: int,
        received_at: float,
    ) -> None:
        """Records a lease before it is sent.

        :param view_version: the view that the heartbeat promised to use.
        :param carried_version: version of the view that the reply carries.
        :param received_at: when the heartbeat arrived, in seconds of the clock.
        """
        holder = self.holders.setdefault(name, Holder())
        holder.view_version = max(holder.view_version, view_version)
        expires_at = received_at + self.max_lease_s
        known = holder.grants.get(carried_version, 0.0)
        holder.grants[carried_version] = max(known, expires_at)

    def release(self, name: HolderName) -> None:
        """Removes a proxy that is stopping and will acknowledge no more writes."""
        self.holders.pop(name, None)

    def live(self, now: float) -> list[HolderName]:
        """Returns the proxies with a lease that has not expired."""
        return [
            name for name, holder in self.holders.items() if now < holder.expires_at()
        ]

    def drop_expired(self, now: float) -> list[HolderName]:
        """Removes expired leases.

        :returns: the proxies that hold no lease any more.
        """
        expired = []
        for name, holder in list(self.holders.items()):
            holder.grants = {
                carried: expires_at
                for carried, expires_at in holder.grants.items()
                if now < expires_at
            }
            if not holder.grants:
                del self.holders[name]
                expired.append(name)
        return expired

    def earlier_leases_expired(self, now: float) -> bool:
        """Whether every lease that an earlier leader granted has expired."""
        return now >= self.leader_since + self.max_lease_s

    def all_proxies_use(self, version: int, now: float) -> bool:
        """Whether no proxy may still use a view older than ``version``."""
        if not self.earlier_leases_expired(now):
            return False
        return not any(
            holder.may_use_older_view(version, now) for holder in self.holders.values()
        )

"""Which proxies may still acknowledge writes, and under which view.

A grant is a lease together with the view that its reply carried: a proxy that
receives it acts on that view or a newer one. Until a grant has run out, its
proxy may therefore act on the carried view, unless a later heartbeat promised to
act on a newer one.
"""

HolderName = tuple[str, int]


class Holder:
    """One start of a proxy process, as the leader knows it.

    :ivar view_version: the newest view that it promised to act on.
    :ivar grants: latest end of the leases granted, by carried view version.
    """

    __slots__ = ("view_version", "grants")

    def __init__(self):
        self.view_version = 0
        self.grants: dict[int, float] = {}

    def expires_at(self) -> float:
        """Returns when its last lease runs out, in seconds of the clock."""
        return max(self.grants.values(), default=0.0)

    def may_act_below(self, version: int, now: float) -> bool:
        """Whether it may act on a view older than ``version`` at ``now``."""
        if self.view_version >= version:
            return False
        return any(
            carried < version and now < expires_at
            for carried, expires_at in self.grants.items()
        )


class LeaseTable:
    """The leases that this leader granted, and what earlier leaders may have.

    :param leading_since: when this member began to lead, in seconds of the clock.
    :param lease_s: length of a lease as the proxy counts it, in seconds.
    :param clock_drift: largest relative difference between two VMs' clocks.
    """

    __slots__ = ("leading_since", "held_s", "holders")

    def __init__(self, leading_since: float, lease_s: float, clock_drift: float):
        self.leading_since = leading_since
        self.held_s = lease_s * (1.0 + clock_drift)
        self.holders: dict[HolderName, Holder] = {}

    def acknowledge(self, name: HolderName, view_version: int) -> None:
        """Notes a heartbeat's promise to act on no older view."""
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
        """Notes a lease that is about to be sent.

        :param view_version: the view that the heartbeat promised to act on.
        :param carried_version: version of the view that goes with the reply.
        :param received_at: when the heartbeat arrived, in seconds of the clock.
        """
        holder = self.holders.setdefault(name, Holder())
        holder.view_version = max(holder.view_version, view_version)
        expires_at = received_at + self.held_s
        known = holder.grants.get(carried_version, 0.0)
        holder.grants[carried_version] = max(known, expires_at)

    def give_back(self, name: HolderName) -> None:
        """Forgets a proxy that stops and will acknowledge nothing more."""
        self.holders.pop(name, None)

    def live(self, now: float) -> list[HolderName]:
        """Returns the proxies with a lease that has not run out."""
        return [
            name for name, holder in self.holders.items() if now < holder.expires_at()
        ]

    def drop_lapsed(self, now: float) -> list[HolderName]:
        """Forgets leases that have run out.

        :returns: the proxies that hold none any more.
        """
        lapsed = []
        for name, holder in list(self.holders.items()):
            holder.grants = {
                carried: expires_at
                for carried, expires_at in holder.grants.items()
                if now < expires_at
            }
            if not holder.grants:
                del self.holders[name]
                lapsed.append(name)
        return lapsed

    def earlier_leaders_out(self, now: float) -> bool:
        """Whether every lease that an earlier leader granted has run out."""
        return now >= self.leading_since + self.held_s

    def all_act_on(self, version: int, now: float) -> bool:
        """Whether no proxy may act on a view older than ``version`` any more."""
        if not self.earlier_leaders_out(now):
            return False
        return not any(
            holder.may_act_below(version, now) for holder in self.holders.values()
        )

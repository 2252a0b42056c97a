"""Soft state about proxies and targets that a leader keeps only while it leads."""

from ..accounts.rate_shares import RateShares, RunnersInUse
from ..decisions.leases import HolderName, LeaseTable
from .failover import ReceivedReport
from .leaving import LeavingTimes
from .ownership import OWNER_MIN_PROXIES, needs_owner
from .records import DirectoryView, ProxyReport, TargetEntry
from .report_timing import (
    MAX_REPORT_AGE_S,
    NEW_LEADER_GRACE_S,
    OWNER_TIMEOUT_S,
    PRIMARY_LEASE_S,
    PROXY_EXPIRY_S,
)

# Largest relative difference between the rates of two VMs' clocks.
CLOCK_DRIFT = 0.01
# All proxies of a fleet that starts have reported once there was no new one for this
# long, in seconds.
FLEET_SETTLE_S = 0.8


class LastAnnouncement:
    """The last announcement of a target's incarnation."""

    __slots__ = ("started_at_ms", "sequence", "received_at")

    def __init__(self, started_at_ms: int, sequence: int, received_at: float):
        self.started_at_ms = started_at_ms
        self.sequence = sequence
        self.received_at = received_at


class PromotionOrder:
    """The last promotion order for a service.

    :ivar target_id: empty if no order was sent; then only ``retry_at`` has a meaning.
    :ivar sent_at: when it was last sent, in seconds of the clock.
    :ivar retry_at: no further order is sent before this time, in seconds of the clock.
    :ivar is_unanswered: whether its outcome is unknown; it may still be carried out.
    """

    __slots__ = ("target_id", "token", "sent_at", "retry_at", "is_unanswered")

    def __init__(self, target_id: str, token: int, sent_at: float, retry_at: float):
        self.target_id = target_id
        self.token = token
        self.sent_at = sent_at
        self.retry_at = retry_at
        self.is_unanswered = True


class DirectoryLeadership:
    """Soft state of one period as leader; the next leader starts with none.

    :ivar leader_since: when this member became leader, in seconds of the clock.
    :ivar term: consensus term, unique to this leader.
    :ivar reports: last report of each proxy.
    :ivar fleet_changed_at: when a new proxy reported last, in seconds of the clock.
    :ivar last_announcements: by target id.
    :ivar orders: last promotion order for each service.
    :ivar in_progress: services for which a change is being carried out.
    :ivar orders_issued: number of fencing tokens issued.
    :ivar resume_at: by service, when paused replicas are next told to resume; in
        seconds of the clock.
    :ivar withheld_since: by service, since when its primary can be replaced only by
        targets that do not follow the last promotion, in seconds of the clock.
    :ivar leases: leases under which proxies rely on primaries; unused on a platform
        that stops a former primary itself.
    :ivar leaving: since when targets have been leaving, as far as this leader or a
        proxy that reports to it has received the announcement.
    :ivar rate_shares: division of the accounts' rate limits among the runners.
    """

    __slots__ = (
        "leader_since",
        "term",
        "reports",
        "fleet_changed_at",
        "last_announcements",
        "orders",
        "in_progress",
        "orders_issued",
        "resume_at",
        "withheld_since",
        "leases",
        "leaving",
        "rate_shares",
    )

    def __init__(self, since: float, term: int):
        self.leader_since = since
        self.term = term
        self.reports: dict[str, ReceivedReport] = {}
        self.fleet_changed_at = since
        self.last_announcements: dict[str, LastAnnouncement] = {}
        self.orders: dict[str, PromotionOrder] = {}
        self.in_progress: set[str] = set()
        self.orders_issued = 0
        self.resume_at: dict[str, float] = {}
        self.withheld_since: dict[str, float] = {}
        self.leases = LeaseTable(since, PRIMARY_LEASE_S, CLOCK_DRIFT)
        self.leaving = LeavingTimes()
        self.rate_shares = RateShares(since, term, CLOCK_DRIFT)

    def receive_report(self, report: ProxyReport, now: float) -> bool:
        """Records a proxy's report.

        :returns: whether the proxy is new.
        """
        previous = self.reports.get(report.proxy_id)
        if report.leaving:
            self.reports.pop(report.proxy_id, None)
            return False
        in_touch_since = now
        if previous is not None and now - previous.received_at <= PRIMARY_LEASE_S:
            in_touch_since = previous.in_touch_since
        self.reports[report.proxy_id] = ReceivedReport(report, now, in_touch_since)
        if previous is None:
            self.fleet_changed_at = now
        return previous is None

    def grant_lease(
        self, report: ProxyReport, carried_version: int, received_at: float
    ) -> None:
        """Records a lease before it is sent with the reply to a report.

        :param carried_version: version of the view that the proxy holds after it has
            applied the reply.
        :param received_at: when the report arrived, in seconds of the clock.
        """
        self.leases.grant(
            holder_name(report), report.drained_version, carried_version, received_at
        )

    def wants_leaving_ages(self, leaving: list[TargetEntry], now: float) -> bool:
        """Whether processes are to tell since when these targets are leaving."""
        is_new = now - self.leader_since < NEW_LEADER_GRACE_S
        return bool(leaving) and (is_new or self.leaving.lacks_any(leaving))

    def expire_proxies(self, now: float) -> list[str]:
        """Removes the proxies that have stopped reporting, and returns their ids."""
        expired = [
            proxy_id
            for proxy_id, received in self.reports.items()
            if now - received.received_at > PROXY_EXPIRY_S
        ]
        for proxy_id in expired:
            del self.reports[proxy_id]
        self.leases.drop_expired(now)
        self.rate_shares.drop_expired(now)
        return expired

    def count_caller_facing_proxies(self) -> int:
        """Returns the number of known proxies that serve callers."""
        return sum(
            1 for received in self.reports.values() if not received.report.owner_address
        )

    def is_small_fleet(self, now: float) -> bool:
        """Whether too few proxies serve callers for their services to need owners."""
        is_complete = now - self.fleet_changed_at >= FLEET_SETTLE_S
        return is_complete and self.count_caller_facing_proxies() < OWNER_MIN_PROXIES

    def runners_in_use(self, view: DirectoryView) -> RunnersInUse:
        """Returns the processes that connect to targets.

        These are the owners in a view, and every proxy that serves callers if a service
        has no owner and isn't about to get one.
        """
        runners = {owner.proxy_id for owner in view.owners.values()}
        proxies = self.count_caller_facing_proxies()
        has_proxies = any(
            name not in view.owners and not needs_owner(policy, proxies)
            for name, policy in view.table.services.items()
        )
        if has_proxies:
            runners.update(
                proxy_id
                for proxy_id, received in self.reports.items()
                if not received.report.owner_address
            )
        return RunnersInUse(runners, has_proxies)

    def live_owners(self, now: float) -> dict[str, str]:
        """Returns the addresses of the owners with a recent report, by id."""
        return {
            proxy_id: received.report.owner_address
            for proxy_id, received in self.reports.items()
            if received.report.owner_address
            and now - received.received_at <= OWNER_TIMEOUT_S
        }

    def silence_ms(self, proxy_id: str, now: float) -> int | None:
        """Returns the time since a process's last report, in milliseconds.

        :returns: ``None`` if it is leaving, or has not reported to this leader.
        """
        received = self.reports.get(proxy_id)
        return None if received is None else round(1000 * (now - received.received_at))

    def least_silence_ms(self, now: float) -> int | None:
        """Returns the time since the last report of any process, in milliseconds.

        A long one points to this member, not to the processes.
        """
        latest = max(
            (received.received_at for received in self.reports.values()), default=None
        )
        return None if latest is None else round(1000 * (now - latest))

    def is_unreachable_from_all(self, entry: TargetEntry, now: float) -> bool:
        """Whether all processes that use a target's service can't reach it.

        Of those with a recent report there has to be one at least; a process that
        connects to no target of the service can't know.
        """
        fresh = [
            received.report
            for received in self.reports.values()
            if now - received.received_at <= MAX_REPORT_AGE_S
            and any(p.service == entry.service for p in received.report.primaries)
        ]
        return bool(fresh) and all(entry.target_id in r.unreachable for r in fresh)

    def receive_announcement(
        self, entry: TargetEntry, sequence: int, now: float
    ) -> bool:
        """Records an announcement.

        :returns: whether it is newer than all earlier ones of the target.
        """
        known = self.last_announcements.get(entry.target_id)
        key = (entry.started_at_ms, sequence)
        if known is not None and key <= (known.started_at_ms, known.sequence):
            return False
        self.last_announcements[entry.target_id] = LastAnnouncement(
            entry.started_at_ms, sequence, now
        )
        return True

    def announcement_age_s(self, target_id: str, now: float) -> float:
        """Returns the time since a target's last announcement.

        Without one, it counts from the start of this leadership.
        """
        known = self.last_announcements.get(target_id)
        return now - (known.received_at if known is not None else self.leader_since)

    def reset_announcement_age(self, target_id: str, now: float) -> None:
        """Restarts :meth:`announcement_age_s` from now."""
        known = self.last_announcements.get(target_id)
        if known is None:
            self.last_announcements[target_id] = LastAnnouncement(0, 0, now)
        else:
            known.received_at = now


def holder_name(report: ProxyReport) -> HolderName:
    """Returns the name under which a proxy holds leases.

    A restarted process keeps the name: it holds no lease from before, and its new ones
    belong to views that are at least as new as those that it relied on before.
    """
    return (report.proxy_id, 0)

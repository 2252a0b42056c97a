"""What a leader knows of proxies and targets only while it leads."""

from .failover import REPORT_FRESH_S, ReceivedReport
from .records import ProxyReport, TargetEntry

# A proxy that says nothing for so long no longer counts for the split of
# connections; it may have opened its share all the same until then.
PROXY_FORGOTTEN_S = 6.0
# An owner that is silent for so long loses its services.
OWNER_SILENCE_S = 0.8


class Heard:
    """The last announcement of a target's incarnation."""

    __slots__ = ("started_at_ms", "sequence", "at")

    def __init__(self, started_at_ms: int, sequence: int, at: float):
        self.started_at_ms = started_at_ms
        self.sequence = sequence
        self.at = at


class PromotionOrder:
    """The last order for a service.

    :ivar retry_at: no other order is given before that time.
    :ivar is_open: whether it had no clear answer, so that it may still be carried out.
    """

    __slots__ = ("target_id", "token", "retry_at", "is_open")

    def __init__(self, target_id: str, token: int, retry_at: float):
        self.target_id = target_id
        self.token = token
        self.retry_at = retry_at
        self.is_open = True


class DirectoryLeadership:
    """Soft state of one time as leader; the next leader begins anew.

    :ivar since: when it began, in seconds of the clock.
    :ivar term: its term, which no other leader has had.
    :ivar reports: last report of each proxy.
    :ivar heard: last announcement of each target.
    :ivar orders: last order for each service.
    :ivar busy: services for which an order is on its way.
    """

    __slots__ = (
        "since",
        "term",
        "reports",
        "heard",
        "orders",
        "busy",
        "orders_given",
    )

    def __init__(self, since: float, term: int):
        self.since = since
        self.term = term
        self.reports: dict[str, ReceivedReport] = {}
        self.heard: dict[str, Heard] = {}
        self.orders: dict[str, PromotionOrder] = {}
        self.busy: set[str] = set()
        self.orders_given = 0

    def receive_report(self, report: ProxyReport, now: float) -> bool:
        """Takes a proxy's report.

        :returns: whether the proxy was not known.
        """
        is_new = report.proxy_id not in self.reports
        if report.leaving:
            self.reports.pop(report.proxy_id, None)
            return False
        self.reports[report.proxy_id] = ReceivedReport(report, now)
        return is_new

    def forget_proxies(self, now: float) -> list[str]:
        """Forgets the proxies that have been silent for long, and names them."""
        silent = [
            proxy_id
            for proxy_id, received in self.reports.items()
            if now - received.received_at > PROXY_FORGOTTEN_S
        ]
        for proxy_id in silent:
            del self.reports[proxy_id]
        return silent

    def callers_proxies(self) -> int:
        """Returns how many proxies that serve callers are known."""
        return sum(
            1 for received in self.reports.values() if not received.report.owner_address
        )

    def owners(self, now: float) -> dict[str, str]:
        """Returns the addresses of the owners that reported lately, by id."""
        return {
            proxy_id: received.report.owner_address
            for proxy_id, received in self.reports.items()
            if received.report.owner_address
            and now - received.received_at <= OWNER_SILENCE_S
        }

    def reporting_on(self, service: str) -> int:
        """Returns how many proxies report on a service's primary."""
        return sum(
            1
            for received in self.reports.values()
            if any(p.service == service for p in received.report.primaries)
        )

    def is_reported(self, target_id: str, now: float) -> bool:
        """Whether every proxy that reports can't reach a target."""
        fresh = [
            received.report
            for received in self.reports.values()
            if now - received.received_at <= REPORT_FRESH_S
        ]
        return bool(fresh) and all(target_id in r.unreachable for r in fresh)

    def hear(self, entry: TargetEntry, sequence: int, now: float) -> bool:
        """Takes an announcement.

        :returns: whether it is newer than all others of the target.
        """
        known = self.heard.get(entry.target_id)
        key = (entry.started_at_ms, sequence)
        if known is not None and key <= (known.started_at_ms, known.sequence):
            return False
        self.heard[entry.target_id] = Heard(entry.started_at_ms, sequence, now)
        return True

    def silence_s(self, target_id: str, now: float) -> float:
        """Returns for how long a target has not announced itself."""
        known = self.heard.get(target_id)
        return now - (known.at if known is not None else self.since)

    def restart_silence(self, target_id: str, now: float) -> None:
        """Counts a target's silence anew from now on."""
        known = self.heard.get(target_id)
        if known is None:
            self.heard[target_id] = Heard(0, 0, now)
        else:
            known.at = now

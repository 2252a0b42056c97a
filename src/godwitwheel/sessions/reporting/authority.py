"""Decides until when a process may rely on a service's primary.

A promotion makes another target the primary. Some platforms stop the former primary at
that moment. On others it continues to accept writes until it hears of the promotion, so
two targets act as primary for a while. There a process relies on a primary only under a
lease from control, and control orders a promotion only once no process can hold a lease
under which it relies on the former primary.
"""

import contextlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

from ...directory.records import DirectoryView
from ...directory.report_timing import PRIMARY_LEASE_S

# How long statements that were sent to a primary before it was fenced may still be
# acknowledged; control waits for them before it orders a promotion. In seconds.
DRAIN_TIMEOUT_S = 0.1


class PrimaryAuthority(ABC):
    """Whether a target is a service's only primary.

    :cvar needs_lease: whether control has to grant leases to this process.
    """

    __slots__ = ()

    needs_lease = False

    @abstractmethod
    def may_use(self, service: str, target_id: str, now: float) -> bool:
        """Whether a statement for the primary may be sent to this target now."""

    @abstractmethod
    def covers(
        self, service: str, target_id: str, sent_at: float, until: float
    ) -> bool:
        """Whether no other target can have become the primary in a span of time.

        :param sent_at: start of the span, in seconds of the clock.
        :param until: its end; now or earlier.
        """

    @abstractmethod
    def accepts(self, service: str, target_id: str) -> bool:
        """Whether a target that acts as primary may be taken for the primary."""

    @abstractmethod
    def apply_view(self, view: DirectoryView, now: float) -> None:
        """Follows the primaries and fences of a new view."""

    @abstractmethod
    def apply_without_primaries(self, version: int, now: float) -> None:
        """Ends the use of all primaries, at a view that names none.

        The process could not learn from such views that a primary is fenced.
        """

    @abstractmethod
    def renew(self, carried_version: int, sent_at: float, now: float) -> None:
        """Records a lease.

        :param carried_version: version of the view that belongs to the lease.
        :param sent_at: when the answered report was sent, in seconds of the clock.
        """

    @abstractmethod
    def drained_version(self, now: float) -> int:
        """Returns the version below which this process relies on no view any more."""

    @abstractmethod
    @contextlib.contextmanager
    def in_flight(self, service: str) -> Iterator[None]:
        """Marks a write or commit as sent for the duration of the block."""


class PlatformFencing(PrimaryAuthority):
    """For platforms that stop the former primary when they promote another target."""

    __slots__ = ()

    def may_use(self, service: str, target_id: str, now: float) -> bool:
        return True

    def covers(
        self, service: str, target_id: str, sent_at: float, until: float
    ) -> bool:
        return True

    def accepts(self, service: str, target_id: str) -> bool:
        return True

    def apply_view(self, view: DirectoryView, now: float) -> None:
        pass

    def apply_without_primaries(self, version: int, now: float) -> None:
        pass

    def renew(self, carried_version: int, sent_at: float, now: float) -> None:
        pass

    def drained_version(self, now: float) -> int:
        return 0

    @contextlib.contextmanager
    def in_flight(self, service: str) -> Iterator[None]:
        yield


class PrimaryTenure:
    """A span of time in which views name the same target as a service's primary.

    :ivar since: when this process received the first of these views, in seconds of the
        clock.
    :ivar fenced_version: version of the view that fenced the primary, or ``None``.
    :ivar expires_at: once fenced, the end of the last lease that was granted before; in
        seconds of the clock.
    :ivar drain_deadline: once fenced, until when control is made to wait for the
        statements in flight.
    :ivar in_flight: writes and commits that were sent and not answered.
    """

    __slots__ = (
        "target_id",
        "since",
        "fenced_version",
        "expires_at",
        "drain_deadline",
        "in_flight",
    )

    def __init__(self, target_id: str, since: float):
        self.target_id = target_id
        self.since = since
        self.fenced_version: int | None = None
        self.expires_at = math.inf
        self.drain_deadline = math.inf
        self.in_flight = 0

    def fence(self, version: int, lease_expires_at: float, now: float) -> None:
        """Ends the use of the primary; answers in flight may still arrive."""
        self.fenced_version = version
        self.expires_at = lease_expires_at
        self.drain_deadline = now + DRAIN_TIMEOUT_S

    def is_draining(self, now: float) -> bool:
        """Whether an answer that arrives now would still be acknowledged."""
        if self.fenced_version is None or self.in_flight == 0:
            return False
        return now < min(self.expires_at, self.drain_deadline)


class LeasedAuthority(PrimaryAuthority):
    """For platforms on which a former primary continues until it hears of the other.

    :ivar on_drained: called when the last statement in flight at a fenced primary has
        ended.
    :ivar expires_at: end of the lease, in seconds of the clock.
    :ivar continuous_since: since when this process has held a lease without a gap.
    :ivar view_version: version of the newest view.
    :ivar tenures: the current or fenced primary by service.
    """

    __slots__ = (
        "on_drained",
        "expires_at",
        "continuous_since",
        "view_version",
        "tenures",
    )

    needs_lease = True

    def __init__(self, on_drained: Callable[[], None] = lambda: None):
        self.on_drained = on_drained
        self.expires_at = -math.inf
        self.continuous_since = math.inf
        self.view_version = 0
        self.tenures: dict[str, PrimaryTenure] = {}

    def may_use(self, service: str, target_id: str, now: float) -> bool:
        return self.accepts(service, target_id) and now < self.expires_at

    def covers(
        self, service: str, target_id: str, sent_at: float, until: float
    ) -> bool:
        tenure = self.tenures.get(service)
        if tenure is None or tenure.target_id != target_id:
            return False
        if sent_at < max(tenure.since, self.continuous_since):
            return False
        return until < min(tenure.expires_at, self.expires_at)

    def accepts(self, service: str, target_id: str) -> bool:
        tenure = self.tenures.get(service)
        if tenure is None or tenure.fenced_version is not None:
            return False
        return tenure.target_id == target_id

    def apply_view(self, view: DirectoryView, now: float) -> None:
        self.view_version = view.version
        for service, target_id in view.primaries.items():
            tenure = self.tenures.get(service)
            if service in view.fences:
                if tenure is not None and tenure.fenced_version is None:
                    tenure.fence(view.version, self.expires_at, now)
            elif not self.accepts(service, target_id):
                self.tenures[service] = PrimaryTenure(target_id, now)

    def apply_without_primaries(self, version: int, now: float) -> None:
        self.view_version = version
        for tenure in self.tenures.values():
            if tenure.fenced_version is None:
                tenure.fence(version, self.expires_at, now)

    def renew(self, carried_version: int, sent_at: float, now: float) -> None:
        if self.view_version < carried_version:
            # This process still relies on a view that the lease is not for.
            return
        if now >= self.expires_at:
            self.continuous_since = now
        self.expires_at = max(self.expires_at, sent_at + PRIMARY_LEASE_S)

    def drained_version(self, now: float) -> int:
        draining = [each for each in self.tenures.values() if each.is_draining(now)]
        if draining:
            return min(each.fenced_version for each in draining) - 1
        for tenure in self.tenures.values():
            if tenure.fenced_version is not None:
                # Control may order the promotion once it knows, so that no answer that
                # arrives from now on is acknowledged.
                tenure.expires_at = -math.inf
        return self.view_version

    @contextlib.contextmanager
    def in_flight(self, service: str) -> Iterator[None]:
        tenure = self.tenures.get(service)
        if tenure is None:
            yield
            return
        tenure.in_flight += 1
        try:
            yield
        finally:
            tenure.in_flight -= 1
            if tenure.fenced_version is not None and tenure.in_flight == 0:
                self.on_drained()

"""The observations of targets that proxies with a lease report."""

from collections import Counter

from ..wire.control import Heartbeat, TargetObservation
from ..wire.target import TargetStatus
from .leases import HolderName


class ProxyObservation:
    """What one proxy last reported of one target.

    :ivar unanswered_s: at the report, seconds since the last answered probe was sent
        or, if none ever was answered, since the proxy first reported so.
    :ivar sampled_at: when the status was taken, in seconds of the leader's clock. It
        is late by the heartbeat's network delay, so it gives no order of events.
    :ivar status: the reported status; ``None`` if no probe was answered yet.
    :ivar unanswered_since: when the proxy first reported that no probe had been
        answered yet, in seconds of the leader's clock; ``None`` once one was.
    """

    __slots__ = ("unanswered_s", "sampled_at", "status", "unanswered_since")

    def __init__(
        self,
        unanswered_s: float,
        sampled_at: float,
        status: TargetStatus | None,
        unanswered_since: float | None,
    ):
        self.unanswered_s = unanswered_s
        self.sampled_at = sampled_at
        self.status = status
        self.unanswered_since = unanswered_since

    def is_newer_than(self, other: "ProxyObservation | None") -> bool:
        """Whether this observation has a status, and a newer one than ``other``."""
        if self.status is None:
            return False
        return other is None or self.sampled_at > other.sampled_at


class Report:
    """The latest heartbeat of one proxy.

    :ivar observations: by target.
    """

    __slots__ = ("heartbeat", "received_at", "observations")

    def __init__(self, heartbeat: Heartbeat, received_at: float):
        self.heartbeat = heartbeat
        self.received_at = received_at
        self.observations: dict[str, ProxyObservation] = {}

    def unreachable_targets(self, detection_s: float) -> list[str]:
        """Returns the targets that have not answered for ``detection_s`` seconds.

        If no target at all has answered, the proxy was stalled or is itself isolated,
        so its report is no evidence against any of them.
        """
        unreachable = [
            target_id
            for target_id, observation in self.observations.items()
            if observation.unanswered_s >= detection_s
        ]
        return unreachable if len(unreachable) < len(self.observations) else []


class Observations:
    """The latest report of every proxy with a lease.

    Votes and newest observations are updated with every report, so that the cost of
    evaluating a target does not grow with the number of proxies.

    :ivar detection_s: time without an answer after which a proxy counts a target as
        unreachable, in seconds.
    :ivar reports: by holder.
    :ivar votes: how many proxies count a target as unreachable, by target.
    :ivar newest: cache of the observation with the newest status, by target.
    """

    __slots__ = ("detection_s", "reports", "votes", "newest")

    def __init__(self, detection_s: float):
        self.detection_s = detection_s
        self.reports: dict[HolderName, Report] = {}
        self.votes: Counter[str] = Counter()
        self.newest: dict[str, ProxyObservation] = {}

    def record(self, heartbeat: Heartbeat, received_at: float) -> bool:
        """Records a heartbeat's report.

        :returns: ``False`` if a later heartbeat of this proxy has been received.
        """
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        known = self.reports.get(name)
        if known is not None and heartbeat.sequence < known.heartbeat.sequence:
            return False
        report = Report(heartbeat, received_at)
        for reported in heartbeat.observations:
            before = known.observations.get(reported.target_id) if known else None
            report.observations[reported.target_id] = _to_observation(
                reported, before, received_at
            )
        self.drop(name)
        self.reports[name] = report
        self.votes.update(report.unreachable_targets(self.detection_s))
        for target_id, observation in report.observations.items():
            newest = self.newest.get(target_id)
            if newest is not None and observation.is_newer_than(newest):
                self.newest[target_id] = observation
        return True

    def drop(self, name: HolderName) -> None:
        """Removes the report of a proxy."""
        report = self.reports.pop(name, None)
        if report is None:
            return
        self.votes.subtract(report.unreachable_targets(self.detection_s))
        for target_id, observation in report.observations.items():
            if self.newest.get(target_id) is observation:
                del self.newest[target_id]

    def is_unreachable(self, target_id: str) -> bool:
        """Whether most proxies with a lease have had no answer for ``detection_s``.

        A proxy that reports nothing of the target counts as one that reaches it.
        """
        return 2 * self.votes[target_id] > len(self.reports)

    def is_reached_by_any(self, target_id: str) -> bool:
        """Whether any proxy with a lease has had an answer within ``detection_s``."""
        return any(
            observation.unanswered_s < self.detection_s
            and observation.status is not None
            for observation in self._observations_of(target_id)
        )

    def latest(self, target_id: str) -> ProxyObservation | None:
        """Returns the observation with the newest status; ``None`` if there is none."""
        newest = self.newest.get(target_id)
        if newest is not None:
            return newest
        for observation in self._observations_of(target_id):
            if observation.is_newer_than(newest):
                newest = observation
        if newest is not None:
            self.newest[target_id] = newest
        return newest

    def _observations_of(self, target_id: str) -> list[ProxyObservation]:
        return [
            report.observations[target_id]
            for report in self.reports.values()
            if target_id in report.observations
        ]


def _to_observation(
    reported: TargetObservation, before: ProxyObservation | None, received_at: float
) -> ProxyObservation:
    if reported.answer_age_ms >= 0:
        unanswered_s = reported.answer_age_ms / 1000.0
        return ProxyObservation(
            unanswered_s, received_at - unanswered_s, reported.status, None
        )
    since = before.unanswered_since if before else None
    since = received_at if since is None else since
    return ProxyObservation(received_at - since, received_at, None, since)

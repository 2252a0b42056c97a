"""What live proxies report of the targets."""

from collections import Counter

from ..wire.control import Heartbeat, TargetObservation
from ..wire.target import TargetStatus
from .leases import HolderName


class Sighting:
    """What one proxy last reported of one target.

    :ivar silent_s: at the report, seconds since the last answered probe was sent or,
        if none ever was answered, since the proxy first reported so.
    :ivar sampled_at: when the status was taken, in seconds of the leader's clock.
        It is late by the heartbeat's way, so it proves no order of events.
    :ivar unanswered_since: when a proxy that had no answer yet first said so.
    """

    __slots__ = ("silent_s", "sampled_at", "status", "unanswered_since")

    def __init__(
        self,
        silent_s: float,
        sampled_at: float,
        status: TargetStatus | None,
        unanswered_since: float | None,
    ):
        self.silent_s = silent_s
        self.sampled_at = sampled_at
        self.status = status
        self.unanswered_since = unanswered_since

    def is_newer_than(self, other: "Sighting | None") -> bool:
        """Whether this sighting has a status, and a newer one than ``other``."""
        if self.status is None:
            return False
        return other is None or self.sampled_at > other.sampled_at


class Report:
    """The latest heartbeat of one proxy.

    :ivar sightings: by target.
    """

    __slots__ = ("heartbeat", "received_at", "sightings")

    def __init__(self, heartbeat: Heartbeat, received_at: float):
        self.heartbeat = heartbeat
        self.received_at = received_at
        self.sightings: dict[str, Sighting] = {}

    def lost_targets(self, silence_s: float) -> list[str]:
        """Returns the targets that have not answered for ``silence_s`` seconds.

        A proxy that no target has answered was stalled or is itself cut off, which
        says nothing of any target.
        """
        lost = [
            target_id
            for target_id, sighting in self.sightings.items()
            if sighting.silent_s >= silence_s
        ]
        return lost if len(lost) < len(self.sightings) else []


class Observations:
    """The latest report of every proxy with a lease.

    Votes and newest sightings are kept up to date with every report, so that a look
    at a target does not cost more with more proxies.

    :ivar silence_s: silence after which a proxy counts a target as lost, in seconds.
    :ivar reports: by holder.
    :ivar votes: how many proxies count a target as lost, by target.
    :ivar newest: the sighting with the newest status, by target, as far as known.
    """

    __slots__ = ("silence_s", "reports", "votes", "newest")

    def __init__(self, silence_s: float):
        self.silence_s = silence_s
        self.reports: dict[HolderName, Report] = {}
        self.votes: Counter[str] = Counter()
        self.newest: dict[str, Sighting] = {}

    def note(self, heartbeat: Heartbeat, received_at: float) -> bool:
        """Takes a heartbeat's report.

        :returns: ``False`` if a later heartbeat of this proxy came before it.
        """
        name = (heartbeat.proxy_id, heartbeat.incarnation)
        known = self.reports.get(name)
        if known is not None and heartbeat.sequence < known.heartbeat.sequence:
            return False
        report = Report(heartbeat, received_at)
        for observation in heartbeat.observations:
            before = known.sightings.get(observation.target_id) if known else None
            report.sightings[observation.target_id] = _sighting(
                observation, before, received_at
            )
        self.forget(name)
        self.reports[name] = report
        self.votes.update(report.lost_targets(self.silence_s))
        for target_id, sighting in report.sightings.items():
            newest = self.newest.get(target_id)
            if newest is not None and sighting.is_newer_than(newest):
                self.newest[target_id] = sighting
        return True

    def forget(self, name: HolderName) -> None:
        """Drops the report of a proxy."""
        report = self.reports.pop(name, None)
        if report is None:
            return
        self.votes.subtract(report.lost_targets(self.silence_s))
        for target_id, sighting in report.sightings.items():
            if self.newest.get(target_id) is sighting:
                del self.newest[target_id]

    def is_unreachable(self, target_id: str) -> bool:
        """Whether most live proxies have had no answer for ``silence_s``.

        A proxy that reports nothing of the target counts as one that reaches it.
        """
        return 2 * self.votes[target_id] > len(self.reports)

    def is_reached(self, target_id: str) -> bool:
        """Whether any live proxy has had an answer within ``silence_s``."""
        return any(
            sighting.silent_s < self.silence_s and sighting.status is not None
            for sighting in self._sightings(target_id)
        )

    def latest(self, target_id: str) -> Sighting | None:
        """Returns the sighting with the newest status."""
        newest = self.newest.get(target_id)
        if newest is not None:
            return newest
        for sighting in self._sightings(target_id):
            if sighting.is_newer_than(newest):
                newest = sighting
        if newest is not None:
            self.newest[target_id] = newest
        return newest

    def _sightings(self, target_id: str) -> list[Sighting]:
        return [
            report.sightings[target_id]
            for report in self.reports.values()
            if target_id in report.sightings
        ]


def _sighting(
    observation: TargetObservation, before: Sighting | None, received_at: float
) -> Sighting:
    if observation.answer_age_ms >= 0:
        silent_s = observation.answer_age_ms / 1000.0
        return Sighting(silent_s, received_at - silent_s, observation.status, None)
    since = before.unanswered_since if before else None
    since = received_at if since is None else since
    return Sighting(received_at - since, received_at, None, since)

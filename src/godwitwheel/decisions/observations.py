"""What live proxies report of the targets."""

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


class Report:
    """The latest heartbeat of one proxy.

    :ivar sightings: by target.
    :ivar least_silent_s: silence of the target that answered last, in seconds.
    """

    __slots__ = ("heartbeat", "received_at", "sightings", "least_silent_s")

    def __init__(self, heartbeat: Heartbeat, received_at: float):
        self.heartbeat = heartbeat
        self.received_at = received_at
        self.sightings: dict[str, Sighting] = {}
        self.least_silent_s = 0.0


class Observations:
    """The latest report of every proxy with a lease.

    :ivar reports: by holder.
    """

    __slots__ = ("reports",)

    def __init__(self):
        self.reports: dict[HolderName, Report] = {}

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
        report.least_silent_s = min(
            (sighting.silent_s for sighting in report.sightings.values()), default=0.0
        )
        self.reports[name] = report
        return True

    def forget(self, name: HolderName) -> None:
        """Drops the report of a proxy that has no lease any more."""
        self.reports.pop(name, None)

    def sightings(self, target_id: str) -> list[Sighting]:
        """Returns every proxy's sighting of a target."""
        return [
            report.sightings[target_id]
            for report in self.reports.values()
            if target_id in report.sightings
        ]

    def is_unreachable(self, target_id: str, silence_s: float) -> bool:
        """Whether most live proxies have had no answer for ``silence_s``.

        A proxy that reports nothing of the target counts as one that reaches it.
        So does one that no target has answered: it was stalled or is itself cut
        off, which says nothing of the target.
        """
        silent = 0
        for report in self.reports.values():
            sighting = report.sightings.get(target_id)
            if sighting is not None and report.least_silent_s < silence_s:
                silent += sighting.silent_s >= silence_s
        return 2 * silent > len(self.reports)

    def is_reached(self, target_id: str, silence_s: float) -> bool:
        """Whether any live proxy has had an answer within ``silence_s``."""
        return any(
            sighting.silent_s < silence_s and sighting.status is not None
            for sighting in self.sightings(target_id)
        )

    def latest(self, target_id: str) -> Sighting | None:
        """Returns the sighting with the newest status."""
        return max(
            (item for item in self.sightings(target_id) if item.status is not None),
            key=lambda item: item.sampled_at,
            default=None,
        )


def _sighting(
    observation: TargetObservation, before: Sighting | None, received_at: float
) -> Sighting:
    if observation.answer_age_ms >= 0:
        silent_s = observation.answer_age_ms / 1000.0
        return Sighting(silent_s, received_at - silent_s, observation.status, None)
    since = before.unanswered_since if before else None
    since = received_at if since is None else since
    return Sighting(received_at - since, received_at, None, since)

"""Decides when a service's primary is replaced."""

import enum
import math

from .records import DirectoryView, ProxyReport
from .report_timing import MAX_REPORT_AGE_S, NEW_LEADER_GRACE_S

# A proxy's last confirmation of its primary is valid for this long.
CONFIRMATION_TIMEOUT_MS = 600
# While some proxies still confirm the primary, the others count against it only after
# this time without a confirmation.
PARTIAL_CONFIRMATION_TIMEOUT_MS = 1200
# Share of the proxies that must count against the primary before it is replaced
# although the others reach it: a promotion delays all writes, a network partition only
# those from its side.
MIN_UNCONFIRMED_SHARE = 0.34
# Share of the known proxies whose observations must count before a primary counts as
# unreachable. Not all need to: the proxies in the primary's data centre may be
# partitioned with it. But a few give no information about the other proxies.
MIN_REPORTING_SHARE = 0.4
# A proxy that has just reached control again may have been partitioned from the primary
# as well. Its observations count once it has been in touch for this long, in seconds.
MIN_CONTACT_S = 0.6
# Time after an order until the service is assessed again: a promotion takes several
# hundred ms, and earlier observations don't show its result.
PROMOTION_GRACE_S = 2.0


class Verdict(enum.Enum):
    """What to do about a primary.

    ``adopt``: commit the target that proxies have confirmed as primary; no promotion
    order is sent.
    """

    keep = "keep"
    replace = "replace"
    adopt = "adopt"


class Assessment:
    """A verdict with its reason.

    :ivar target_id: for ``adopt``, the target that is the primary.
    :ivar serves: for ``keep``, whether a proxy has confirmed the primary.
    """

    __slots__ = ("verdict", "reason", "target_id", "serves")

    def __init__(
        self,
        verdict: Verdict,
        reason: str,
        target_id: str = "",
        serves: bool = False,
    ):
        self.verdict = verdict
        self.reason = reason
        self.target_id = target_id
        self.serves = serves


class ReceivedReport:
    """A proxy's report and when it was received.

    :ivar in_touch_since: start of the time in which the proxy has reported without a
        longer pause, in seconds of the clock; ``-inf`` if that does not matter.
    """

    __slots__ = ("report", "received_at", "in_touch_since")

    def __init__(
        self,
        report: ProxyReport,
        received_at: float,
        in_touch_since: float = -math.inf,
    ):
        self.report = report
        self.received_at = received_at
        self.in_touch_since = in_touch_since


class Observation:
    """What one proxy last observed of a service's primary.

    :ivar is_confirmed: whether the proxy has recently confirmed ``target_id`` as the
        primary.
    :ivar confirmation_age_ms: time since the last confirmation, in milliseconds.
    :ivar unreachable: all targets that the proxy can't reach.
    :ivar was_confirmed: whether the proxy has confirmed ``target_id`` since it was told
        of it.
    :ivar named_id: target that it was told is the primary.
    :ivar in_touch_s: time for which it has reported without a longer pause, in seconds.
    """

    __slots__ = (
        "proxy_id",
        "target_id",
        "is_confirmed",
        "confirmation_age_ms",
        "unreachable",
        "was_confirmed",
        "named_id",
        "in_touch_s",
    )

    def __init__(
        self,
        proxy_id: str,
        target_id: str,
        is_confirmed: bool,
        confirmation_age_ms: float,
        unreachable: list[str],
        was_confirmed: bool = True,
        named_id: str = "",
        in_touch_s: float = math.inf,
    ):
        self.proxy_id = proxy_id
        self.target_id = target_id
        self.is_confirmed = (
            is_confirmed and confirmation_age_ms < CONFIRMATION_TIMEOUT_MS
        )
        self.confirmation_age_ms = confirmation_age_ms
        self.unreachable = unreachable
        self.was_confirmed = was_confirmed
        self.named_id = named_id or target_id
        self.in_touch_s = in_touch_s

    def counts_against(self, primary_id: str) -> bool:
        """Whether it is evidence that a primary is unreachable.

        It is none if the proxy hasn't heard of that primary, has had no time to confirm
        it, or was itself out of touch until now.
        """
        if self.is_confirmed or self.named_id != primary_id:
            return False
        had_time = (
            self.was_confirmed or self.confirmation_age_ms >= CONFIRMATION_TIMEOUT_MS
        )
        return had_time and self.in_touch_s >= MIN_CONTACT_S


class ServiceObservations:
    """What the proxies have observed of one service's primary.

    :ivar recent: observations from recent reports.
    :ivar reporters: number of proxies that may use the service's primary, also if their
        last report is old.
    """

    __slots__ = ("recent", "reporters")

    def __init__(self):
        self.recent: list[Observation] = []
        self.reporters = 0


def observations_by_service(
    reports: dict[str, ReceivedReport],
    now: float,
    lease_s: float = math.inf,
) -> dict[str, ServiceObservations]:
    """Returns the observations of each service that a report names.

    :param lease_s: how long a proxy may use a primary after its last report, in
        seconds; infinite if it needs no lease for that.
    """
    found: dict[str, ServiceObservations] = {}
    for proxy_id, received in reports.items():
        age_s = now - received.received_at
        if age_s > lease_s:
            # It uses no primary until control has heard from it again, so that a
            # promotion takes nothing from its callers.
            continue
        is_recent = age_s <= MAX_REPORT_AGE_S
        # A proxy whose services have owners names no primary.
        for service in {primary.service for primary in received.report.primaries}:
            found.setdefault(service, ServiceObservations()).reporters += 1
        for primary in received.report.primaries if is_recent else ():
            observation = Observation(
                proxy_id,
                primary.target_id,
                primary.is_proven,
                primary.proof_age_ms,
                received.report.unreachable,
                primary.was_proven,
                primary.named_id,
                now - received.in_touch_since,
            )
            found[primary.service].recent.append(observation)
    return found


def is_confirmed_by_some(target_id: str, observations: list[Observation]) -> bool:
    """Whether some proxy has confirmed a target as the primary."""
    return any(
        observation.target_id == target_id and observation.is_confirmed
        for observation in observations
    )


def assess(
    service: str,
    view: DirectoryView,
    observations: list[Observation],
    proxies: int,
    led_for_s: float,
    may_adopt: bool = True,
) -> Assessment:
    """Decides whether to keep, replace or adopt a service's primary.

    A lack of evidence is not evidence, see :meth:`Observation.counts_against`: the
    first proxies that are back after a partition say little.

    :param proxies: number of known proxies, including those without a recent report.
    :param led_for_s: time since this member became leader, in seconds.
    :param may_adopt: whether a target that proxies confirmed as primary is the primary;
        a former primary may still act as one on some platforms.
    """
    confirmed = [
        observation for observation in observations if observation.is_confirmed
    ]
    primary_id = view.primaries.get(service, "")
    primary = view.targets.get(primary_id)
    naming_another = [
        observation for observation in confirmed if observation.target_id != primary_id
    ]
    if may_adopt and naming_another and len(naming_another) == len(confirmed):
        return Assessment(
            Verdict.adopt,
            "proxies confirmed another primary",
            naming_another[0].target_id,
        )
    if led_for_s < NEW_LEADER_GRACE_S:
        return Assessment(Verdict.keep, "this member has only just become leader")
    if service in view.fences:
        return Assessment(Verdict.replace, f"{primary_id} is fenced")
    if primary is not None and primary.leaving:
        return Assessment(Verdict.replace, f"{primary_id} is leaving")
    if len(observations) < MIN_REPORTING_SHARE * proxies or not observations:
        return Assessment(
            Verdict.keep, f"only {len(observations)} of {proxies} proxies report"
        )
    against = [each for each in observations if each.counts_against(primary_id)]
    if not confirmed:
        if len(against) < MIN_REPORTING_SHARE * proxies or not against:
            return Assessment(
                Verdict.keep,
                f"only {len(against)} of {proxies} proxies have had time to confirm "
                f"{primary_id}",
            )
        return Assessment(
            Verdict.replace,
            f"none of {len(observations)} proxies has confirmed "
            f"{primary_id or 'a primary'} as primary for "
            f"{min(each.confirmation_age_ms for each in against)} ms",
        )
    unconfirmed = [
        observation
        for observation in against
        if observation.target_id == primary_id
        and observation.confirmation_age_ms >= PARTIAL_CONFIRMATION_TIMEOUT_MS
    ]
    if len(unconfirmed) >= MIN_UNCONFIRMED_SHARE * len(observations):
        return Assessment(
            Verdict.replace,
            f"{len(unconfirmed)} of {len(observations)} proxies "
            f"can't reach {primary_id}",
        )
    return Assessment(
        Verdict.keep,
        f"{len(confirmed)} proxies confirmed the primary",
        serves=is_confirmed_by_some(primary_id, observations),
    )

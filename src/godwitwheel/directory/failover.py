"""Decides when a service's primary is replaced, and by which target."""

import enum

from ..sessions.statements import Position
from .records import DirectoryView, ProxyReport, TargetEntry

# A report older than this says nothing about the present, in seconds.
REPORT_FRESH_S = 0.6
# A proxy that can't tell for so long that its primary leads counts as missing it.
PROOF_AGE_MS = 600
# While some proxies still reach the primary, the others wait this long first.
PARTIAL_PROOF_AGE_MS = 1200
# Share of the proxies that must miss the primary before it is replaced although the
# others reach it: a promotion holds up all writes, a cut only those of its side.
PARTIAL_SHARE = 0.34
# Share of the known proxies that must report before a primary is taken for lost: a
# zone's may be cut off together with it, but a few say nothing of the others.
REPORTING_SHARE = 0.4
# A promotion takes several hundred ms; until then nothing can be said of it.
ORDER_PAUSE_S = 2.0
# A proxy has given up the old leader and found the new one within this time.
FIRST_REPORTS_S = 0.8


class Verdict(enum.Enum):
    """What is to be done about a primary."""

    keep = "keep"
    replace = "replace"
    adopt = "adopt"


class Assessment:
    """A verdict with its reason.

    :ivar target_id: for ``adopt``, the target that leads.
    """

    __slots__ = ("verdict", "reason", "target_id")

    def __init__(self, verdict: Verdict, reason: str, target_id: str = ""):
        self.verdict = verdict
        self.reason = reason
        self.target_id = target_id


class ReceivedReport:
    """A proxy's report and when it came."""

    __slots__ = ("report", "received_at")

    def __init__(self, report: ProxyReport, received_at: float):
        self.report = report
        self.received_at = received_at


class Observation:
    """What one proxy sees of a service's primary.

    :ivar is_proven: whether ``target_id`` leads, as far as the proxy knows.
    """

    __slots__ = ("proxy_id", "target_id", "is_proven", "proof_age_ms", "unreachable")

    def __init__(
        self,
        proxy_id: str,
        target_id: str,
        is_proven: bool,
        proof_age_ms: float,
        unreachable: list[str],
    ):
        self.proxy_id = proxy_id
        self.target_id = target_id
        self.is_proven = is_proven and proof_age_ms < PROOF_AGE_MS
        self.proof_age_ms = proof_age_ms
        self.unreachable = unreachable


def observations_of(
    service: str, reports: dict[str, ReceivedReport], now: float
) -> list[Observation]:
    """Returns what the proxies that reported lately see of a service."""
    observations = []
    for proxy_id, received in reports.items():
        if now - received.received_at > REPORT_FRESH_S:
            continue
        for primary in received.report.primaries:
            if primary.service == service:
                observations.append(
                    Observation(
                        proxy_id,
                        primary.target_id,
                        primary.is_proven,
                        primary.proof_age_ms,
                        received.report.unreachable,
                    )
                )
    return observations


def assess(
    service: str,
    view: DirectoryView,
    observations: list[Observation],
    proxies: int,
    led_for_s: float,
) -> Assessment:
    """Decides about a service's primary.

    :param proxies: how many proxies are known, whether they reported lately or not.
    :param led_for_s: how long this member has led, in seconds.
    """
    proved = [observation for observation in observations if observation.is_proven]
    primary_id = view.primaries.get(service, "")
    primary = view.targets.get(primary_id)
    elsewhere = [
        observation for observation in proved if observation.target_id != primary_id
    ]
    if elsewhere and len(elsewhere) == len(proved):
        return Assessment(
            Verdict.adopt, "proxies found another primary", elsewhere[0].target_id
        )
    if led_for_s < FIRST_REPORTS_S:
        return Assessment(Verdict.keep, "this member leads only since a moment ago")
    if primary is not None and primary.leaving:
        return Assessment(Verdict.replace, f"{primary_id} is leaving")
    if len(observations) < REPORTING_SHARE * proxies or not observations:
        return Assessment(
            Verdict.keep, f"only {len(observations)} of {proxies} proxies report"
        )
    if not proved:
        return Assessment(
            Verdict.replace,
            f"none of {len(observations)} proxies has seen "
            f"{primary_id or 'a primary'} lead for "
            f"{min(each.proof_age_ms for each in observations)} ms",
        )
    missing = [
        observation
        for observation in observations
        if not observation.is_proven
        and observation.proof_age_ms >= PARTIAL_PROOF_AGE_MS
    ]
    if len(missing) >= PARTIAL_SHARE * len(observations):
        return Assessment(
            Verdict.replace,
            f"{len(missing)} of {len(observations)} proxies can't reach {primary_id}",
        )
    return Assessment(Verdict.keep, f"{len(proved)} proxies saw it lead")


class Candidate:
    """A target that could be promoted.

    :ivar received: last position that it has received; ``None`` if it did not say.
    :ivar missed_by: proxies that can't reach it.
    """

    __slots__ = ("entry", "received", "term", "missed_by")

    def __init__(
        self,
        entry: TargetEntry,
        received: Position | None,
        term: int,
        missed_by: int,
    ):
        self.entry = entry
        self.received = received
        self.term = term
        self.missed_by = missed_by


def candidates_of(service: str, view: DirectoryView) -> list[TargetEntry]:
    """Returns the targets that may be asked whether they could lead."""
    primary_id = view.primaries.get(service, "")
    return [
        entry
        for entry in view.targets.values()
        if entry.service == service
        and not entry.leaving
        and entry.target_id != primary_id
    ]


def choose_candidate(
    candidates: list[Candidate], observations: list[Observation], primary_id: str
) -> Candidate | None:
    """Returns the target that loses least, among those that the proxies reach.

    :returns: ``None`` if no target is reached by more proxies than the primary.
    """
    missing_primary = sum(
        1
        for observation in observations
        if observation.target_id == primary_id and not observation.is_proven
    )
    able = [each for each in candidates if each.received is not None]
    if observations and missing_primary:
        able = [each for each in able if each.missed_by < max(missing_primary, 1)]
    if not able:
        return None
    return max(able, key=lambda each: (each.received, -each.missed_by))


def missed_by(target_id: str, observations: list[Observation]) -> int:
    """Returns how many proxies can't reach a target."""
    return sum(
        1 for observation in observations if target_id in observation.unreachable
    )

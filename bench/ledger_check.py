"""Checks after a run that every answer was true.

The rows of the final primary are compared with what callers were told.
"""

import bisect
from collections import Counter, defaultdict

from .records import Ending, RequestKind, RequestRecord
from .workload import LISTED_ENTRIES, entry_keys

_SURELY_NOT_RUN = frozenset({Ending.not_run, Ending.not_sent})


class Verdict:
    """What a run showed; every list of findings must be empty.

    :ivar lost: keys acknowledged and absent.
    :ivar doubled: keys recorded more than once.
    :ivar wrongly_refused: keys told as not run and recorded all the same.
    :ivar torn: transactions of which only a part is recorded.
    :ivar mixed: answers of another request, or malformed ones.
    :ivar missed_own: reads that missed an acknowledged write of their caller.
    :ivar stale: reads older than their service declared.
    :ivar unknown: keys whose callers never learned the outcome.
    """

    __slots__ = (
        "lost",
        "doubled",
        "wrongly_refused",
        "torn",
        "mixed",
        "missed_own",
        "stale",
        "acknowledged",
        "unknown",
        "refused",
        "reads",
        "replica_reads",
    )

    def __init__(self):
        self.lost: list[str] = []
        self.doubled: list[str] = []
        self.wrongly_refused: list[str] = []
        self.torn: list[str] = []
        self.mixed: list[str] = []
        self.missed_own: list[str] = []
        self.stale: list[str] = []
        self.acknowledged = 0
        self.unknown = 0
        self.refused = 0
        self.reads = 0
        self.replica_reads = 0

    def faults(self) -> dict[str, list[str]]:
        """Returns the findings that must not be."""
        names = ("lost", "doubled", "wrongly_refused", "torn", "mixed")
        names += ("missed_own", "stale")
        return {name: getattr(self, name) for name in names if getattr(self, name)}

    def is_clean(self) -> bool:
        """Whether every answer was true."""
        return not self.faults()

    def replica_share(self) -> float:
        """Returns the share of answered reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0


def check(
    records: list[RequestRecord], rows: dict[str, list[tuple[int, str]]]
) -> Verdict:
    """Compares what callers were told with the final rows.

    :param rows: ``(id, key)`` of every entry of each group's final primary.
    """
    verdict = Verdict()
    verdict.mixed = [fault for record in records for fault in record.faults]
    for group, entries in rows.items():
        of_group = [record for record in records if record.group == group]
        writes = [record for record in of_group if record.kind is RequestKind.write]
        _check_writes(writes, entries, verdict)
        acknowledged = [record for record in writes if record.ending is Ending.done]
        _check_reads(of_group, acknowledged, verdict)
    return verdict


def _check_writes(
    writes: list[RequestRecord], entries: list[tuple[int, str]], verdict: Verdict
) -> None:
    counts = Counter(key for _, key in entries)
    ids = {key: entry_id for entry_id, key in entries}
    sendings = defaultdict(list)
    for record in writes:
        sendings[record.key].append(record)
    for key, records in sendings.items():
        _check_key(key, records, counts, ids, verdict)


def _check_key(
    key: str,
    records: list[RequestRecord],
    counts: Counter,
    ids: dict[str, int],
    verdict: Verdict,
) -> None:
    done = [record for record in records if record.ending is Ending.done]
    recorded = counts[key]
    if recorded > 1:
        verdict.doubled.append(key)
    if any(counts[part] != recorded for part in entry_keys(key, records[0].entries)):
        verdict.torn.append(key)
    if done:
        verdict.acknowledged += 1
        _check_acknowledged(key, done, counts, ids, verdict)
    elif all(record.ending in _SURELY_NOT_RUN for record in records):
        verdict.refused += 1
        if recorded:
            verdict.wrongly_refused.append(key)
    else:
        verdict.unknown += 1


def _check_acknowledged(
    key: str,
    done: list[RequestRecord],
    counts: Counter,
    ids: dict[str, int],
    verdict: Verdict,
) -> None:
    if not counts[key]:
        verdict.lost.append(key)
        return
    if any(record.entry_id != ids[key] for record in done):
        verdict.lost.append(f"{key}: recorded under another id than answered")


def _check_reads(
    records: list[RequestRecord], acknowledged: list[RequestRecord], verdict: Verdict
) -> None:
    by_caller = defaultdict(list)
    for record in acknowledged:
        by_caller[record.caller].append(record)
    timeline = _highest_by_time(acknowledged)
    for record in records:
        if record.kind is RequestKind.write or record.ending is not Ending.done:
            continue
        verdict.reads += 1
        verdict.replica_reads += record.from_replica
        if record.kind is RequestKind.own_read:
            _check_own_read(record, by_caller[record.caller], verdict)
        else:
            _check_shared_read(record, timeline, verdict)


def _check_own_read(
    record: RequestRecord, own: list[RequestRecord], verdict: Verdict
) -> None:
    earlier = [write for write in own if write.answered_at < record.sent_at]
    expected = {key for write in earlier for key in write.keys}
    missing = expected.difference(record.keys)
    if missing and len(record.keys) < LISTED_ENTRIES:
        verdict.missed_own.append(f"{record.key} at {record.served_by}: {missing}")


def _highest_by_time(
    acknowledged: list[RequestRecord],
) -> tuple[list[float], list[int]]:
    times, highest = [], []
    for record in sorted(acknowledged, key=lambda record: record.answered_at):
        times.append(record.answered_at)
        highest.append(max(record.entry_id, highest[-1] if highest else 0))
    return times, highest


def _check_shared_read(
    record: RequestRecord, timeline: tuple[list[float], list[int]], verdict: Verdict
) -> None:
    times, highest = timeline
    horizon = record.sent_at - record.max_staleness_ms / 1000
    known = bisect.bisect_left(times, horizon)
    expected = highest[known - 1] if known else 0
    if record.entry_id < expected:
        text = f"{record.key} at {record.served_by}: {record.entry_id} < {expected}"
        verdict.stale.append(text)

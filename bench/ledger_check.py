"""Checks after a run that every answer was correct.

The answers that callers received are compared with the rows of the final primary.
"""

import bisect
from collections import Counter, defaultdict

from .records import Ending, RequestKind, RequestRecord
from .workload import LISTED_ENTRIES, entry_keys

_GUARANTEED_NOT_RUN = frozenset({Ending.not_run, Ending.not_sent})


class CheckResult:
    """Result of the check of a run; every list of findings must be empty.

    :ivar lost: keys that were acknowledged but are absent or have another id.
    :ivar doubled: keys recorded more than once.
    :ivar wrongly_refused: keys that were answered as not run but are recorded.
    :ivar torn: keys of transactions of which only a part is recorded.
    :ivar mixed: answers that are malformed or belong to another request.
    :ivar missed_own: reads that lack an earlier acknowledged write of their caller.
    :ivar stale: reads older than their service's ``max_staleness_ms``.
    :ivar acknowledged: number of keys that were answered as done.
    :ivar unknown: number of keys whose outcome stayed unknown to the caller.
    :ivar refused: number of keys of which every attempt was answered as not run, or
        not sent.
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
        """Returns the findings by kind, without empty kinds."""
        names = ("lost", "doubled", "wrongly_refused", "torn", "mixed")
        names += ("missed_own", "stale")
        return {name: getattr(self, name) for name in names if getattr(self, name)}

    def is_clean(self) -> bool:
        """Whether every answer was correct."""
        return not self.faults()

    def replica_share(self) -> float:
        """Returns the share of answered reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0


def check(
    records: list[RequestRecord], rows: dict[str, list[tuple[int, str]]]
) -> CheckResult:
    """Compares the answers that callers received with the final rows.

    :param rows: ``(id, key)`` of every entry of each group's final primary.
    """
    result = CheckResult()
    result.mixed = [fault for record in records for fault in record.faults]
    for group, entries in rows.items():
        of_group = [record for record in records if record.group == group]
        writes = [record for record in of_group if record.kind is RequestKind.write]
        _check_writes(writes, entries, result)
        acknowledged = [record for record in writes if record.ending is Ending.done]
        _check_reads(of_group, acknowledged, result)
    return result


def _check_writes(
    writes: list[RequestRecord], entries: list[tuple[int, str]], result: CheckResult
) -> None:
    counts = Counter(key for _, key in entries)
    ids = {key: entry_id for entry_id, key in entries}
    attempts_by_key = defaultdict(list)
    for record in writes:
        attempts_by_key[record.key].append(record)
    for key, records in attempts_by_key.items():
        _check_key(key, records, counts, ids, result)


def _check_key(
    key: str,
    records: list[RequestRecord],
    counts: Counter,
    ids: dict[str, int],
    result: CheckResult,
) -> None:
    done = [record for record in records if record.ending is Ending.done]
    recorded = counts[key]
    if recorded > 1:
        result.doubled.append(key)
    if any(counts[part] != recorded for part in entry_keys(key, records[0].entries)):
        result.torn.append(key)
    if done:
        result.acknowledged += 1
        _check_acknowledged(key, done, counts, ids, result)
    elif all(record.ending in _GUARANTEED_NOT_RUN for record in records):
        result.refused += 1
        if recorded:
            result.wrongly_refused.append(key)
    else:
        result.unknown += 1


def _check_acknowledged(
    key: str,
    done: list[RequestRecord],
    counts: Counter,
    ids: dict[str, int],
    result: CheckResult,
) -> None:
    if not counts[key]:
        result.lost.append(key)
        return
    if any(record.entry_id != ids[key] for record in done):
        result.lost.append(f"{key}: recorded under another id than answered")


def _check_reads(
    records: list[RequestRecord], acknowledged: list[RequestRecord], result: CheckResult
) -> None:
    by_caller = defaultdict(list)
    for record in acknowledged:
        by_caller[record.caller].append(record)
    timeline = _highest_ids_by_time(acknowledged)
    for record in records:
        if record.kind is RequestKind.write or record.ending is not Ending.done:
            continue
        result.reads += 1
        result.replica_reads += record.from_replica
        if record.kind is RequestKind.own_read:
            _check_own_read(record, by_caller[record.caller], result)
        else:
            _check_shared_read(record, timeline, result)


def _check_own_read(
    record: RequestRecord, own: list[RequestRecord], result: CheckResult
) -> None:
    earlier = [write for write in own if write.answered_at < record.sent_at]
    expected = {key for write in earlier for key in write.keys}
    missing = expected.difference(record.keys)
    if missing and len(record.keys) < LISTED_ENTRIES:
        result.missed_own.append(f"{record.key} at {record.served_by}: {missing}")


def _highest_ids_by_time(
    acknowledged: list[RequestRecord],
) -> tuple[list[float], list[int]]:
    times, highest = [], []
    for record in sorted(acknowledged, key=lambda record: record.answered_at):
        times.append(record.answered_at)
        highest.append(max(record.entry_id, highest[-1] if highest else 0))
    return times, highest


def _check_shared_read(
    record: RequestRecord, timeline: tuple[list[float], list[int]], result: CheckResult
) -> None:
    times, highest = timeline
    horizon = record.sent_at - record.max_staleness_ms / 1000
    acknowledged_before = bisect.bisect_left(times, horizon)
    expected = highest[acknowledged_before - 1] if acknowledged_before else 0
    if record.entry_id < expected:
        text = f"{record.key} at {record.served_by}: {record.entry_id} < {expected}"
        result.stale.append(text)

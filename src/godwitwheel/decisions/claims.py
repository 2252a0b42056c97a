"""Claims on idempotency keys: which attempt may run a request that must run once.

A UUIDv7 key contains its creation time. Once it is older than its retention period it
is refused as expired, so its record can be dropped. The age of any other key is
unknown, so its record is kept forever, and new keys are refused when the table is full.
"""

import heapq
import uuid

import msgspec

from ..wire.caller import Outcome
from ..wire.codec import encode
from ..wire.control import Claim, ClaimStatus, RecordOutcome

MAX_CLAIMS = 200_000
MAX_ANSWER_BYTES = 24 << 20
# Longer than any call between processes may take, in seconds, so that no duplicate of a
# released claim arrives later.
RELEASED_RETENTION_S = 60.0
# Released attempts remembered per key, to recognize late duplicates of their claims.
MAX_RELEASED_ATTEMPTS = 64
NO_ANSWER = msgspec.Raw(b"null")


class ClaimRecord(msgspec.Struct):
    """The state of one key.

    :ivar attempt: the attempt that holds or last held the key.
    :ivar made_at: when the key was created, in seconds since the Unix epoch; ``None``
        for a key without a timestamp.
    :ivar forget_at: when the record may be dropped, in seconds since the Unix epoch;
        ``None`` for never.
    :ivar released_at: when the attempt reported that it was not run, in seconds since
        the Unix epoch; ``None`` while an attempt holds the key.
    :ivar answer: the encoded answer; ``NO_ANSWER`` until it is recorded.
    :ivar released: attempts that released the key, the latest last.
    """

    service: str
    key: str
    digest: str
    attempt: str
    made_at: float | None
    forget_at: float | None
    released_at: float | None = None
    answer: msgspec.Raw = NO_ANSWER
    released: list[str] = []

    def has_answer(self) -> bool:
        """Whether the outcome is recorded."""
        return self.answer != NO_ANSWER

    def answer_size(self) -> int:
        """Returns the size of the recorded answer, in bytes."""
        return len(self.answer) if self.has_answer() else 0


class ClaimsSnapshot(msgspec.Struct):
    """The whole claim table, oldest record first."""

    records: list[ClaimRecord] = []
    horizons: dict[str, float] = {}


class ClaimTable:
    """Grants each key to at most one running attempt.

    :ivar horizons: latest creation time of a dropped key, by service, in seconds since
        the Unix epoch. A key that is not newer and not in the table may have run, so
        it counts as expired, even if its retention period has been extended since.
    :ivar answer_bytes: total size of the recorded answers.
    """

    __slots__ = (
        "records",
        "horizons",
        "answer_bytes",
        "max_claims",
        "max_answer_bytes",
        "_expiry_heap",
        "_release_heap",
    )

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.records: dict[tuple[str, str], ClaimRecord] = {}
        self.horizons: dict[str, float] = {}
        self.answer_bytes = 0
        self.max_claims = max_claims
        self.max_answer_bytes = max_answer_bytes
        self._expiry_heap: list[tuple[float, str, str]] = []
        self._release_heap: list[tuple[float, str, str]] = []

    def peek(self, claim: Claim, now: float) -> tuple[ClaimStatus, ClaimRecord | None]:
        """Returns the result that a claim would have, without granting anything.

        :param now: seconds since the Unix epoch.
        """
        made_at = key_timestamp(claim.key)
        if self._is_expired(claim, made_at, now):
            return ClaimStatus.expired, None
        record = self.records.get((claim.service, claim.key))
        if record is None:
            return (ClaimStatus.full if self._is_full() else ClaimStatus.granted), None
        return self._status_of(record, claim), record

    def claim(self, claim: Claim, now: float) -> tuple[ClaimStatus, ClaimRecord | None]:
        """Claims a key for an attempt.

        :param now: the command's time, in seconds since the Unix epoch.
        """
        self.drop_expired(now)
        status, record = self.peek(claim, now)
        if status is ClaimStatus.granted:
            record = self._grant(claim, record)
        return status, record

    def record(self, outcome: RecordOutcome, now: float) -> bool:
        """Records an outcome or, if the attempt was not run, releases the key.

        :returns: whether the attempt held the key and its outcome stands.
        """
        record = self.records.get((outcome.service, outcome.key))
        if record is None or record.attempt != outcome.attempt:
            return False
        if record.has_answer():
            return True
        if outcome.answer.outcome is Outcome.not_run:
            self._release(record, now)
            return True
        if record.released_at is not None:
            return False
        record.answer = msgspec.Raw(encode(outcome.answer))
        self.answer_bytes += len(record.answer)
        return True

    def drop_expired(self, now: float) -> None:
        """Drops records of expired keys and, if the table is full, old released ones.

        A released record counts as old after ``RELEASED_RETENTION_S`` seconds.
        """
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, service, key = heapq.heappop(self._expiry_heap)
            record = self.records.get((service, key))
            if record is not None and record.forget_at <= now:
                self._drop(record)
                horizon = self.horizons.get(service, 0.0)
                self.horizons[service] = max(horizon, record.made_at)
        # A released record prevents late duplicates of its claims from being granted,
        # so it is dropped only when its space is needed.
        while self._is_full() and self._has_old_release(now):
            released_at, service, key = heapq.heappop(self._release_heap)
            record = self.records.get((service, key))
            if record is not None and record.released_at == released_at:
                self._drop(record)

    def snapshot(self) -> ClaimsSnapshot:
        """Returns the table's state for :meth:`restore`."""
        return ClaimsSnapshot(list(self.records.values()), self.horizons)

    def restore(self, snapshot: ClaimsSnapshot) -> None:
        """Replaces the whole table."""
        self.records = {(item.service, item.key): item for item in snapshot.records}
        self.horizons = dict(snapshot.horizons)
        for item in snapshot.records:
            # A decoded Raw keeps the whole snapshot's bytes alive.
            item.answer = item.answer.copy()
        self.answer_bytes = sum(item.answer_size() for item in snapshot.records)
        self._expiry_heap = sorted(
            (item.forget_at, item.service, item.key)
            for item in snapshot.records
            if item.forget_at is not None
        )
        self._release_heap = sorted(
            (item.released_at, item.service, item.key)
            for item in snapshot.records
            if item.released_at is not None
        )

    def _is_expired(self, claim: Claim, made_at: float | None, now: float) -> bool:
        if made_at is None:
            return False
        if made_at + claim.retention_s < now:
            return True
        known = (claim.service, claim.key) in self.records
        return not known and made_at <= self.horizons.get(claim.service, 0.0)

    def _is_full(self) -> bool:
        return (
            len(self.records) >= self.max_claims
            or self.answer_bytes >= self.max_answer_bytes
        )

    def _has_old_release(self, now: float) -> bool:
        return (
            bool(self._release_heap)
            and self._release_heap[0][0] + RELEASED_RETENTION_S <= now
        )

    def _status_of(self, record: ClaimRecord, claim: Claim) -> ClaimStatus:
        if record.released_at is not None:
            # A late duplicate of a released attempt's claim must not get the key: that
            # attempt has ended, so nothing would run the request.
            was_released = claim.attempt in record.released
            return ClaimStatus.pending if was_released else ClaimStatus.granted
        if record.digest != claim.digest:
            return ClaimStatus.mismatch
        if record.has_answer():
            return ClaimStatus.recorded
        same = record.attempt == claim.attempt
        return ClaimStatus.granted if same else ClaimStatus.pending

    def _grant(self, claim: Claim, record: ClaimRecord | None) -> ClaimRecord:
        if record is not None:
            record.attempt = claim.attempt
            record.digest = claim.digest
            record.released_at = None
            return record
        made_at = key_timestamp(claim.key)
        forget_at = None if made_at is None else made_at + claim.retention_s
        record = ClaimRecord(
            claim.service, claim.key, claim.digest, claim.attempt, made_at, forget_at
        )
        name = (claim.service, claim.key)
        self.records[name] = record
        if forget_at is not None:
            heapq.heappush(self._expiry_heap, (forget_at, *name))
        return record

    def _release(self, record: ClaimRecord, now: float) -> None:
        if record.released_at is None:
            record.released_at = now
            attempts = [*record.released, record.attempt]
            record.released = attempts[-MAX_RELEASED_ATTEMPTS:]
            heapq.heappush(self._release_heap, (now, record.service, record.key))

    def _drop(self, record: ClaimRecord) -> None:
        del self.records[(record.service, record.key)]
        self.answer_bytes -= record.answer_size()


def key_timestamp(key: str) -> float | None:
    """Returns the timestamp of a UUIDv7 key, in seconds since the Unix epoch.

    :returns: ``None`` for a key of any other form.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7 or str(value) != key.lower():
        return None
    return (value.int >> 80) / 1000.0

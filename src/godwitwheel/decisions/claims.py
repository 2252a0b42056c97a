"""Idempotency claims: which attempt may run a request that must run only once.

A key of the UUIDv7 form carries the time at which it was made. Once it is older
than its retention it is refused as expired, so its record may be forgotten. Any
other key tells no age, so it is remembered for good, and new ones are refused
when there is no room.
"""

import heapq
import uuid

import msgspec

from ..wire.caller import Outcome
from ..wire.codec import encode
from ..wire.control import Claim, ClaimStatus, RecordOutcome

MAX_CLAIMS = 200_000
MAX_ANSWER_BYTES = 24 << 20
# Longer than any call between processes may take, in seconds.
RELEASED_KEPT_S = 60.0
# Attempts on one key that are told apart from new ones after they gave it back.
MAX_RELEASED_ATTEMPTS = 64
NO_ANSWER = msgspec.Raw(b"null")


class ClaimRecord(msgspec.Struct):
    """What is remembered of one key.

    :ivar attempt: the attempt that holds or last held the key.
    :ivar made_at: when the key was made, in seconds since the Unix epoch; ``None``
        for a key that does not tell.
    :ivar forget_at: when the record may be dropped; ``None`` for never.
    :ivar released_at: when the attempt said that it was not run, in seconds since
        the Unix epoch; ``None`` while an attempt holds the key.
    :ivar answer: the encoded answer; ``NO_ANSWER`` until it is recorded.
    :ivar released: attempts that gave the key back, the latest last.
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
    """Grants each key to at most one attempt that runs.

    :ivar horizons: newest making time of a forgotten key, by service. A key that
        is not newer and not in the table may have run, so it counts as expired,
        whatever its retention says by now.
    :ivar answer_bytes: total size of the recorded answers.
    """

    __slots__ = (
        "records",
        "horizons",
        "answer_bytes",
        "max_claims",
        "max_answer_bytes",
        "_forgettable",
        "_released",
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
        self._forgettable: list[tuple[float, str, str]] = []
        self._released: list[tuple[float, str, str]] = []

    def peek(self, claim: Claim, now: float) -> tuple[ClaimStatus, ClaimRecord | None]:
        """Tells what a claim would get, without granting anything.

        :param now: seconds since the Unix epoch.
        """
        made_at = key_time(claim.key)
        if self._is_expired(claim, made_at, now):
            return ClaimStatus.expired, None
        record = self.records.get((claim.service, claim.key))
        if record is None:
            return (ClaimStatus.full if self._is_full() else ClaimStatus.granted), None
        return self._status_of(record, claim), record

    def claim(self, claim: Claim, now: float) -> tuple[ClaimStatus, ClaimRecord | None]:
        """Claims a key for an attempt.

        :param now: seconds since the Unix epoch, as the command says.
        """
        self.forget(now)
        status, record = self.peek(claim, now)
        if status is ClaimStatus.granted:
            record = self._grant(claim, record)
        return status, record

    def record(self, outcome: RecordOutcome, now: float) -> bool:
        """Records an outcome or, if it was not run, frees the key.

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

    def forget(self, now: float) -> None:
        """Drops records whose keys are refused as expired; freed ones if need be."""
        while self._forgettable and self._forgettable[0][0] <= now:
            _, service, key = heapq.heappop(self._forgettable)
            record = self.records.get((service, key))
            if record is not None and record.forget_at <= now:
                self._drop(record)
                horizon = self.horizons.get(service, 0.0)
                self.horizons[service] = max(horizon, record.made_at)
        # A freed record keeps late duplicates of its claims from being granted, so
        # it goes only when its room is needed.
        while self._is_full() and self._has_old_release(now):
            released_at, service, key = heapq.heappop(self._released)
            record = self.records.get((service, key))
            if record is not None and record.released_at == released_at:
                self._drop(record)

    def snapshot(self) -> ClaimsSnapshot:
        """Returns all that :meth:`restore` needs."""
        return ClaimsSnapshot(list(self.records.values()), self.horizons)

    def restore(self, snapshot: ClaimsSnapshot) -> None:
        """Replaces the whole table."""
        self.records = {(item.service, item.key): item for item in snapshot.records}
        self.horizons = dict(snapshot.horizons)
        for item in snapshot.records:
            # A decoded Raw keeps the whole snapshot's bytes alive.
            item.answer = item.answer.copy()
        self.answer_bytes = sum(item.answer_size() for item in snapshot.records)
        self._forgettable = sorted(
            (item.forget_at, item.service, item.key)
            for item in snapshot.records
            if item.forget_at is not None
        )
        self._released = sorted(
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
        return bool(self._released) and self._released[0][0] + RELEASED_KEPT_S <= now

    def _status_of(self, record: ClaimRecord, claim: Claim) -> ClaimStatus:
        if record.released_at is not None:
            # A late duplicate of a freed attempt's claim must not take the key:
            # nobody would run it any more.
            freed = claim.attempt in record.released
            return ClaimStatus.pending if freed else ClaimStatus.granted
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
        made_at = key_time(claim.key)
        forget_at = None if made_at is None else made_at + claim.retention_s
        record = ClaimRecord(
            claim.service, claim.key, claim.digest, claim.attempt, made_at, forget_at
        )
        name = (claim.service, claim.key)
        self.records[name] = record
        if forget_at is not None:
            heapq.heappush(self._forgettable, (forget_at, *name))
        return record

    def _release(self, record: ClaimRecord, now: float) -> None:
        if record.released_at is None:
            record.released_at = now
            attempts = [*record.released, record.attempt]
            record.released = attempts[-MAX_RELEASED_ATTEMPTS:]
            heapq.heappush(self._released, (now, record.service, record.key))

    def _drop(self, record: ClaimRecord) -> None:
        del self.records[(record.service, record.key)]
        self.answer_bytes -= record.answer_size()


def key_time(key: str) -> float | None:
    """Returns when a UUIDv7 key was made, in seconds since the Unix epoch.

    :returns: ``None`` for a key of any other form.
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7 or str(value) != key.lower():
        return None
    return (value.int >> 80) / 1000.0

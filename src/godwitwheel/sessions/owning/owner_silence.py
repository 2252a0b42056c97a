"""A circuit breaker for calls to owners.

While an owner is paused or unreachable, callers would pile up, and each would wait
until its timeout without being served. Their calls fail at once instead.
"""

import math

from ...directory.records import OwnerEntry

# Time without any answer after which calls fail fast, in seconds. An owner answers some
# call within it even while statements are queued for a turn, unless all of them are.
UNRESPONSIVE_AFTER_S = 0.35
# Time that an owner has to answer a probe, which it does at once even if every
# statement is slow. In seconds.
PROBE_ANSWER_S = 0.1
# How long an owner's answer that it is isolated holds, in seconds. Proxies that don't
# reach control either probe it several times within this span.
ISOLATION_REPORT_S = 0.8


class CallRecord:
    """State of the calls to one owner.

    :ivar unanswered_since: when the first call after its last answer was sent, or
        ``None`` if there is none.
    :ivar probed_at: when the first probe after its last answer was sent; infinite if
        there is none.
    :ivar isolated_at: when it last answered that it is isolated.
    """

    __slots__ = ("unanswered_since", "probed_at", "isolated_at")

    def __init__(self):
        self.unanswered_since: float | None = None
        self.probed_at = math.inf
        self.isolated_at = -math.inf


class OwnerBreakers:
    """The circuit breakers of the owners that a proxy calls.

    :ivar records: state of the calls by address of the owner.
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records: dict[str, CallRecord] = {}

    def record_call(self, owner: OwnerEntry, now: float) -> None:
        """Records that a call was sent."""
        record = self.records.setdefault(owner.address, CallRecord())
        if record.unanswered_since is None:
            record.unanswered_since = now

    def record_probe(self, owner: OwnerEntry, now: float) -> None:
        """Records that a probe was sent."""
        self.record_call(owner, now)
        record = self.records[owner.address]
        record.probed_at = min(record.probed_at, now)

    def record_answer(self, owner: OwnerEntry, now: float) -> None:
        """Records an answer to any call."""
        record = self.records.setdefault(owner.address, CallRecord())
        record.unanswered_since = None
        record.probed_at = math.inf

    def record_isolation(
        self, owner: OwnerEntry, is_isolated: bool, now: float
    ) -> None:
        """Records an owner's answer whether it is isolated."""
        record = self.records.setdefault(owner.address, CallRecord())
        record.isolated_at = now if is_isolated else -math.inf

    def is_isolated(self, owner: OwnerEntry, now: float) -> bool:
        """Whether an owner has recently answered that it is isolated."""
        record = self.records.get(owner.address)
        return record is not None and now - record.isolated_at < ISOLATION_REPORT_S

    def unanswered_s(self, owner: OwnerEntry, now: float) -> float:
        """Returns for how long an owner has answered no call, in seconds.

        It is 0 if no call was sent since its last answer.
        """
        record = self.records.get(owner.address)
        if record is None or record.unanswered_since is None:
            return 0.0
        return now - record.unanswered_since

    def is_unresponsive(self, owner: OwnerEntry, now: float) -> bool:
        """Whether an owner has answered no call for too long."""
        return self.unanswered_s(owner, now) >= UNRESPONSIVE_AFTER_S

    def should_fail_fast(self, owner: OwnerEntry, now: float) -> bool:
        """Whether to fail a call at once.

        Only if a probe is unanswered as well, since the one unanswered call may be for
        a slow statement. Probes, not statements, detect that the owner answers again.
        """
        if not self.is_unresponsive(owner, now):
            return False
        return now - self.records[owner.address].probed_at >= PROBE_ANSWER_S

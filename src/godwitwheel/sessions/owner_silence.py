"""Decides whether an owner that has not answered for a while is worth waiting for.

It answers the load that builds up behind an owner that stands still: each caller would
wait for its whole time although nobody serves it.
"""

import math

from ..directory.records import OwnerEntry

# An owner answers within this time even if the statement waits for its turn, unless
# all of its callers' statements do.
SILENCE_S = 0.35
# Time between two statements that find out whether a silent owner is back.
TRIAL_INTERVAL_S = 0.1


class OwnerRecord:
    """Calls of one owner.

    :ivar waiting_since: when the first call after its last answer was sent, or
        ``None`` if all were answered.
    :ivar tried_at: when a call was let through although it is silent.
    """

    __slots__ = ("waiting_since", "tried_at")

    def __init__(self):
        self.waiting_since: float | None = None
        self.tried_at = -math.inf


class OwnerSilence:
    """What a proxy knows of the owners that it calls."""

    __slots__ = ("records",)

    def __init__(self):
        self.records: dict[str, OwnerRecord] = {}

    def sent(self, owner: OwnerEntry, now: float) -> None:
        """Notes a call."""
        record = self.records.setdefault(owner.address, OwnerRecord())
        if record.waiting_since is None:
            record.waiting_since = now

    def answered(self, owner: OwnerEntry, now: float) -> None:
        """Notes an answer to any call."""
        self.records.setdefault(owner.address, OwnerRecord()).waiting_since = None

    def lasted_s(self, owner: OwnerEntry, now: float) -> float:
        """Returns how long an owner has left calls unanswered, in seconds."""
        record = self.records.get(owner.address)
        if record is None or record.waiting_since is None:
            return 0.0
        return now - record.waiting_since

    def is_proven(self, owner: OwnerEntry, now: float) -> bool:
        """Whether an owner has left calls unanswered for too long."""
        return self.lasted_s(owner, now) >= SILENCE_S

    def is_silent(self, owner: OwnerEntry, now: float) -> bool:
        """Whether a call would wait in vain; now and then one is let through."""
        if not self.is_proven(owner, now):
            return False
        record = self.records[owner.address]
        if now - record.tried_at >= TRIAL_INTERVAL_S:
            # The one call that it has not answered may be a slow one.
            record.tried_at = now
            return False
        return True

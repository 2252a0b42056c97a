"""Client accounts of the soak: their keys over time, and their rate limits."""

import math
import random
import time
from collections import deque

from fleet.tables import AccountEntry

# Within this time after its acknowledgement a table is active at every proxy that is
# connected to control.
ACTIVATION_TIME_S = 3.0
WITHDRAWAL_BOUND_S = 5.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0
KEYS_PER_ACCOUNT = 2
# Operations a second, and the burst above them; ``None`` for no limit.
LIMITS: dict[str, tuple[float, float] | None] = {
    "charter": None,
    "school": (40.0, 40.0),
    "tower": (8.0, 8.0),
}


class CallerKey:
    """A key that a caller gives, and the account that it names.

    :ivar usable_from: when every connected proxy knows it, in seconds of the monotonic
        clock; infinite before its table was acknowledged.
    :ivar withdrawn_at: when its withdrawal was acknowledged; infinite before that.
    """

    __slots__ = ("key", "account", "usable_from", "withdrawn_at", "is_listed")

    def __init__(self, key: str, account: str):
        self.key = key
        self.account = account
        self.usable_from = math.inf
        self.withdrawn_at = math.inf
        self.is_listed = True

    def may_run(self, sent_at: float) -> bool:
        """Whether a statement that was sent at a time may run with this key."""
        return sent_at <= self.withdrawn_at + WITHDRAWAL_BOUND_S


# Stands for the key of callers where there are no accounts.
NO_KEY = CallerKey("soak", "")


class AccountBook:
    """All keys so far, and which of them the newest table lists.

    :ivar keys: in order of their creation; empty where there are no accounts.
    """

    __slots__ = ("keys", "rng", "next_number")

    def __init__(self, rng: random.Random, has_accounts: bool):
        self.rng = rng
        self.keys: list[CallerKey] = []
        self.next_number = 1
        if has_accounts:
            for account in LIMITS:
                for _ in range(KEYS_PER_ACCOUNT):
                    self._add(account)

    def rotate(self) -> None:
        """Replaces the oldest listed key of one account by a new one."""
        if not self.keys:
            return
        account = self.rng.choice(list(LIMITS))
        listed = [k for k in self.keys if k.account == account and k.is_listed]
        listed[0].is_listed = False
        self._add(account)

    def entries(self) -> list[AccountEntry] | None:
        """Returns the accounts of the next table; ``None`` where there are none."""
        if not self.keys:
            return None
        entries = []
        for account, limit in LIMITS.items():
            listed = [k.key for k in self.keys if k.account == account and k.is_listed]
            rate_per_s, burst = limit or (None, 0.0)
            entries.append(AccountEntry(account, listed, rate_per_s, burst))
        return entries

    def record_acknowledged(self) -> None:
        """Records that the newest table was acknowledged."""
        now = time.monotonic()
        for key in self.keys:
            if key.is_listed:
                key.usable_from = min(key.usable_from, now + ACTIVATION_TIME_S)
            else:
                key.withdrawn_at = min(key.withdrawn_at, now)

    def choose(self, rng: random.Random) -> CallerKey:
        """Returns a key that callers may expect to work, or any if there is none."""
        if not self.keys:
            return NO_KEY
        now = time.monotonic()
        usable = [k for k in self.keys if k.is_listed and k.usable_from <= now]
        return rng.choice(usable or self.keys)

    def _add(self, account: str) -> None:
        self.keys.append(CallerKey(f"key-{self.next_number}", account))
        self.next_number += 1


class QuotaChecker:
    """Counts the operations of each account that ran, in sliding windows.

    :ivar sent: by account, when the operations that ran lately were sent, by the order
        in which they ran.
    """

    __slots__ = ("sent",)

    def __init__(self):
        self.sent: dict[str, deque[float]] = {account: deque() for account in LIMITS}

    def record_run(self, account: str, sent_at: float, now: float) -> str:
        """Records that an operation ran for the first time.

        :returns: the violation, or an empty string.
        """
        limit = LIMITS.get(account)
        if limit is None:
            return ""
        sent = self.sent[account]
        sent.append(sent_at)
        while sent and sent[0] < now - QUOTA_WINDOW_S:
            sent.popleft()
        rate_per_s, burst = limit
        allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE)
        if len(sent) <= allowed + QUOTA_SLACK:
            return ""
        return f"{account} ran {len(sent)} operations in {QUOTA_WINDOW_S} s"

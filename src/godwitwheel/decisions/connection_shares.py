"""Decides how the accounts that use a target share the connections of one pool.

A connection runs the statements of one account only, so that an account without an idle
connection costs another account one when the pool is at its limit. Opening occupies a
slot of the target, so the connection that is closed should be one that is unlikely to
be used again soon.
"""

import math
from collections.abc import Iterable, Sequence

# Connections that are kept for the reserved account while other accounts use the pool.
RESERVED_CONNECTIONS = 1
# Most connections that are being opened at once while others are in use; each occupies
# one of the target's slots.
MAX_OPENING = 2
# Time constant of the decaying counts of an account's use of its connections, in
# seconds. A shorter one forgets how accounts that ask every few seconds differ.
USE_DECAY_S = 10.0
# How long the use of an account without connections is remembered, in seconds.
FORGET_AFTER_S = 60.0
# An account that has half of the limit in use takes no other if fewer than one in this
# many connections would be left: sessions that are idle in transactions release none
# when other accounts begin to wait.
FREE_DIVISOR = 4


class SharedConnection:
    """A connection of a pool.

    :ivar account: the only account whose statements it runs.
    :ivar last_used_at: when it was last released, in seconds of the clock.
    """

    __slots__ = ("account", "last_used_at")

    def __init__(self, account: str, last_used_at: float):
        self.account = account
        self.last_used_at = last_used_at


class ConnectionRequest:
    """A request for a connection.

    :ivar priority: lower is served first.
    :ivar number: orders requests by arrival.
    """

    __slots__ = ("account", "priority", "number")

    def __init__(self, account: str, priority: int, number: int):
        self.account = account
        self.priority = priority
        self.number = number


class DecayingCount:
    """Counts events, each of which weighs less the longer ago it was.

    :ivar count: the count at ``updated_at``.
    :ivar updated_at: time of the last event, in seconds of the clock.
    """

    __slots__ = ("count", "updated_at")

    def __init__(self, now: float):
        self.count = 0.0
        self.updated_at = now

    def add(self, now: float) -> None:
        """Counts an event."""
        self.count = self.at(now) + 1.0
        self.updated_at = now

    def at(self, now: float) -> float:
        """Returns the count at a time."""
        return self.count * math.exp((self.updated_at - now) / USE_DECAY_S)


class AccountUse:
    """An account's connections in a pool.

    :ivar open_count: connections that are open or being opened.
    :ivar in_use: connections that a statement or transaction holds, or that are being
        opened for one.
    :ivar counts: how often the account recently took a connection while it had none,
        one, two etc. in use: the use of its first, second, third connection.
    """

    __slots__ = ("open_count", "in_use", "counts")

    def __init__(self):
        self.open_count = 0
        self.in_use = 0
        self.counts: list[DecayingCount] = []

    def take(self, now: float) -> None:
        """Counts another connection as in use."""
        if self.in_use == len(self.counts):
            self.counts.append(DecayingCount(now))
        self.counts[self.in_use].add(now)
        self.in_use += 1


class ConnectionShares:
    """The connections of a pool by account.

    :ivar reserved_account: account that can always have a connection.
    :ivar uses: accounts that have connections, or had some recently.
    :ivar in_use: connections that are in use or being opened, of all accounts.
    """

    __slots__ = ("reserved_account", "uses", "in_use")

    def __init__(self, reserved_account: str):
        self.reserved_account = reserved_account
        self.uses: dict[str, AccountUse] = {}
        self.in_use = 0

    def record_opening(self, account: str, now: float) -> None:
        """Records that a connection is being opened for a request."""
        if account not in self.uses:
            self._forget_unused(now)
            self.uses[account] = AccountUse()
        self.uses[account].open_count += 1
        self.record_taken(account, now)

    def record_taken(self, account: str, now: float) -> None:
        """Records that a request took a connection."""
        self.uses[account].take(now)
        self.in_use += 1

    def record_released(self, account: str) -> None:
        """Records that a connection is no longer in use."""
        self.uses[account].in_use -= 1
        self.in_use -= 1

    def record_closed(self, account: str) -> None:
        """Records that a connection that was not in use is closed."""
        self.uses[account].open_count -= 1

    def open_count(self, account: str) -> int:
        """Returns how many connections of an account are open or being opened."""
        use = self.uses.get(account)
        return use.open_count if use is not None else 0

    def in_use_of(self, account: str) -> int:
        """Returns how many connections an account has in use."""
        use = self.uses.get(account)
        return use.in_use if use is not None else 0

    def has_idle(self, account: str) -> bool:
        """Whether an account has an open connection that is not in use."""
        return self.open_count(account) > self.in_use_of(account)

    def may_take(self, account: str, waiting: Iterable[str], limit: int) -> bool:
        """Whether an account may have another connection in use.

        :param waiting: accounts with waiting requests.
        :param limit: most connections that the pool may hold.
        """
        if self.in_use_of(account) < half_of(limit):
            return True
        if any(other != account for other in waiting):
            return False
        return self.in_use < limit - limit // FREE_DIVISOR

    def may_open(self, account: str, opening: int) -> bool:
        """Whether a connection may be opened besides those that are being opened.

        :param opening: connections that are being opened.
        """
        if account == self.reserved_account and self.open_count(account) == 0:
            return True
        return opening < MAX_OPENING or self.in_use == opening

    def surplus(self, account: str, open_count: int, limit: int) -> int:
        """Returns how many connections exceed what the pool may hold for an account.

        It is negative if a connection can be opened without closing another.

        :param open_count: connections of the pool that are open or being opened.
        :param limit: most connections that the pool may hold.
        """
        missing = 0
        if account != self.reserved_account:
            reserved = self._reserved(limit)
            missing = max(reserved - self.open_count(self.reserved_account), 0)
        return open_count + missing - limit

    def count_evictable(
        self, idle: Sequence[SharedConnection], account: str, limit: int
    ) -> int:
        """Returns how many idle connections may be closed in favour of an account."""
        count = sum(
            each.account not in (account, self.reserved_account) for each in idle
        )
        if account == self.reserved_account:
            return count
        spare = self.open_count(self.reserved_account) - self._reserved(limit)
        reserved_idle = sum(each.account == self.reserved_account for each in idle)
        return count + max(min(spare, reserved_idle), 0)

    def choose_evicted(
        self,
        idle: Sequence[SharedConnection],
        account: str,
        limit: int,
        now: float,
    ) -> SharedConnection | None:
        """Returns the idle connection to close in favour of an account, if any.

        The fair share of an account is the number of connections that it uses, at most
        half of the limit. Of the account that uses the last of its connections least,
        and among equals of all of them, the least recently used is closed.

        :param limit: most connections that the pool may hold.
        """
        evictable = [
            each
            for each in idle
            if each.account != account and not self._is_reserved(each.account, limit)
        ]
        if not evictable:
            return None
        use = {
            account: self._use_of_last(account, limit, now)
            for account in {each.account for each in evictable}
        }
        return min(evictable, key=lambda c: (use[c.account], c.last_used_at))

    def order(self, requests: Iterable[ConnectionRequest]) -> list[ConnectionRequest]:
        """Returns the first request of each account, the one to serve next first.

        Requests of one account differ only in their order: if its first can't be
        served, neither can the others.
        """
        first: dict[str, ConnectionRequest] = {}
        for request in requests:
            known = first.get(request.account)
            if known is None or _place(request) < _place(known):
                first[request.account] = request
        return sorted(first.values(), key=self._rank)

    def _rank(self, request: ConnectionRequest) -> tuple[int, int, int]:
        return (request.priority, self.in_use_of(request.account), request.number)

    def _reserved(self, limit: int) -> int:
        # A pool of one connection has to serve all accounts with it.
        return min(RESERVED_CONNECTIONS, limit - 1)

    def _is_reserved(self, account: str, limit: int) -> bool:
        """Whether an account's idle connections are the ones kept for it."""
        if account != self.reserved_account:
            return False
        return self.open_count(account) <= self._reserved(limit)

    def _use_of_last(self, account: str, limit: int, now: float) -> float:
        """Returns how much an account uses the last of its connections."""
        use = self.uses[account]
        if use.open_count > half_of(limit):
            return 0.0
        return use.counts[use.open_count - 1].at(now)

    def _forget_unused(self, now: float) -> None:
        self.uses = {
            account: use
            for account, use in self.uses.items()
            if use.open_count or now - use.counts[0].updated_at < FORGET_AFTER_S
        }


def half_of(limit: int) -> int:
    """Returns half of a pool's limit, at least 1."""
    return max(limit // 2, 1)


def _place(request: ConnectionRequest) -> tuple[int, int]:
    return (request.priority, request.number)

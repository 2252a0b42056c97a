"""A pool of connections to one target.

A connection is in use by one statement or transaction at a time, and runs the
statements of one client account only. While all requests are of ``NO_ACCOUNT``, a
connection that is released wakes one waiting request, and whichever asks first gets it.
From the first request of another account on, connections are granted in the order of
:mod:`godwitwheel.decisions.connection_shares`.
"""

from ...decisions.connection_shares import ConnectionShares, SharedConnection
from ...directory.records import NO_ACCOUNT, TargetEntry
from ...internal.clock import Clock
from ...internal.loop import Event, wait_for
from ..errors import PoolExhausted, TooManyConnections
from ..statements import TransactionState
from .carrying import ConnectionState
from .connection import Connector, DatabaseConnection
from .counts import PoolCounts
from .waiter import Waiter

CONNECT_TIMEOUT_S = 0.25
# How long the pool opens no connection after the target refused one because it had too
# many, in seconds.
FULL_PAUSE_S = 0.5


class PooledConnection(SharedConnection):
    """A pooled connection and the session state set up on it.

    :ivar connection_state: session values and prepared statements that are set up on
        it.
    :ivar state: its transaction state after the last answer.
    :ivar is_broken: whether it must be closed rather than reused.
    """

    __slots__ = ("connection", "connection_state", "pool", "state", "is_broken")

    def __init__(
        self, connection: DatabaseConnection, account: str, pool: "TargetPool"
    ):
        super().__init__(account, pool.clock.now())
        self.connection = connection
        self.connection_state = ConnectionState()
        self.pool = pool
        self.state = TransactionState.idle
        self.is_broken = False


class TargetPool:
    """The connections of this process to one target.

    :ivar limit: most connections that it may hold.
    :ivar counts: counters of what this and other pools have done.
    :ivar shares: the connections by account.
    :ivar serves_accounts: whether an account other than ``NO_ACCOUNT`` has used it.
    :ivar idle: open connections not in use, the most recently used last.
    :ivar open_count: connections that are open or being opened.
    :ivar opening: connections that are being opened.
    :ivar waiters: requests that wait.
    :ivar next_number: number of the last request; orders requests by arrival.
    :ivar is_granting: whether connections are being granted, to end recursion.
    :ivar full_until: no connection is opened before that time, in seconds of the clock.
    """

    __slots__ = (
        "target",
        "connector",
        "clock",
        "limit",
        "counts",
        "shares",
        "serves_accounts",
        "idle",
        "open_count",
        "opening",
        "waiters",
        "next_number",
        "is_granting",
        "full_until",
        "is_closed",
    )

    def __init__(
        self,
        target: TargetEntry,
        connector: Connector,
        clock: Clock,
        limit: int,
        counts: PoolCounts,
    ):
        self.target = target
        self.connector = connector
        self.clock = clock
        self.limit = limit
        self.counts = counts
        self.shares = ConnectionShares(NO_ACCOUNT)
        self.serves_accounts = False
        self.idle: list[PooledConnection] = []
        self.open_count = 0
        self.opening = 0
        self.waiters: list[Waiter] = []
        self.next_number = 0
        self.is_granting = False
        self.full_until = 0.0
        self.is_closed = False

    def __enter__(self) -> "TargetPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def acquire(
        self, account: str, values: dict[str, str], priority: int, timeout_s: float
    ) -> PooledConnection:
        """Acquires a connection of an account, if possible with ``values`` set on it.

        :raises PoolExhausted: if none becomes free in time.
        :raises TooManyConnections: if the target refuses the only one.
        :raises ConnectFailed: if a new one can't be opened.
        """
        deadline = self.clock.now() + timeout_s
        self.serves_accounts = self.serves_accounts or account != NO_ACCOUNT
        waiter = Waiter(account, values, priority, self._new_number())
        while True:
            self._request(waiter)
            if not waiter.has_grant():
                self._wait(waiter, deadline)
            acquired = self._use_grant(waiter, deadline)
            if acquired is not None:
                return acquired

    def release(self, pooled: PooledConnection) -> None:
        """Returns a connection to the pool, or closes it if broken or surplus."""
        self.shares.record_released(pooled.account)
        pooled.last_used_at = self.clock.now()
        surplus = self.shares.surplus(pooled.account, self.open_count, self.limit)
        if pooled.is_broken or self.is_closed or surplus > 0:
            self._drop(pooled)
        else:
            self.idle.append(pooled)
        self.wake()

    def close(self) -> None:
        """Closes the idle connections now, and the others when they are released."""
        self.is_closed = True
        self.drop_idle()
        while self.waiters:
            self.wake()

    def drop_idle(self) -> None:
        """Closes the idle connections, which may all be broken."""
        while self.idle:
            self._drop(self.idle.pop())

    def has_idle(self, account: str) -> bool:
        """Whether an account has an idle connection."""
        return self.shares.has_idle(account)

    def is_refused(self, now: float) -> bool:
        """Whether the target takes no connection for probes because it has too many."""
        return self.shares.open_count(NO_ACCOUNT) == 0 and now < self.full_until

    def wake(self) -> None:
        """Lets waiting requests continue after a connection or place became free."""
        if self.serves_accounts and not self.is_closed:
            self._grant_waiting()
            return
        ordered = self.shares.order(self.waiters)
        if ordered:
            self._send(ordered[0])

    def _request(self, waiter: Waiter) -> None:
        """Grants a request what it needs if possible, and queues it otherwise."""
        if not self.serves_accounts and self._grant(waiter):
            return
        if not self.serves_accounts:
            # A request that has to ask again goes behind the others.
            waiter.number = self._new_number()
        waiter.event = Event()
        self.waiters.append(waiter)
        if self.serves_accounts:
            self.wake()

    def _new_number(self) -> int:
        self.next_number += 1
        return self.next_number

    def _send(self, waiter: Waiter) -> None:
        self.waiters.remove(waiter)
        waiter.event.send()

    def _grant_waiting(self) -> None:
        """Grants connections until no waiting request can be granted one."""
        if self.is_granting:
            return
        self.is_granting = True
        try:
            while self._grant_next():
                pass
        finally:
            self.is_granting = False

    def _grant_next(self) -> bool:
        accounts = {waiter.account for waiter in self.waiters}
        for waiter in self.shares.order(self.waiters):
            may_take = self.shares.may_take(waiter.account, accounts, self.limit)
            if may_take and self._grant(waiter):
                self._send(waiter)
                return True
        return False

    def _grant(self, waiter: Waiter) -> bool:
        """Grants a request an idle connection or a place to open one, if possible."""
        waiter.pooled = self._take_idle(waiter.account, waiter.values)
        if waiter.pooled is not None:
            return True
        if not self._may_open(waiter.account, self.clock.now()):
            return False
        self.open_count += 1
        self.opening += 1
        self.shares.record_opening(waiter.account, self.clock.now())
        waiter.may_open = True
        return True

    def _use_grant(self, waiter: Waiter, deadline: float) -> PooledConnection | None:
        """Returns the granted connection, or opens one in the granted place.

        :returns: ``None`` if the request has to ask again.
        """
        if waiter.may_open:
            waiter.may_open = False
            return self._open(waiter.account, deadline)
        pooled = waiter.pooled
        waiter.pooled = None
        return pooled

    def _take_idle(
        self, account: str, values: dict[str, str]
    ) -> PooledConnection | None:
        while (index := self._best_idle_index(account, values)) is not None:
            pooled = self.idle.pop(index)
            if pooled.connection.is_usable():
                self.shares.record_taken(account, self.clock.now())
                return pooled
            self._drop(pooled)
        return None

    def _best_idle_index(self, account: str, values: dict[str, str]) -> int | None:
        # Prefers the most recently used; the others may then be closed for being idle.
        own = [
            index
            for index in range(len(self.idle) - 1, -1, -1)
            if self.idle[index].account == account
        ]
        for index in own:
            if self.idle[index].connection_state.values == values:
                return index
        for index in own:
            if not self.idle[index].connection_state.needs_discard(values):
                return index
        return own[0] if own else None

    def _may_open(self, account: str, now: float) -> bool:
        if now < self.full_until:
            return False
        if not self.serves_accounts:
            return self.open_count < self.limit
        return self.shares.may_open(account, self.opening) and self._make_room(
            account, now
        )

    def _make_room(self, account: str, now: float) -> bool:
        """Evicts what has to be closed before an account may open a connection.

        :returns: whether it may open one; nothing is evicted otherwise.
        """
        needed = self.shares.surplus(account, self.open_count, self.limit) + 1
        if needed > self.shares.count_evictable(self.idle, account, self.limit):
            return False
        for _ in range(needed):
            self._evict(account, now)
        return True

    def _evict(self, account: str, now: float) -> None:
        """Closes an idle connection in favour of an account, if there is one."""
        evicted = self.shares.choose_evicted(self.idle, account, self.limit, now)
        if evicted is not None:
            self.idle.remove(evicted)
            self._drop(evicted)
            self.counts.evicted += 1

    def _open(self, account: str, deadline: float) -> PooledConnection | None:
        """Opens a connection in the name of an account, in a place granted to it.

        :returns: ``None`` if the target refused it because it has too many, but one
            of this pool's connections will be released.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, max(deadline - self.clock.now(), 0.02))
        try:
            connection = self.connector.connect(self.target, account, timeout_s)
        except TooManyConnections:
            self.full_until = self.clock.now() + FULL_PAUSE_S
            self._return_place(account)
            if self.serves_accounts:
                # Leaves a connection to the account once the pause is over.
                self._evict(account, self.clock.now())
            if self.open_count > 0:
                return None
            raise
        except BaseException:
            self._return_place(account)
            raise
        self.opening -= 1
        self.counts.opened += 1
        if self.serves_accounts:
            self.wake()
        return PooledConnection(connection, account, self)

    def _wait(self, waiter: Waiter, deadline: float) -> None:
        """Waits until a queued request is granted something or should ask again."""
        try:
            self._wait_for_event(waiter, deadline)
        except BaseException:
            self._withdraw(waiter)
            raise

    def _wait_for_event(self, waiter: Waiter, deadline: float) -> None:
        now = self.clock.now()
        if now >= deadline or self.is_closed:
            raise PoolExhausted(f"{self.target.target_id}: no free connection in time")
        if self.open_count == 0:
            raise TooManyConnections(
                f"{self.target.target_id}: refused another connection", refused=True
            )
        if not waiter.has_waited:
            waiter.has_waited = True
            self.counts.waits += 1
        # Nothing else wakes a request that can be served once the pause is over.
        is_paused = self.serves_accounts and now < self.full_until < deadline
        until = self.full_until if is_paused else deadline
        if wait_for(waiter.event, until - now):
            return
        if not is_paused:
            raise PoolExhausted(f"{self.target.target_id}: no free connection in time")
        self.waiters.remove(waiter)

    def _withdraw(self, waiter: Waiter) -> None:
        """Ends a request, and gives back what it was granted."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            if self.serves_accounts:
                self.wake()
        elif waiter.pooled is not None:
            self.release(waiter.pooled)
        elif waiter.may_open:
            self._return_place(waiter.account)
        else:
            # It was woken to ask again; another may use what became free.
            self.wake()

    def _return_place(self, account: str) -> None:
        """Ends the opening of a connection that was not opened."""
        self.opening -= 1
        self.shares.record_released(account)
        self._count_closed(account)

    def _drop(self, pooled: PooledConnection) -> None:
        pooled.connection.close()
        self._count_closed(pooled.account)

    def _count_closed(self, account: str) -> None:
        self.open_count -= 1
        self.shares.record_closed(account)
        self.wake()

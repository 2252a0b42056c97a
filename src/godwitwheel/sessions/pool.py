"""Connections to one target, each lent to one statement or transaction at a time."""

from collections import deque

from ..directory.records import TargetEntry
from ..internal.clock import Clock
from ..internal.loop import Event, wait_for
from .carrying import CarriedState
from .connection import Connector, DatabaseConnection
from .errors import ConnectFailed, PoolExhausted, TooManyConnections
from .statements import TransactionState

CONNECT_TIMEOUT_S = 0.25
# After a refusal for lack of room the pool opens no further connection for so long.
FULL_PAUSE_S = 0.5


class PooledConnection:
    """A connection and what it carries.

    :ivar state: where its last answer left it.
    :ivar is_broken: it must not be used again.
    """

    __slots__ = ("connection", "carried", "pool", "state", "is_broken")

    def __init__(self, connection: DatabaseConnection, pool: "TargetPool"):
        self.connection = connection
        self.carried = CarriedState()
        self.pool = pool
        self.state = TransactionState.idle
        self.is_broken = False


class Waiter:
    """A caller that waits for a connection.

    :ivar priority: 0 is served first.
    """

    __slots__ = ("priority", "event")

    def __init__(self, priority: int):
        self.priority = priority
        self.event = Event()


class TargetPool:
    """Owns the connections of this proxy to one target.

    :ivar limit: most connections that it may hold.
    :ivar open_count: connections that are open or being opened.
    :ivar lent: connections in use.
    :ivar full_until: no connection is opened before that time.
    """

    __slots__ = (
        "target",
        "connector",
        "clock",
        "limit",
        "idle",
        "open_count",
        "lent",
        "waiters",
        "full_until",
        "is_closed",
    )

    def __init__(
        self, target: TargetEntry, connector: Connector, clock: Clock, limit: int
    ):
        self.target = target
        self.connector = connector
        self.clock = clock
        self.limit = limit
        self.idle: list[PooledConnection] = []
        self.open_count = 0
        self.lent = 0
        self.waiters: deque[Waiter] = deque()
        self.full_until = 0.0
        self.is_closed = False

    def __enter__(self) -> "TargetPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def acquire(
        self, values: dict[str, str], priority: int, timeout_s: float
    ) -> PooledConnection:
        """Lends a connection, preferably one that carries ``values`` already.

        :raises PoolExhausted: if none becomes free in time.
        :raises ConnectFailed: if a new one can't be opened.
        """
        deadline = self.clock.now() + timeout_s
        while True:
            pooled = self._take_idle(values)
            if pooled is not None:
                return pooled
            if self._may_open(self.clock.now()):
                opened = self._open(deadline)
                if opened is not None:
                    return opened
            self._wait(priority, deadline)

    def release(self, pooled: PooledConnection) -> None:
        """Takes a connection back; one that is broken is closed."""
        self.lent -= 1
        is_surplus = self.open_count > self.limit
        if pooled.is_broken or self.is_closed or is_surplus:
            self._drop(pooled)
        else:
            self.idle.append(pooled)
        self._wake_one()

    def close(self) -> None:
        """Closes what is idle now, and the rest as it comes back."""
        self.is_closed = True
        self.drop_idle()
        while self.waiters:
            self._wake_one()

    def drop_idle(self) -> None:
        """Closes the idle connections, which may all be dead."""
        while self.idle:
            self._drop(self.idle.pop())

    def _take_idle(self, values: dict[str, str]) -> PooledConnection | None:
        while self.idle:
            index = self._best_idle(values)
            pooled = self.idle.pop(index)
            if pooled.connection.is_usable():
                self.lent += 1
                return pooled
            self._drop(pooled)
        return None

    def _best_idle(self, values: dict[str, str]) -> int:
        # The latest come first: the others may then be closed for lack of use.
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].carried.values == values:
                return index
        for index in range(len(self.idle) - 1, -1, -1):
            if not self.idle[index].carried.needs_discard(values):
                return index
        return len(self.idle) - 1

    def _may_open(self, now: float) -> bool:
        return self.open_count < self.limit and now >= self.full_until

    def _open(self, deadline: float) -> PooledConnection | None:
        """Opens a connection.

        :returns: ``None`` if the target has no room, but a connection of this pool
            will come back.
        """
        self.open_count += 1
        timeout_s = min(CONNECT_TIMEOUT_S, max(deadline - self.clock.now(), 0.02))
        try:
            connection = self.connector.connect(self.target, timeout_s)
        except TooManyConnections:
            self.full_until = self.clock.now() + FULL_PAUSE_S
            self._closed_one()
            if self.open_count > 0:
                return None
            raise
        except BaseException:
            self._closed_one()
            raise
        self.lent += 1
        return PooledConnection(connection, self)

    def _wait(self, priority: int, deadline: float) -> None:
        remaining_s = deadline - self.clock.now()
        if remaining_s <= 0 or self.is_closed:
            raise PoolExhausted(f"{self.target.target_id}: no free connection in time")
        if self.open_count == 0:
            raise ConnectFailed(f"{self.target.target_id}: has no room", refused=True)
        waiter = Waiter(priority)
        self.waiters.append(waiter)
        if not wait_for(waiter.event, remaining_s):
            if waiter in self.waiters:
                self.waiters.remove(waiter)
            raise PoolExhausted(f"{self.target.target_id}: no free connection in time")

    def _wake_one(self) -> None:
        if not self.waiters:
            return
        first = min(self.waiters, key=lambda waiter: waiter.priority)
        self.waiters.remove(first)
        first.event.send()

    def _drop(self, pooled: PooledConnection) -> None:
        pooled.connection.close()
        self._closed_one()

    def _closed_one(self) -> None:
        self.open_count -= 1
        self._wake_one()

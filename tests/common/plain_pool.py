"""The pool of connections to one target as it was before there were client accounts.

It is the reference for a pool that is used without accounts.
"""

from collections import deque

from godwitwheel.directory.records import NO_ACCOUNT, TargetEntry
from godwitwheel.internal.clock import Clock
from godwitwheel.internal.loop import Event, wait_for
from godwitwheel.sessions.connections.carrying import ConnectionState
from godwitwheel.sessions.connections.connection import Connector, DatabaseConnection
from godwitwheel.sessions.errors import PoolExhausted, TooManyConnections
from godwitwheel.sessions.statements import TransactionState

CONNECT_TIMEOUT_S = 0.25
# How long the pool opens no connection after the target refused one because it had too
# many, in seconds.
FULL_PAUSE_S = 0.5


class PooledConnection:
    """A pooled connection and the session state set up on it.

    :ivar connection_state: session values and prepared statements that are set up on
        it.
    :ivar state: its transaction state after the last answer.
    :ivar is_broken: whether it must be closed rather than reused.
    """

    __slots__ = ("connection", "connection_state", "pool", "state", "is_broken")

    def __init__(self, connection: DatabaseConnection, pool: "PlainPool"):
        self.connection = connection
        self.connection_state = ConnectionState()
        self.pool = pool
        self.state = TransactionState.idle
        self.is_broken = False


class Waiter:
    """A statement or transaction that waits for a connection.

    :ivar priority: lower is served first.
    """

    __slots__ = ("priority", "event")

    def __init__(self, priority: int):
        self.priority = priority
        self.event = Event()


class PlainPool:
    """The connections of this process to one target.

    :ivar limit: most connections that it may hold.
    :ivar idle: open connections not in use, the most recently used last.
    :ivar open_count: connections that are open or being opened.
    :ivar in_use: connections that a statement or transaction holds.
    :ivar full_until: no connection is opened before that time, in seconds of the clock.
    """

    __slots__ = (
        "target",
        "connector",
        "clock",
        "limit",
        "idle",
        "open_count",
        "in_use",
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
        self.in_use = 0
        self.waiters: deque[Waiter] = deque()
        self.full_until = 0.0
        self.is_closed = False

    def __enter__(self) -> "PlainPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def acquire(
        self, account: str, values: dict[str, str], priority: int, timeout_s: float
    ) -> PooledConnection:
        """Acquires a connection, preferably one with ``values`` already set.

        :raises PoolExhausted: if none becomes free in time.
        :raises TooManyConnections: if the target refuses the only one.
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
        """Returns a connection to the pool, or closes it if broken or surplus."""
        self.in_use -= 1
        is_surplus = self.open_count > self.limit
        if pooled.is_broken or self.is_closed or is_surplus:
            self._drop(pooled)
        else:
            self.idle.append(pooled)
        self._wake_one()

    def close(self) -> None:
        """Closes the idle connections now, and the others when they are released."""
        self.is_closed = True
        self.drop_idle()
        while self.waiters:
            self._wake_one()

    def drop_idle(self) -> None:
        """Closes the idle connections, which may all be broken."""
        while self.idle:
            self._drop(self.idle.pop())

    def is_refused(self, now: float) -> bool:
        """Whether the target takes no connection because it has too many."""
        return self.open_count == 0 and now < self.full_until

    def _take_idle(self, values: dict[str, str]) -> PooledConnection | None:
        while self.idle:
            index = self._best_idle_index(values)
            pooled = self.idle.pop(index)
            if pooled.connection.is_usable():
                self.in_use += 1
                return pooled
            self._drop(pooled)
        return None

    def _best_idle_index(self, values: dict[str, str]) -> int:
        # Prefers the most recently used; the others may then be closed for being idle.
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].connection_state.values == values:
                return index
        for index in range(len(self.idle) - 1, -1, -1):
            if not self.idle[index].connection_state.needs_discard(values):
                return index
        return len(self.idle) - 1

    def _may_open(self, now: float) -> bool:
        return self.open_count < self.limit and now >= self.full_until

    def _open(self, deadline: float) -> PooledConnection | None:
        """Opens a connection.

        :returns: ``None`` if the target refused it because it has too many, but one
            of this pool's connections will be released.
        """
        self.open_count += 1
        timeout_s = min(CONNECT_TIMEOUT_S, max(deadline - self.clock.now(), 0.02))
        try:
            connection = self.connector.connect(self.target, NO_ACCOUNT, timeout_s)
        except TooManyConnections:
            self.full_until = self.clock.now() + FULL_PAUSE_S
            self._count_closed()
            if self.open_count > 0:
                return None
            raise
        except BaseException:
            self._count_closed()
            raise
        self.in_use += 1
        return PooledConnection(connection, self)

    def _wait(self, priority: int, deadline: float) -> None:
        remaining_s = deadline - self.clock.now()
        if remaining_s <= 0 or self.is_closed:
            raise PoolExhausted(f"{self.target.target_id}: no free connection in time")
        if self.open_count == 0:
            raise TooManyConnections(
                f"{self.target.target_id}: refused another connection", refused=True
            )
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
        self._count_closed()

    def _count_closed(self) -> None:
        self.open_count -= 1
        self._wake_one()

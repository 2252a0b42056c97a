"""The connections of one proxy to one target."""

import contextlib
import math
from collections.abc import Callable, Iterator

from ..decisions.admission import TargetGate, Ticket, TicketState
from ..internal.clock import Clock
from ..internal.loop import Event, sleep, spawn, wait_for
from ..wire.service import Access
from .base import TargetConnection
from .errors import NotRun, Overloaded, TargetError, Unreachable

NO_QUOTA_RETRY_S = 0.2
OPEN_TIMEOUT_S = 1.0
DOUBT_LINGER_S = 1.0
IDLE_LINGER_S = 0.2


class ConnectionPool:
    """Lends connections, each to one piece of work from begin to end.

    Never more than ``gate.quota`` are open or being opened, other than those in
    use when the quota shrank.

    :ivar connect: makes a connection that is not open yet.
    :ivar idle: open connections that nobody uses, the latest used last.
    :ivar lent: connections in use or being opened.
    :ivar lingering: closed connections that the target may still count.
    :ivar linger_s: how long a connection closed in doubt is counted, in seconds;
        the target notices its end only after the statement that it runs.
    :ivar answered_at: tells when the last probe that the target answered was sent,
        in seconds of the clock.
    :ivar peak_demand: highest demand since :meth:`take_peak_demand`.
    """

    __slots__ = (
        "target_id",
        "connect",
        "clock",
        "gate",
        "idle",
        "lent",
        "lingering",
        "linger_s",
        "answered_at",
        "events",
        "peak_demand",
        "is_closed",
    )

    def __init__(
        self,
        target_id: str,
        connect: Callable[[], TargetConnection],
        clock: Clock,
        linger_s: float = DOUBT_LINGER_S,
        answered_at: Callable[[], float] = lambda: math.inf,
    ):
        self.target_id = target_id
        self.connect = connect
        self.clock = clock
        self.gate = TargetGate()
        self.idle: list[TargetConnection] = []
        self.lent = 0
        self.lingering = 0
        self.linger_s = linger_s
        self.answered_at = answered_at
        self.events: dict[Ticket, Event] = {}
        self.peak_demand = 0
        self.is_closed = False

    def held(self) -> int:
        """Returns the connections that the target may count as open."""
        return self.lent + len(self.idle) + self.lingering

    def take_peak_demand(self) -> int:
        """Returns the highest demand since the last call."""
        peak = max(self.peak_demand, self.gate.demand())
        self.peak_demand = self.gate.demand()
        return peak

    def set_quota(self, quota: int) -> None:
        """Takes a new quota, and closes idle connections above it at once."""
        self.gate.set_quota(quota)
        self._trim()
        self._wake()

    def close(self) -> None:
        """Closes idle connections now and the others when they come back."""
        self.is_closed = True
        self.set_quota(0)

    @contextlib.contextmanager
    def connection(
        self, service: str, access: Access, deadline: float
    ) -> Iterator[TargetConnection]:
        """Lends a connection for one statement or one whole transaction.

        :param deadline: when the caller stops waiting, in seconds of the clock.
        :raises Overloaded: if none could be lent in time; nothing was run.
        :raises Unreachable: if none could be opened; nothing was run.
        """
        ticket = Ticket(service, access, deadline)
        try:
            self._enter(ticket)
            with self._lend(deadline) as connection:
                yield connection
        finally:
            self._leave(ticket)

    @contextlib.contextmanager
    def _lend(self, deadline: float) -> Iterator[TargetConnection]:
        connection = self._take_idle()
        if connection is None and self.held() >= self.gate.quota:
            # The quota shrank since the work was admitted.
            raise Overloaded(f"{self.target_id}: quota shrank", NO_QUOTA_RETRY_S)
        self.lent += 1
        try:
            if connection is None:
                connection = self._open(deadline)
            yield connection
        finally:
            self.lent -= 1
            if connection is not None:
                self._give_back(connection)

    def _enter(self, ticket: Ticket) -> None:
        displaced = self.gate.offer(ticket, self.clock.now())
        self.peak_demand = max(self.peak_demand, self.gate.demand())
        self._notify(displaced)
        if ticket.state is TicketState.queued:
            self._wait(ticket)
        if ticket.state is TicketState.admitted:
            return
        reason = ticket.refusal.reason.name
        raise Overloaded(f"{self.target_id}: {reason}", self.gate.retry_after_s())

    def _wait(self, ticket: Ticket) -> None:
        event = self.events[ticket] = Event()
        try:
            wait_for(event, ticket.give_up_at - self.clock.now())
        finally:
            del self.events[ticket]
            self.gate.abandon(ticket)

    def _leave(self, ticket: Ticket) -> None:
        self.gate.leave(ticket, self.clock.now())
        self._trim()
        self._wake()

    def _take_idle(self) -> TargetConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    def _open(self, deadline: float) -> TargetConnection:
        connection = self.connect()
        try:
            connection.open(min(deadline - self.clock.now(), OPEN_TIMEOUT_S))
        except NotRun as error:
            connection.close()
            raise Unreachable(f"{self.target_id}: {error}") from error
        except TargetError as error:
            # A session alone runs nothing, but the target may count it: a frozen
            # one finds all that were tried meanwhile when it goes on.
            self._close(connection, self.linger_s)
            raise Unreachable(f"{self.target_id}: {error}") from error
        except BaseException:
            self._close(connection, self.linger_s)
            raise
        return connection

    def _give_back(self, connection: TargetConnection) -> None:
        if connection.is_reusable() and not self.is_closed:
            self.idle.append(connection)
            return
        self._close(connection, self.linger_s)

    def _close(self, connection: TargetConnection, linger_s: float) -> None:
        connection.close()
        if not self.is_closed:
            self._count_lingering(1)
            spawn(self._stop_lingering, linger_s, self.clock.now())

    def _stop_lingering(self, linger_s: float, closed_at: float) -> None:
        """Frees a closed connection's place once the target can have noticed."""
        sleep(linger_s)
        while self.answered_at() < closed_at and not self.is_closed:
            sleep(linger_s)
        self._count_lingering(-1)
        self._wake()

    def _count_lingering(self, change: int) -> None:
        self.lingering += change
        self.gate.unusable = self.lingering

    def _trim(self) -> None:
        while self.idle and self.lent + len(self.idle) > self.gate.quota:
            self._close(self.idle.pop(0), min(self.linger_s, IDLE_LINGER_S))

    def _wake(self) -> None:
        self._notify(self.gate.admit_waiting(self.clock.now()))

    def _notify(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = self.events.get(ticket)
            if event is not None and not event.ready():
                event.send()

"""The connections of one proxy to one target."""

import contextlib
import math
from collections.abc import Callable, Iterator

from ..decisions.admission import AdmissionController, Ticket, TicketState
from ..internal.clock import Clock
from ..internal.loop import Event, sleep, spawn, wait_for
from ..wire.service import Access
from .base import TargetConnection
from .errors import NotRun, Overloaded, TargetError, Unreachable

NO_QUOTA_RETRY_AFTER_S = 0.2
OPEN_TIMEOUT_S = 1.0
UNCERTAIN_LINGER_S = 1.0
IDLE_LINGER_S = 0.2


class ConnectionPool:
    """Pools connections; each serves one statement or transaction at a time.

    At most ``admission.quota`` connections are open or being opened, except that those
    in use when the quota shrinks stay open until they are released.

    :ivar connect: creates a connection that is not open yet.
    :ivar admission: admission control, which limits and queues the work at the target.
    :ivar idle: open connections not in use, the most recently used last.
    :ivar in_use: connections in use or being opened.
    :ivar is_frozen: whether no connection may be opened, not even in place of a closed
        one: control may have assigned that one to another proxy.
    :ivar lingering: closed connections that the target may still count as open.
    :ivar linger_s: how long a connection closed in an uncertain state stays counted,
        in seconds; the target detects the close only after its current statement.
    :ivar answered_at: returns when the last answered probe of the target was sent, in
        seconds of the clock.
    :ivar events: wake the tasks of queued tickets.
    :ivar peak_demand: highest demand since the last :meth:`take_peak_demand`.
    """

    __slots__ = (
        "target_id",
        "connect",
        "clock",
        "admission",
        "idle",
        "in_use",
        "is_frozen",
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
        linger_s: float = UNCERTAIN_LINGER_S,
        answered_at: Callable[[], float] = lambda: math.inf,
    ):
        self.target_id = target_id
        self.connect = connect
        self.clock = clock
        self.admission = AdmissionController()
        self.idle: list[TargetConnection] = []
        self.in_use = 0
        self.is_frozen = False
        self.lingering = 0
        self.linger_s = linger_s
        self.answered_at = answered_at
        self.events: dict[Ticket, Event] = {}
        self.peak_demand = 0
        self.is_closed = False

    def held(self) -> int:
        """Returns the connections that the target may count as open."""
        return self.in_use + len(self.idle) + self.lingering

    def take_peak_demand(self) -> int:
        """Returns the highest demand since the last call."""
        peak = max(self.peak_demand, self.admission.demand())
        self.peak_demand = self.admission.demand()
        return peak

    def set_quota(self, quota: int) -> None:
        """Sets the quota and closes idle connections above it at once."""
        self.admission.set_quota(quota)
        self._close_surplus()
        self._admit_waiting()

    def close(self) -> None:
        """Closes idle connections now and the others when they are released."""
        self.is_closed = True
        self.set_quota(0)

    @contextlib.contextmanager
    def connection(
        self, service: str, access: Access, deadline: float
    ) -> Iterator[TargetConnection]:
        """Acquires a connection for one statement or one whole transaction.

        :param deadline: when the caller stops waiting, in seconds of the clock.
        :raises Overloaded: if none could be acquired in time; nothing was run.
        :raises Unreachable: if none could be opened; nothing was run.
        """
        ticket = Ticket(service, access, deadline)
        try:
            self._await_admission(ticket)
            with self._acquire_connection(deadline) as connection:
                yield connection
        finally:
            self._release_ticket(ticket)

    @contextlib.contextmanager
    def _acquire_connection(self, deadline: float) -> Iterator[TargetConnection]:
        connection = self._take_idle()
        if connection is None and not self._may_open():
            # The quota shrank after the ticket was admitted.
            raise Overloaded(f"{self.target_id}: quota shrank", NO_QUOTA_RETRY_AFTER_S)
        self.in_use += 1
        try:
            if connection is None:
                connection = self._open(deadline)
            yield connection
        finally:
            self.in_use -= 1
            if connection is not None:
                self._release_connection(connection)

    def _may_open(self) -> bool:
        return not self.is_frozen and self.held() < self.admission.quota

    def _await_admission(self, ticket: Ticket) -> None:
        displaced = self.admission.offer(ticket, self.clock.now())
        self.peak_demand = max(self.peak_demand, self.admission.demand())
        self._notify(displaced)
        if ticket.state is TicketState.queued:
            self._wait_in_queue(ticket)
        if ticket.state is TicketState.admitted:
            return
        reason = ticket.refusal.reason.name
        raise Overloaded(f"{self.target_id}: {reason}", self.admission.retry_after_s())

    def _wait_in_queue(self, ticket: Ticket) -> None:
        event = self.events[ticket] = Event()
        try:
            wait_for(event, ticket.queue_deadline - self.clock.now())
        finally:
            del self.events[ticket]
            self.admission.cancel(ticket)

    def _release_ticket(self, ticket: Ticket) -> None:
        self.admission.release(ticket, self.clock.now())
        self._close_surplus()
        self._admit_waiting()

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
            # Opening a session runs nothing, but the target may count it as open: a
            # paused target accepts all sessions attempted meanwhile when it resumes.
            self._close(connection, self.linger_s)
            raise Unreachable(f"{self.target_id}: {error}") from error
        except BaseException:
            self._close(connection, self.linger_s)
            raise
        return connection

    def _release_connection(self, connection: TargetConnection) -> None:
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
        """Stops counting a closed connection once the target can have detected it."""
        sleep(linger_s)
        while self.answered_at() < closed_at and not self.is_closed:
            sleep(linger_s)
        self._count_lingering(-1)
        self._admit_waiting()

    def _count_lingering(self, change: int) -> None:
        self.lingering += change
        self.admission.unavailable_connections = self.lingering

    def _close_surplus(self) -> None:
        while self.idle and self.in_use + len(self.idle) > self.admission.quota:
            self._close(self.idle.pop(0), min(self.linger_s, IDLE_LINGER_S))

    def _admit_waiting(self) -> None:
        self._notify(self.admission.admit_waiting(self.clock.now()))

    def _notify(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            event = self.events.get(ticket)
            if event is not None and not event.ready():
                event.send()

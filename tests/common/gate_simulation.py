"""Simulates admission control for a target with few slots."""

import heapq
import itertools
import random
from collections import deque

from godwitwheel.decisions.admission import AdmissionController, Ticket, TicketState
from godwitwheel.wire.service import Access


class Simulation:
    """A target that runs ``slots`` statements at once and queues the others.

    :ivar in_time: number of tickets that ended before their deadline, by service and
        access.
    :ivar late: number of tickets that were run but ended after their deadline.
    :ivar admitted_immediately: number of tickets admitted without queueing, by access.
    :ivar refused: how long each refused ticket had waited, in seconds.
    """

    def __init__(self, quota: int, slots: int, service_s: float, deadline_s: float):
        self.admission = AdmissionController(quota)
        self.slots = slots
        self.service_s = service_s
        self.deadline_s = deadline_s
        self.rng = random.Random(7)
        self.events: list[tuple[float, int, object, object]] = []
        self.order = itertools.count()
        self.now = 0.0
        self.busy = 0
        self.backlog: deque[Ticket] = deque()
        self.in_time: dict[tuple[str, Access], int] = {}
        self.late = 0
        self.refused: list[float] = []
        self.admitted_immediately = {Access.read: 0, Access.write: 0}
        self.offered_at: dict[Ticket, float] = {}

    def schedule(self, time: float, action, argument) -> None:
        heapq.heappush(self.events, (time, next(self.order), action, argument))

    def offer_load(
        self, service: str, access: Access, rate: float, until: float
    ) -> None:
        """Schedules arrivals at random times, ``rate`` a second."""
        time = 0.0
        while time < until:
            time += self.rng.expovariate(rate)
            self.schedule(time, self.arrive, (service, access))

    def run(self) -> None:
        while self.events:
            self.now, _, action, argument = heapq.heappop(self.events)
            action(argument)

    def arrive(self, what: tuple[str, Access]) -> None:
        ticket = Ticket(*what, self.now + self.deadline_s)
        self.offered_at[ticket] = self.now
        self.handle_tickets([*self.admission.offer(ticket, self.now), ticket])
        self.admitted_immediately[ticket.access] += ticket.state is TicketState.admitted
        if ticket.state is TicketState.queued:
            self.schedule(ticket.queue_deadline, self.expire, ticket)

    def expire(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.queued:
            self.admission.cancel(ticket)
            self.handle_tickets([ticket])

    def handle_tickets(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            if ticket.state is TicketState.admitted:
                self.backlog.append(ticket)
            elif ticket.state is TicketState.refused:
                self.refused.append(self.now - self.offered_at[ticket])
        while self.backlog and self.busy < self.slots:
            self.busy += 1
            service_s = self.service_s * self.rng.uniform(0.5, 1.5)
            self.schedule(self.now + service_s, self.end, self.backlog.popleft())

    def end(self, ticket: Ticket) -> None:
        self.busy -= 1
        if self.now <= ticket.deadline:
            key = (ticket.service, ticket.access)
            self.in_time[key] = self.in_time.get(key, 0) + 1
        else:
            self.late += 1
        self.admission.record_latency(self.now - ticket.admitted_at)
        self.admission.release(ticket, self.now)
        self.handle_tickets(self.admission.admit_waiting(self.now))

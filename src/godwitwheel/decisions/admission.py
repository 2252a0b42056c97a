"""Admission control for one target: adaptive concurrency limit and fair queues.

The limit follows additive increase, multiplicative decrease (AIMD) on the latency of
statements. Queues are short and round-robin by service.
"""

import enum
from collections import deque

from ..internal.sentinel import Refusal
from ..wire.service import Access

MAX_QUEUE_WAIT_S = 0.5
# Share of the time left until the deadline that work may spend in the queue.
MAX_QUEUE_SHARE_OF_DEADLINE = 0.5
# Tickets in one queue.
MAX_QUEUED = 512
MIN_RETRY_AFTER_S = 0.01
# Assumed hold time before any was measured.
INITIAL_HOLD_S = 0.005
HOLD_EMA_WEIGHT = 0.1
LATENCY_EMA_WEIGHT = 0.1
# A target is congested if its mean latency exceeds the baseline times the ratio, plus
# the slack.
CONGESTED_RATIO = 2.0
CONGESTED_SLACK_S = 0.005
LIMIT_DECREASE_FACTOR = 0.9
BASELINE_WINDOW_SAMPLES = 500
# Share of a primary's capacity that reads leave free for writes.
WRITE_RESERVE_SHARE = 0.25


class AdmissionProblem(enum.Enum):
    """Why work is refused admission."""

    queue_full = "queue_full"
    too_late = "too_late"
    displaced = "displaced"


class TicketState(enum.Enum):
    """State of one request for admission."""

    offered = "offered"
    queued = "queued"
    admitted = "admitted"
    refused = "refused"
    ended = "ended"


class Ticket:
    """One request for admission to a target: a statement or a whole transaction.

    :ivar deadline: when its caller stops waiting, in seconds of the clock.
    :ivar queue_deadline: until when it may stay queued, in seconds of the clock.
    :ivar admitted_at: when it began to hold a connection, in seconds of the clock.
    :ivar refusal: why it was refused; ``None`` unless it was.
    """

    __slots__ = (
        "service",
        "access",
        "deadline",
        "queue_deadline",
        "admitted_at",
        "state",
        "refusal",
    )

    def __init__(self, service: str, access: Access, deadline: float):
        self.service = service
        self.access = access
        self.deadline = deadline
        self.queue_deadline = deadline
        self.admitted_at = 0.0
        self.state = TicketState.offered
        self.refusal: Refusal | None = None


class FairQueue:
    """One FIFO queue for each service, served round-robin."""

    __slots__ = ("by_service", "length")

    def __init__(self):
        self.by_service: dict[str, deque[Ticket]] = {}
        self.length = 0

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket at the end of its service's queue."""
        self.by_service.setdefault(ticket.service, deque()).append(ticket)
        self.length += 1

    def pop(self) -> Ticket | None:
        """Removes and returns the first ticket of the next service."""
        if not self.length:
            return None
        service = next(iter(self.by_service))
        waiting = self.by_service.pop(service)
        ticket = waiting.popleft()
        self.length -= 1
        if waiting:
            # Moves the service to the end of the round-robin order.
            self.by_service[service] = waiting
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket from anywhere in its queue."""
        waiting = self.by_service[ticket.service]
        waiting.remove(ticket)
        self.length -= 1
        if not waiting:
            del self.by_service[ticket.service]

    def ahead_of(self, service: str) -> int:
        """Returns how many tickets are served before a new one of ``service``."""
        own = len(self.by_service.get(service, ()))
        return sum(min(len(other), own + 1) for other in self.by_service.values())

    def eviction_candidate(self, service: str) -> Ticket | None:
        """Returns the ticket that a new one of ``service`` may displace.

        It is the last one of the longest queue, if that queue without it is at least as
        long as the queue of ``service`` with the new ticket.

        :returns: ``None`` if no queue is long enough.
        """
        if not self.length:
            return None
        longest = max(self.by_service.values(), key=len)
        own = len(self.by_service.get(service, ()))
        return longest[-1] if len(longest) > own + 1 else None


class AdmissionController:
    """Limits the work that this proxy runs concurrently at one target.

    The limit grows while latency stays near the baseline, which is the lowest recent
    latency, and shrinks when it rises. Work that would wait too long in the queue is
    refused at once, so that admitted work finishes before its deadline.

    :ivar quota: connections that this proxy may hold.
    :ivar unavailable_connections: connections of the quota that are temporarily
        unavailable.
    :ivar limit: estimate of the statements that the target runs concurrently without
        its latency rising.
    :ivar serves_writes: whether connections are reserved for writes.
    :ivar running: admitted work that has not ended, by access.
    :ivar mean_hold_s: moving average of the time for which work holds a connection.
    :ivar mean_latency_s: moving average of the latency of statements.
    :ivar baseline_s: lowest latency of the current and the previous window.
    :ivar next_baseline_s: lowest latency of the current window.
    """

    __slots__ = (
        "quota",
        "unavailable_connections",
        "limit",
        "serves_writes",
        "running",
        "queues",
        "mean_hold_s",
        "mean_latency_s",
        "baseline_s",
        "next_baseline_s",
        "samples_in_window",
        "samples_since_decrease",
    )

    def __init__(self, quota: int = 0):
        self.quota = quota
        self.unavailable_connections = 0
        self.limit = float(max(quota, 1))
        self.serves_writes = False
        self.running = {Access.read: 0, Access.write: 0}
        self.queues = {Access.read: FairQueue(), Access.write: FairQueue()}
        self.mean_hold_s = INITIAL_HOLD_S
        self.mean_latency_s = 0.0
        self.baseline_s = float("inf")
        self.next_baseline_s = float("inf")
        self.samples_in_window = 0
        self.samples_since_decrease = 0

    def set_quota(self, quota: int) -> None:
        """Sets the quota; call :meth:`admit_waiting` afterwards."""
        if quota > self.quota:
            self.limit = max(self.limit, float(quota))
        self.quota = quota
        self.limit = max(1.0, min(self.limit, float(quota)))

    def capacity(self) -> int:
        """Returns how much work may run concurrently."""
        return min(max(self.quota - self.unavailable_connections, 0), int(self.limit))

    def busy(self) -> int:
        """Returns how much work runs now."""
        return self.running[Access.read] + self.running[Access.write]

    def load(self) -> float:
        """Returns running and queued work as a multiple of the capacity."""
        queued = sum(queue.length for queue in self.queues.values())
        return (self.busy() + queued) / max(self.capacity(), 1)

    def demand(self) -> int:
        """Returns how many connections could be used now."""
        return self.busy() + sum(queue.length for queue in self.queues.values())

    def has_room(self, access: Access) -> bool:
        """Whether one more piece of work may run."""
        capacity = self.capacity()
        if self.busy() >= capacity:
            return False
        if access is Access.write or not self.serves_writes:
            return True
        return self.running[Access.read] < capacity - self.write_reserve()

    def write_reserve(self) -> int:
        """Returns how many connections reads leave free for writes."""
        capacity = self.capacity()
        if capacity < 2:
            return 0
        return max(1, int(capacity * WRITE_RESERVE_SHARE))

    def offer(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Admits, queues or refuses a ticket, and sets its state accordingly.

        :returns: queued tickets that were refused to make room.
        """
        queue = self.queues[ticket.access]
        if not queue.length and self.has_room(ticket.access):
            self._admit(ticket, now)
            return []
        displaced = []
        wait_s = self.expected_wait_s(ticket)
        max_wait_s = self._max_wait_s(ticket, now)
        if wait_s > max_wait_s:
            self._refuse(ticket, AdmissionProblem.too_late)
            return []
        if queue.length >= MAX_QUEUED:
            victim = queue.eviction_candidate(ticket.service)
            if victim is None:
                self._refuse(ticket, AdmissionProblem.queue_full)
                return []
            queue.remove(victim)
            self._refuse(victim, AdmissionProblem.displaced)
            displaced.append(victim)
        ticket.queue_deadline = now + max_wait_s
        ticket.state = TicketState.queued
        queue.push(ticket)
        return displaced

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Returns how long a new ticket would wait, in seconds."""
        ahead = self.queues[ticket.access].ahead_of(ticket.service)
        if ticket.access is Access.read:
            ahead += self.queues[Access.write].length
        return (ahead + 1) * self.mean_hold_s / max(self.capacity(), 1)

    def retry_after_s(self) -> float:
        """Returns the delay after which refused work may be retried, in seconds."""
        queued = sum(queue.length for queue in self.queues.values())
        wait_s = (queued + 1) * self.mean_hold_s / max(self.capacity(), 1)
        return max(wait_s, MIN_RETRY_AFTER_S)

    def _max_wait_s(self, ticket: Ticket, now: float) -> float:
        remaining_s = ticket.deadline - now - self.mean_hold_s
        return min(MAX_QUEUE_WAIT_S, remaining_s * MAX_QUEUE_SHARE_OF_DEADLINE)

    def admit_waiting(self, now: float) -> list[Ticket]:
        """Admits queued work while there is capacity, writes first.

        :returns: the tickets that were admitted, or refused because they had waited
            too long.
        """
        changed = []
        for access in (Access.write, Access.read):
            queue = self.queues[access]
            while queue.length and self.has_room(access):
                ticket = queue.pop()
                if now < ticket.queue_deadline:
                    self._admit(ticket, now)
                else:
                    self._refuse(ticket, AdmissionProblem.too_late)
                changed.append(ticket)
        return changed

    def cancel(self, ticket: Ticket) -> None:
        """Removes a ticket that is still queued and marks it as refused."""
        if ticket.state is TicketState.queued:
            self.queues[ticket.access].remove(ticket)
            self._refuse(ticket, AdmissionProblem.too_late)

    def release(self, ticket: Ticket, now: float) -> None:
        """Ends admitted work; call :meth:`admit_waiting` afterwards."""
        if ticket.state is not TicketState.admitted:
            return
        ticket.state = TicketState.ended
        self.running[ticket.access] -= 1
        held_s = now - ticket.admitted_at
        self.mean_hold_s += HOLD_EMA_WEIGHT * (held_s - self.mean_hold_s)

    def record_latency(self, latency_s: float) -> None:
        """Adapts the limit to the latency of one statement, in seconds."""
        self._update_baseline(latency_s)
        if self.mean_latency_s == 0.0:
            self.mean_latency_s = latency_s
        self.mean_latency_s += LATENCY_EMA_WEIGHT * (latency_s - self.mean_latency_s)
        self.samples_since_decrease += 1
        if self.mean_latency_s > self.baseline_s * CONGESTED_RATIO + CONGESTED_SLACK_S:
            self._decrease()
        elif self.busy() >= self.capacity():
            self.limit = min(self.limit + 1.0 / self.limit, float(self.quota))

    def record_timeout(self) -> None:
        """Lowers the limit after a statement that was not answered."""
        self._decrease()

    def _decrease(self) -> None:
        # At most one decrease per ``limit`` samples: statements that started before
        # the last decrease don't show its effect yet.
        if self.samples_since_decrease >= self.limit:
            self.samples_since_decrease = 0
            self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)

    def _update_baseline(self, latency_s: float) -> None:
        self.baseline_s = min(self.baseline_s, latency_s)
        self.next_baseline_s = min(self.next_baseline_s, latency_s)
        self.samples_in_window += 1
        if self.samples_in_window >= BASELINE_WINDOW_SAMPLES:
            self.baseline_s = self.next_baseline_s
            self.next_baseline_s = float("inf")
            self.samples_in_window = 0

    def _admit(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.admitted
        ticket.admitted_at = now
        self.running[ticket.access] += 1

    def _refuse(self, ticket: Ticket, problem: AdmissionProblem) -> None:
        ticket.state = TicketState.refused
        ticket.refusal = Refusal(problem)

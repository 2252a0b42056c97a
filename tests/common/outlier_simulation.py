"""Simulates a service's targets and its callers, without a network.

Targets are chosen and their exchanges recorded by the code of sessions; only the
targets, their queues and the attempts of a read are simulated.
"""

import heapq
import itertools
import random

from godwitwheel.decisions.exchanges import Outcome
from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.internal.sentinel import Refusal
from godwitwheel.observe.events import EventName
from godwitwheel.sessions.context import SessionContext
from godwitwheel.sessions.metrics import SessionMetrics
from godwitwheel.sessions.queueing.choosing import (
    choose_reader,
    record_answered,
    record_unanswered,
)
from godwitwheel.sessions.queueing.waiting import RETRY_DELAY_S, Deadlines
from godwitwheel.sessions.running.health import begin_exchange, end_exchange
from godwitwheel.sessions.statements import Position
from tests.common.fake_sessions import SERVICE, FakeGroup

# Shape of the log-normal durations, and the share of statements that take longer.
SIGMA = 0.5
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
# Time of an exchange that a target answers without running the statement.
REFUSAL_S = 0.001
# Time to another data centre and back.
ROUND_TRIP_S = 0.004
FLOOR = Position(1, 0)


class Kind:
    """Statements of one route.

    :ivar rate: arrivals per second.
    :ivar work_s: median time that the target takes for one, in seconds.
    :ivar is_write: whether they run at the primary only.
    """

    def __init__(self, name, rate, work_s, objective_s, is_write=False):
        self.name = name
        self.rate = rate
        self.work_s = work_s
        self.objective_s = objective_s
        self.is_write = is_write


class Fault:
    """How a target treats its statements; each share is drawn for each statement."""

    def __init__(self, failed=0.0, busy=0.0, lost=0.0, hung=0.0, lagging=0.0, slow=1.0):
        self.shares = {
            Outcome.failed: failed,
            Outcome.busy: busy,
            Outcome.lost: lost,
            Outcome.timed_out: hung,
            None: lagging,
        }
        self.slow = slow


class Statement:
    def __init__(self, kind, deadlines):
        self.kind = kind
        self.deadlines = deadlines
        self.excluded = set()


class Simulation:
    """A discrete-event simulation of one runner and a service of three targets.

    :ivar faults: by target id; a target without a fault is healthy.
    :ivar finished: arrival time of each read, and whether it was served within its
        objective.
    :ivar sent: when each statement was sent, by target.
    :ivar events: what was logged: time, event, target.
    """

    def __init__(self, kinds, seed):
        self.random = random.Random(seed)
        self.group = FakeGroup()
        self.clock = self.group.clock
        self.board = self.group.board
        self.context = SessionContext(self.board, self, SessionMetrics("p1"))
        self.kinds = kinds
        self.faults: dict[str, Fault] = {}
        self.busy_until = {
            entry.target_id: [0.0] * entry.slots
            for entry in self.board.targets_of(SERVICE)
        }
        self.queue = []
        self.numbers = itertools.count()
        self.finished = []
        self.sent = {target_id: [] for target_id in self.busy_until}
        self.events = []

    def record(self, event, now, **fields):
        self.events.append((now, event, fields["target_id"]))

    def ejections(self):
        return [
            (now, target_id)
            for now, event, target_id in self.events
            if event is EventName.target_ejected
        ]

    def served_share(self, since, until):
        """Returns the share of the reads that were served within their objective."""
        done = [served for at, served in self.finished if since <= at < until]
        return sum(done) / len(done)

    def sent_share(self, target_id, since, until):
        """Returns the share of the statements that were sent to a target."""
        counts = {
            each: sum(since <= at < until for at in times)
            for each, times in self.sent.items()
        }
        return counts[target_id] / sum(counts.values())

    def at(self, time, function, *arguments):
        heapq.heappush(self.queue, (time, next(self.numbers), function, arguments))

    def run(self, seconds):
        """Offers the load for a time, in seconds."""
        ends_at = self.clock.now() + seconds
        for kind in self.kinds:
            self._schedule(kind, ends_at)
        while self.queue:
            time, _, function, arguments = heapq.heappop(self.queue)
            self.clock.advance(time - self.clock.now())
            function(*arguments)

    def _schedule(self, kind, ends_at):
        arrives_at = self.clock.now() + self.random.expovariate(kind.rate)
        if arrives_at < ends_at:
            self.at(arrives_at, self._arrive, kind, ends_at)

    def _arrive(self, kind, ends_at):
        self._schedule(kind, ends_at)
        route = self.board.view.table.routes["bounded_staleness"]
        deadlines = Deadlines(route, self.clock.now())
        deadlines.objective_s = kind.objective_s
        self._attempt(Statement(kind, deadlines))

    def _attempt(self, statement):
        now = self.clock.now()
        if now >= statement.deadlines.expires_at:
            self._finish(statement, False)
            return
        target = self._choose(statement, now)
        status = self.board.status(target.target_id)
        status.in_flight += 1
        self.sent[target.target_id].append(now)
        outcome = self._draw_outcome(target)
        timeout_s = statement.deadlines.read_attempt_s(now)
        if outcome is Outcome.timed_out:
            ends_at = now + timeout_s
        else:
            ends_at = self._run_at(target, statement, outcome, now)
        if ends_at - now >= timeout_s:
            outcome, ends_at = Outcome.timed_out, now + timeout_s
        exchange = begin_exchange(self.context, target, statement.kind.name)
        self.at(ends_at, self._end, statement, target, outcome, exchange)

    def _choose(self, statement, now):
        primary = self.board.view.targets[self.group.primary.target_id]
        if statement.kind.is_write:
            return primary
        target = choose_reader(
            self.board, SERVICE, NO_ACCOUNT, statement.excluded, FLOOR, now
        )
        if isinstance(target, Refusal):
            statement.excluded.clear()
            return primary
        return target

    def _draw_outcome(self, target):
        fault = self.faults.get(target.target_id)
        drawn = self.random.random()
        for outcome, share in fault.shares.items() if fault is not None else ():
            if drawn < share:
                return outcome
            drawn -= share
        return Outcome.answered

    def _run_at(self, target, statement, outcome, now):
        """Runs a statement once the target has a free slot; returns when it ends."""
        work_s = REFUSAL_S
        if outcome in (Outcome.answered, Outcome.lost):
            work_s = self.random.lognormvariate(0.0, SIGMA) * statement.kind.work_s
            if self.random.random() < LONG_SHARE:
                work_s *= LONG_FACTOR
            if target.target_id in self.faults:
                work_s *= self.faults[target.target_id].slow
        slots = self.busy_until[target.target_id]
        slot = slots.index(min(slots))
        slots[slot] = max(slots[slot], now) + work_s
        is_far = target.data_centre != self.board.data_centre
        return slots[slot] + (ROUND_TRIP_S if is_far else 0.0)

    def _end(self, statement, target, outcome, exchange):
        now = self.clock.now()
        status = self.board.status(target.target_id)
        status.in_flight -= 1
        if outcome is Outcome.timed_out:
            record_unanswered(status, now)
        elif outcome is not Outcome.lost:
            record_answered(status, now - exchange.started_at)
        end_exchange(self.context, target, exchange, outcome)
        if outcome is Outcome.answered or statement.kind.is_write:
            in_time = now <= statement.deadlines.started_at + statement.kind.objective_s
            self._finish(statement, in_time and outcome is Outcome.answered)
            return
        statement.excluded.add(target.target_id)
        self.at(now + RETRY_DELAY_S, self._attempt, statement)

    def _finish(self, statement, is_served):
        if not statement.kind.is_write:
            self.finished.append((statement.deadlines.started_at, is_served))

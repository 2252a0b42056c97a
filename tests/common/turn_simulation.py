"""Simulates callers of several accounts at the turn queue of one target."""

import heapq
import itertools
import random

from godwitwheel.sessions.queueing.turns import TurnQueue, TurnRequest

SLOTS = 3
# Share of its latency objective for which a statement may wait.
WAIT_SHARE = 0.9
# A refusal within this time of the arrival is immediate, in seconds.
AT_ONCE_S = 0.01
TRANSACTION_PRIORITY = -1


class Load:
    """Statements of one account and route.

    :ivar rate: arrivals per second between ``begins_at`` and ``ends_at``.
    :ivar work_s: mean time that the target takes for one, in seconds.
    :ivar objective_s: latency objective, in seconds.
    :ivar statements: per transaction; 1 for statements outside one.
    :ivar think_s: mean time between the statements of a transaction, in seconds.
    :ivar burst: whether all arrive at ``begins_at``; ``rate`` is then their number.
    """

    def __init__(
        self,
        account,
        rate,
        *,
        route="view",
        priority=2,
        work_s=0.018,
        objective_s=0.25,
        begins_at=0.0,
        ends_at=20.0,
        statements=1,
        think_s=0.0,
        burst=False,
    ):
        self.account = account
        self.rate = rate
        self.route = route
        self.priority = priority
        self.work_s = work_s
        self.objective_s = objective_s
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.statements = statements
        self.think_s = think_s
        self.burst = burst


class Caller:
    """One statement, or one transaction with its current statement."""

    def __init__(self, load, at):
        self.load = load
        self.at = at
        self.ran = 0
        self.turn = None
        self.running = None


class Tally:
    """What the callers of one account got.

    :ivar in_time: statements answered within their objective.
    :ivar refused: how long each refused statement had waited, in seconds.
    :ivar retry_s: retry time that each of these was given, in seconds.
    :ivar late: statements refused at their deadline, which had to wait for it.
    """

    def __init__(self):
        self.offered = 0
        self.in_time = 0
        self.refused = []
        self.retry_s = []
        self.late = 0

    def share_in_time(self):
        return self.in_time / self.offered

    def share_refused_at_once(self):
        at_once = sum(waited_s <= AT_ONCE_S for waited_s in self.refused)
        return at_once / len(self.refused)

    def refused_after_s(self, quantile):
        """Returns the time until refused that a share of refusals stays below."""
        ordered = sorted(self.refused)
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


class Simulation:
    """Runs loads on a target whose turns a queue grants.

    :ivar tallies: by account and route.
    """

    def __init__(self, queue_class=TurnQueue, seed=5):
        self.queue = queue_class(SLOTS)
        self.rng = random.Random(seed)
        self.order = itertools.count()
        self.events = []
        self.waiting = {}
        self.tallies = {}

    def run(self, loads):
        for load in loads:
            self.tallies.setdefault((load.account, load.route), Tally())
            for at in self.arrivals(load):
                self.push(at, self.arrive, Caller(load, at))
        while self.events:
            now, _, what, caller = heapq.heappop(self.events)
            what(caller, now)
            self.admit(now)
        return self.tallies

    def arrivals(self, load):
        if load.burst:
            return [load.begins_at] * load.rate
        times = []
        at = load.begins_at + self.rng.expovariate(load.rate)
        while at < load.ends_at:
            times.append(at)
            at += self.rng.expovariate(load.rate)
        return times

    def push(self, at, what, caller):
        heapq.heappush(self.events, (at, next(self.order), what, caller))

    def tally(self, caller):
        return self.tallies[caller.load.account, caller.load.route]

    def arrive(self, caller, now):
        load = caller.load
        caller.at = now
        self.tally(caller).offered += 1
        request = TurnRequest(
            load.route,
            load.account,
            TRANSACTION_PRIORITY if caller.ran else load.priority,
            now + WAIT_SHARE * load.objective_s,
            opens_transaction=load.statements > 1 and not caller.ran,
        )
        running = self.queue.try_start(request, now)
        if running is not None:
            self.start(caller, running, now)
            return
        caller.turn = self.queue.join(request)
        self.waiting[caller.turn] = caller
        self.admit(now)
        for turn in self.queue.shed_late(now):
            self.refuse(self.waiting.pop(turn), now)
        if caller.turn in self.waiting:
            self.push(request.start_deadline, self.expire, caller)

    def expire(self, caller, now):
        turn = caller.turn
        if self.waiting.get(turn) is caller:
            self.waiting.pop(turn)
            self.queue.withdraw(turn)
            self.tally(caller).late += 1
            self.refuse(caller, now)

    def refuse(self, caller, now):
        tally = self.tally(caller)
        tally.refused.append(now - caller.at)
        tally.retry_s.append(self.queue.wait_s(caller.turn))

    def admit(self, now):
        while (turn := self.queue.start_next(now)) is not None:
            self.start(self.waiting.pop(turn), turn.running, now)

    def start(self, caller, running, now):
        caller.turn = None
        caller.running = running
        work_s = caller.load.work_s * self.rng.uniform(0.3, 1.7)
        self.push(now + work_s, self.done, caller)

    def done(self, caller, now):
        load = caller.load
        self.queue.end(caller.running, now)
        caller.ran += 1
        if now - caller.at <= load.objective_s:
            self.tally(caller).in_time += 1
        if caller.ran < load.statements:
            pause_s = self.rng.expovariate(1.0 / load.think_s)
            self.push(now + pause_s, self.arrive, caller)
        elif load.statements > 1:
            self.queue.record_transaction(load.route, caller.ran)

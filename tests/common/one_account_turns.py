"""Oracle: a turn queue that orders by kind and arrival, and knows no accounts."""

import bisect

from godwitwheel.sessions.queueing.loads import DecayingLoad
from godwitwheel.sessions.queueing.shedding import MIN_CAPACITY_SHARE
from godwitwheel.sessions.queueing.turn_records import QueuedTurn, RunningTurn, rank
from godwitwheel.sessions.queueing.turns import (
    DEFAULT_TRANSACTION_TURNS,
    DEFAULT_TURN_S,
    MAX_RUNNING_FACTOR,
    MAX_SAMPLE_FACTOR,
    SAMPLE_WEIGHT,
)


class OneAccountQueue:
    """Has the interface of ``TurnQueue``, and keeps one list of all requests."""

    def __init__(self, limit):
        self.limit = limit
        self.running = set()
        self.waiting = []
        self.turn_s = {}
        self.transaction_turns = {}
        self.loads = {}
        self.priorities = {}
        self.next_number = 0

    def has_room(self, now):
        if len(self.running) < self.limit:
            return True
        if len(self.running) >= MAX_RUNNING_FACTOR * self.limit:
            return False
        return sum(now < turn.overdue_at for turn in self.running) < self.limit

    def expected_s(self, kind):
        return self.turn_s.get(kind, DEFAULT_TURN_S)

    def try_start(self, request, now):
        known = self.priorities.get(request.kind, request.priority)
        self.priorities[request.kind] = min(known, request.priority)
        if self.waiting or not self.has_room(now):
            return None
        return self._start(request, now)

    def join(self, request):
        self.next_number += 1
        expected_s = self.expected_s(request.kind)
        if request.opens_transaction:
            expected_s *= self.transaction_turns.get(
                request.kind, DEFAULT_TRANSACTION_TURNS
            )
        turn = QueuedTurn(request, expected_s, self.next_number)
        bisect.insort(self.waiting, turn, key=lambda each: each.key)
        return turn

    def withdraw(self, turn):
        if turn not in self.waiting:
            return False
        self.waiting.remove(turn)
        return True

    def shed_late(self, now):
        late = []
        left = []
        ahead_s = 0.0
        loads = [
            (rank(self.priorities[kind], self.expected_s(kind)), load.concurrency(now))
            for kind, load in self.loads.items()
        ]
        for turn in self.waiting:
            taken = sum(turns for other, turns in loads if other < turn.key[:2])
            share = max(1.0 - taken / self.limit, MIN_CAPACITY_SHARE)
            turn.available_share = share
            starts_at = now + ahead_s / (self.limit * share)
            if len(left) >= self.limit and starts_at > turn.request.start_deadline:
                late.append(turn)
                continue
            left.append(turn)
            ahead_s += turn.expected_s
        self.waiting = left
        return late

    def start_next(self, now):
        if not self.waiting or not self.has_room(now):
            return None
        turn = self.waiting.pop(0)
        turn.running = self._start(turn.request, now)
        return turn

    def record_transaction(self, kind, turns):
        known = self.transaction_turns.get(kind, DEFAULT_TRANSACTION_TURNS)
        self.transaction_turns[kind] = known + SAMPLE_WEIGHT * (turns - known)

    def end(self, turn, now):
        self.running.remove(turn)
        kind, lasted_s = turn.kind, now - turn.began_at
        known_s = self.expected_s(kind)
        load = self.loads.setdefault(kind, DecayingLoad(now))
        load.add(min(lasted_s, turn.overdue_at - turn.began_at), now)
        sample_s = min(lasted_s, MAX_SAMPLE_FACTOR * known_s)
        self.turn_s[kind] = known_s + SAMPLE_WEIGHT * (sample_s - known_s)

    def wait_s(self, refused):
        return sum(turn.expected_s for turn in self.waiting) / self.limit

    def _start(self, request, now):
        expected_s = self.expected_s(request.kind)
        running = RunningTurn(request.kind, request.account, expected_s, now)
        self.running.add(running)
        return running

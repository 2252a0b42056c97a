"""Schedules the statements at a target, and sheds those that can't start in time.

It is made for a target of two or three slots that is loaded above its capacity, such
as a primary that serves all reads of a service while the replicas lag. In order of
arrival, every statement would wait until its latency objective is missed. Instead,
within each priority the accounts take turns by :mod:`.fair_level`, and among the
statements of an account the kind with the shortest expected time runs first, so that
most callers are served, and a statement that is expected to start after its deadline is
refused at once instead of after the wait. A transaction that has not begun is queued
with the expected time of all its statements. Once it has begun, its statements go
first, because refusing them would lose the work done so far.
"""

from .fair_level import FairLevel
from .loads import LOAD_DECAY_S
from .shedding import LateSearch, RecentLoads
from .turn_records import QueuedTurn, RunningTurn, TurnRequest, rank

# Assumed duration of a turn for a kind without measurements, in seconds.
DEFAULT_TURN_S = 0.02
# Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.05
# Assumed number of statements in a transaction for a kind without measurements.
DEFAULT_TRANSACTION_TURNS = 4.0
# Most concurrent turns including the overdue ones, as a multiple of the limit; bounds
# what is sent to a target that has stopped answering.
MAX_RUNNING_FACTOR = 3
# A single sample counts as at most this many times the average, so that a few lost
# answers don't look like a slow target, whose turns are all slow.
MAX_SAMPLE_FACTOR = 1.5


class TurnQueue:
    """The granted turns at one target, and the requests queued for one.

    A turn is the right to run one statement at the target.

    :ivar limit: most concurrent turns, not counting overdue ones.
    :ivar running: granted turns.
    :ivar levels: queued requests by priority, in ascending order.
    :ivar waiting_count: number of queued requests.
    :ivar turn_s: moving average of the duration of a turn by kind, in seconds.
    :ivar transaction_turns: moving average of the statements per transaction, by kind.
    :ivar loads: recent loads.
    :ivar priorities: lowest (most urgent) priority seen so far, by kind.
    :ivar next_number: number of the last request queued; orders equal ranks by arrival.
    """

    __slots__ = (
        "limit",
        "running",
        "levels",
        "waiting_count",
        "turn_s",
        "transaction_turns",
        "loads",
        "priorities",
        "next_number",
    )

    def __init__(self, limit: int):
        self.limit = limit
        self.running: set[RunningTurn] = set()
        self.levels: dict[int, FairLevel] = {}
        self.waiting_count = 0
        self.turn_s: dict[str, float] = {}
        self.transaction_turns: dict[str, float] = {}
        self.loads = RecentLoads()
        self.priorities: dict[str, int] = {}
        self.next_number = 0

    @property
    def waiting(self) -> list[QueuedTurn]:
        """The queued requests in the order in which they would be granted now."""
        return [turn for level in self.levels.values() for turn in level]

    def has_room(self, now: float) -> bool:
        """Whether another turn may be granted."""
        if len(self.running) < self.limit:
            return True
        if len(self.running) >= MAX_RUNNING_FACTOR * self.limit:
            return False
        in_time = sum(1 for turn in self.running if now < turn.overdue_at)
        return in_time < self.limit

    def expected_s(self, kind: str) -> float:
        """Returns the expected duration of a turn of a kind, in seconds."""
        return self.turn_s.get(kind, DEFAULT_TURN_S)

    def try_start(self, request: TurnRequest, now: float) -> RunningTurn | None:
        """Grants a turn at once if nothing is queued and there is room.

        :returns: the turn; ``None`` if the request has to :meth:`join` the queue.
        """
        known = self.priorities.get(request.kind, request.priority)
        self.priorities[request.kind] = min(known, request.priority)
        if self.waiting_count or not self.has_room(now):
            return None
        level = self._level(request.priority)
        level.charge(request.account, self._expected_work_s(request))
        return self._start(request, now)

    def join(self, request: TurnRequest) -> QueuedTurn:
        """Queues a request."""
        self.next_number += 1
        turn = QueuedTurn(request, self._expected_work_s(request), self.next_number)
        self._level(request.priority).join(turn)
        self.waiting_count += 1
        return turn

    def withdraw(self, turn: QueuedTurn) -> bool:
        """Removes a request from the queue.

        :returns: whether it was queued.
        """
        if not turn.is_waiting:
            return False
        self.levels[turn.request.priority].remove(turn)
        self._mark_left(turn)
        return True

    def shed_late(self, now: float) -> list[QueuedTurn]:
        """Removes and returns the requests that are expected to miss their deadline."""
        if not self.waiting_count:
            return []
        search = LateSearch(self.limit, self.loads, self._rank_of, now)
        late = search.search(self.levels)
        for turn in late:
            self.withdraw(turn)
        return late

    def start_next(self, now: float) -> QueuedTurn | None:
        """Grants a turn to the next request if there is room."""
        if not self.waiting_count or not self.has_room(now):
            return None
        level = next(level for level in self.levels.values() if level.queues)
        turn = level.pop_next()
        self._mark_left(turn)
        turn.running = self._start(turn.request, now)
        return turn

    def record_transaction(self, kind: str, turns: int) -> None:
        """Records how many turns a finished transaction had."""
        known = self.transaction_turns.get(kind, DEFAULT_TRANSACTION_TURNS)
        self.transaction_turns[kind] = known + SAMPLE_WEIGHT * (turns - known)

    def end(self, turn: RunningTurn, now: float) -> None:
        """Ends a turn and records its duration."""
        self.running.remove(turn)
        kind, lasted_s = turn.kind, now - turn.began_at
        known_s = self.expected_s(kind)
        overdue_s = turn.overdue_at - turn.began_at
        priority = self.priorities.get(kind, 0)
        self.loads.add(turn.account, kind, priority, min(lasted_s, overdue_s), now)
        sample_s = min(lasted_s, MAX_SAMPLE_FACTOR * known_s)
        self.turn_s[kind] = known_s + SAMPLE_WEIGHT * (sample_s - known_s)
        if not self.running and not self.waiting_count:
            for level in self.levels.values():
                level.reset()

    def wait_s(self, refused: QueuedTurn) -> float:
        """Returns how long an account should wait before it repeats a refused request.

        That is the expected time until all its queued statements have run, and with
        them those of other accounts that go first. It is at most
        :data:`.loads.LOAD_DECAY_S` where it depends on recent loads, which say nothing
        about a later time.

        :returns: seconds.
        """
        account, priority = refused.request.account, refused.request.priority
        work_s = sum(level.work_s(account) for level in self.levels.values())
        for urgent, level in self.levels.items():
            if urgent < priority:
                others = level.queues.keys() - {account}
                work_s += sum(level.work_s(other) for other in others)
        work_s += self._level(priority).work_ahead_s(account)
        wait_s = work_s / self.limit
        return max(wait_s, min(wait_s * refused.slowdown, LOAD_DECAY_S))

    def _level(self, priority: int) -> FairLevel:
        level = self.levels.get(priority)
        if level is None:
            level = self.levels[priority] = FairLevel()
            self.levels = dict(sorted(self.levels.items()))
        return level

    def _expected_work_s(self, request: TurnRequest) -> float:
        """Returns the expected duration of a turn, or of a whole transaction."""
        expected_s = self.expected_s(request.kind)
        if request.opens_transaction:
            expected_s *= self.transaction_turns.get(
                request.kind, DEFAULT_TRANSACTION_TURNS
            )
        return expected_s

    def _mark_left(self, turn: QueuedTurn) -> None:
        turn.is_waiting = False
        self.waiting_count -= 1

    def _rank_of(self, kind: str) -> tuple[int, int]:
        return rank(self.priorities[kind], self.expected_s(kind))

    def _start(self, request: TurnRequest, now: float) -> RunningTurn:
        expected_s = self.expected_s(request.kind)
        running = RunningTurn(request.kind, request.account, expected_s, now)
        self.running.add(running)
        return running

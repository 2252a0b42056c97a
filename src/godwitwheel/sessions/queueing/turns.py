"""Schedules the statements at a target, and sheds those that can't start in time.

It is made for a target of two or three slots that is loaded above its capacity, such
as a primary that serves all reads of a service while the replicas lag. In order of
arrival, every statement would wait until its latency objective is missed. Instead,
within each priority the kind with the shortest expected time runs first, so that most
callers are served, and a statement that is expected to start after its deadline is
refused at once instead of after the wait. A transaction that has not begun is queued
with the expected time of all its statements. Once it has begun, its statements go
first, because refusing them would lose the work done so far.
"""

import bisect
import math

# Assumed duration of a turn for a kind without measurements, in seconds.
DEFAULT_TURN_S = 0.02
# Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.05
# Assumed number of statements in a transaction for a kind without measurements.
DEFAULT_TRANSACTION_TURNS = 4.0
# Expected durations are compared in steps of this size; requests of the same step are
# served in order of arrival. In seconds.
RANK_STEP_S = 0.005
# Time constant of the decaying load average; a shorter one mistakes a burst of a few
# hundred ms for an overload. In seconds.
LOAD_DECAY_S = 2.0
# Smallest share of a target's capacity that is assumed to be left by the kinds that go
# first.
MIN_CAPACITY_SHARE = 0.02
# A turn is overdue after this many times its expected duration: its answer was probably
# lost, or a VM was paused, so the target most likely has a free slot again.
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.05
# Most concurrent turns including the overdue ones, as a multiple of the limit; bounds
# what is sent to a target that has stopped answering.
MAX_RUNNING_FACTOR = 3
# A single sample counts as at most this many times the average, so that a few lost
# answers don't look like a slow target, whose turns are all slow.
MAX_SAMPLE_FACTOR = 1.5


class TurnRequest:
    """A statement's request for a turn.

    :ivar kind: class of statements whose durations are averaged together.
    :ivar account: client account that the turn is charged to, or ``NO_ACCOUNT``.
    :ivar priority: lower goes first; negative for transactions that have begun.
    :ivar start_deadline: deadline for the start of the turn, in seconds of the clock.
    :ivar opens_transaction: whether it is the first statement of a transaction; the
        later ones go first once it has run.
    """

    __slots__ = ("kind", "account", "priority", "start_deadline", "opens_transaction")

    def __init__(
        self,
        kind: str,
        account: str,
        priority: int,
        start_deadline: float,
        opens_transaction: bool = False,
    ):
        self.kind = kind
        self.account = account
        self.priority = priority
        self.start_deadline = start_deadline
        self.opens_transaction = opens_transaction


class DecayingLoad:
    """Exponentially decaying load that one kind of statement puts on the target.

    Only finished turns count. Requests would overstate the load, because refused
    statements are retried.

    :ivar work_s: decayed sum of the durations of turns at ``updated_at``, in seconds.
    """

    __slots__ = ("work_s", "updated_at")

    def __init__(self, now: float):
        self.work_s = 0.0
        self.updated_at = now

    def add(self, lasted_s: float, now: float) -> None:
        """Adds a finished turn."""
        self.work_s = self._decayed_s(now) + lasted_s
        self.updated_at = now

    def concurrency(self, now: float) -> float:
        """Returns the average number of concurrent turns."""
        return self._decayed_s(now) / LOAD_DECAY_S

    def _decayed_s(self, now: float) -> float:
        return self.work_s * math.exp((self.updated_at - now) / LOAD_DECAY_S)


class QueuedTurn:
    """A queued request.

    :ivar expected_s: expected duration of its turn; for one that opens a transaction,
        of all turns of the transaction. In seconds.
    :ivar key: its place in the queue; the lowest goes first.
    :ivar available_share: share of the target's capacity left by the kinds that go
        first, as of the last :meth:`TurnQueue.shed_late`.
    :ivar running: its turn once granted.
    """

    __slots__ = ("request", "expected_s", "key", "available_share", "running")

    def __init__(self, request: TurnRequest, expected_s: float, number: int):
        self.request = request
        self.expected_s = expected_s
        self.available_share = 1.0
        self.running: RunningTurn | None = None
        self.key = (*rank(request.priority, expected_s), number)


class RunningTurn:
    """A granted turn; see :class:`TurnQueue`.

    :ivar began_at: when it was granted, in seconds of the clock.
    :ivar overdue_at: when it stops counting against the limit, in seconds of the clock.
    """

    __slots__ = ("kind", "began_at", "overdue_at")

    def __init__(self, kind: str, expected_s: float, now: float):
        self.kind = kind
        self.began_at = now
        self.overdue_at = now + max(OVERDUE_FACTOR * expected_s, MIN_OVERDUE_S)


def rank(priority: int, expected_s: float) -> tuple[int, int]:
    """Returns the sort key of a kind or request; the lowest goes first."""
    return (priority, int(expected_s / RANK_STEP_S))


class TurnQueue:
    """The granted turns at one target, and the requests queued for one.

    A turn is the right to run one statement at the target.

    :ivar limit: most concurrent turns, not counting overdue ones.
    :ivar running: granted turns.
    :ivar waiting: queued requests, the next one first.
    :ivar turn_s: moving average of the duration of a turn by kind, in seconds.
    :ivar transaction_turns: moving average of the statements per transaction, by kind.
    :ivar loads: recent load by kind.
    :ivar priorities: lowest (most urgent) priority seen so far, by kind.
    :ivar next_number: number of the last request queued; orders equal ranks by arrival.
    """

    __slots__ = (
        "limit",
        "running",
        "waiting",
        "turn_s",
        "transaction_turns",
        "loads",
        "priorities",
        "next_number",
    )

    def __init__(self, limit: int):
        self.limit = limit
        self.running: set[RunningTurn] = set()
        self.waiting: list[QueuedTurn] = []
        self.turn_s: dict[str, float] = {}
        self.transaction_turns: dict[str, float] = {}
        self.loads: dict[str, DecayingLoad] = {}
        self.priorities: dict[str, int] = {}
        self.next_number = 0

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
        if self.waiting or not self.has_room(now):
            return None
        return self._start(request.kind, now)

    def join(self, request: TurnRequest) -> QueuedTurn:
        """Queues a request."""
        self.next_number += 1
        expected_s = self.expected_s(request.kind)
        if request.opens_transaction:
            expected_s *= self.transaction_turns.get(
                request.kind, DEFAULT_TRANSACTION_TURNS
            )
        turn = QueuedTurn(request, expected_s, self.next_number)
        bisect.insort(self.waiting, turn, key=lambda each: each.key)
        return turn

    def shed_late(self, now: float) -> list[QueuedTurn]:
        """Removes and returns the requests that are expected to miss their deadline.

        The first ``limit`` requests always stay, so that there is work for a turn that
        becomes free even if the estimate is wrong.
        """
        late = []
        left = []
        ahead_s = 0.0
        loads = [
            (rank(self.priorities[kind], self.expected_s(kind)), load.concurrency(now))
            for kind, load in self.loads.items()
        ]
        shares: dict[tuple[int, int], float] = {}
        for turn in self.waiting:
            own_rank = turn.key[:2]
            if own_rank not in shares:
                taken = sum(turns for other, turns in loads if other < own_rank)
                shares[own_rank] = max(1.0 - taken / self.limit, MIN_CAPACITY_SHARE)
            turn.available_share = shares[own_rank]
            starts_at = now + ahead_s / (self.limit * shares[own_rank])
            if len(left) >= self.limit and starts_at > turn.request.start_deadline:
                late.append(turn)
                continue
            left.append(turn)
            ahead_s += turn.expected_s
        self.waiting = left
        return late

    def start_next(self, now: float) -> QueuedTurn | None:
        """Grants a turn to the next request if there is room."""
        if not self.waiting or not self.has_room(now):
            return None
        turn = self.waiting.pop(0)
        turn.running = self._start(turn.request.kind, now)
        return turn

    def _start(self, kind: str, now: float) -> RunningTurn:
        running = RunningTurn(kind, self.expected_s(kind), now)
        self.running.add(running)
        return running

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
        load = self.loads.setdefault(kind, DecayingLoad(now))
        load.add(min(lasted_s, overdue_s), now)
        sample_s = min(lasted_s, MAX_SAMPLE_FACTOR * known_s)
        self.turn_s[kind] = known_s + SAMPLE_WEIGHT * (sample_s - known_s)

    def wait_s(self) -> float:
        """Returns the expected time to drain the queue, in seconds."""
        return sum(turn.expected_s for turn in self.waiting) / self.limit

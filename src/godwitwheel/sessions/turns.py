"""Decides which statement runs next at a target, and which can't run in time.

It answers a load above the capacity of a target with two or three slots, such as all
reads of a service at its primary while the replicas lag. Served in order of arrival,
every statement would wait until its objective is missed. Here the shortest kind of
statement of each priority goes first, so that most callers are served, and whoever
would wait past its time is refused before it has waited. A transaction counts with all
of its statements before it begins; once it has begun, its statements go first, since
what it has done so far would be lost.
"""

import bisect
import math

# Assumed time that a statement keeps its turn where none has been measured, in seconds.
DEFAULT_TURN_S = 0.02
# Share of a new measurement in the moving averages.
TURN_WEIGHT = 0.05
# Assumed number of statements in a transaction where none has been measured.
DEFAULT_TRANSACTION_TURNS = 4.0
# Kinds whose turns differ by less than this are served in order of arrival, in seconds.
TURN_STEP_S = 0.005
# Span over which the load that goes first is measured; a shorter one takes a burst of
# some hundred ms for an overload. In seconds.
LOAD_SPAN_S = 2.0
# Least part of a target that is counted on for those that others go before.
LEAST_SHARE = 0.02
# A turn that lasts longer than so many usual ones tells of a lost answer, or of a VM
# that stood still: the target most likely has room again.
OVERDUE_TURNS = 3.0
SHORTEST_OVERDUE_S = 0.05
# Statements that may be under way with the overdue ones, as a multiple of the limit; a
# target that stands still is not sent more.
MOST_AT_ONCE = 3
# A single turn counts as at most this many usual ones, so that some lost answers don't
# pass for a slow target, which shows in all turns.
LONGEST_SAMPLE = 1.5


class TurnRequest:
    """A statement that asks for a turn.

    :ivar kind: statements of one kind take about as long as each other.
    :ivar priority: 0 goes before 1; negative for transactions under way.
    :ivar give_up_at: it is of no use to begin later, in seconds of the clock.
    :ivar opens_transaction: whether it is the first of several statements, which are
        not made to wait once it has run.
    """

    __slots__ = ("kind", "priority", "give_up_at", "opens_transaction")

    def __init__(
        self,
        kind: str,
        priority: int,
        give_up_at: float,
        opens_transaction: bool = False,
    ):
        self.kind = kind
        self.priority = priority
        self.give_up_at = give_up_at
        self.opens_transaction = opens_transaction


class ServedLoad:
    """Turns that one kind of statement has had lately.

    What was only asked for says nothing: refused statements come back.

    :ivar work_s: turns, each counting less the older it is, in seconds.
    """

    __slots__ = ("work_s", "at")

    def __init__(self, now: float):
        self.work_s = 0.0
        self.at = now

    def add(self, lasted_s: float, now: float) -> None:
        """Takes in another turn."""
        self.work_s = self._faded_s(now) + lasted_s
        self.at = now

    def turns(self, now: float) -> float:
        """Returns how many turns at once it had."""
        return self._faded_s(now) / LOAD_SPAN_S

    def _faded_s(self, now: float) -> float:
        return self.work_s * math.exp((self.at - now) / LOAD_SPAN_S)


class QueuedTurn:
    """A request that waits.

    :ivar expected_s: how long it will keep its turn, and so will the rest of the
        transaction that it opens, in seconds.
    :ivar left_share: part of the turns that those that go first were last found to
        leave.
    :ivar running: its turn, once it has it.
    """

    __slots__ = ("request", "expected_s", "key", "left_share", "running")

    def __init__(self, request: TurnRequest, expected_s: float, number: int):
        self.request = request
        self.expected_s = expected_s
        self.left_share = 1.0
        self.running: RunningTurn | None = None
        self.key = (*rank(request.priority, expected_s), number)


class RunningTurn:
    """A statement that has its turn.

    :ivar began_at: when it got it, in seconds of the clock.
    :ivar overdue_at: from then on it no longer counts against the limit.
    """

    __slots__ = ("kind", "began_at", "overdue_at")

    def __init__(self, kind: str, expected_s: float, now: float):
        self.kind = kind
        self.began_at = now
        self.overdue_at = now + max(OVERDUE_TURNS * expected_s, SHORTEST_OVERDUE_S)


def rank(priority: int, expected_s: float) -> tuple[int, int]:
    """Returns what orders statements; the lowest goes first."""
    return (priority, int(expected_s / TURN_STEP_S))


class TurnQueue:
    """The turns at one target.

    :ivar limit: how many statements may have a turn at once, not counting those that
        are overdue.
    :ivar running: those that have one.
    :ivar waiting: the others, next first.
    :ivar turn_s: moving average of the time that a kind keeps its turn, in seconds.
    :ivar transaction_turns: moving average of the statements of a transaction, by kind.
    :ivar loads: what each kind has had lately.
    :ivar priorities: the most important that a statement of each kind has had.
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
        self.loads: dict[str, ServedLoad] = {}
        self.priorities: dict[str, int] = {}
        self.next_number = 0

    def has_room(self, now: float) -> bool:
        """Whether another statement may have its turn."""
        if len(self.running) < self.limit:
            return True
        if len(self.running) >= MOST_AT_ONCE * self.limit:
            return False
        in_time = sum(1 for turn in self.running if now < turn.overdue_at)
        return in_time < self.limit

    def expected_s(self, kind: str) -> float:
        """Returns how long a statement of a kind keeps its turn, in seconds."""
        return self.turn_s.get(kind, DEFAULT_TURN_S)

    def arrive(self, request: TurnRequest, now: float) -> RunningTurn | None:
        """Takes in that a statement asks for a turn.

        :returns: its turn; ``None`` if it has to :meth:`join`.
        """
        known = self.priorities.get(request.kind, request.priority)
        self.priorities[request.kind] = min(known, request.priority)
        if self.waiting or not self.has_room(now):
            return None
        return self._begin(request.kind, now)

    def join(self, request: TurnRequest) -> QueuedTurn:
        """Puts a request in line."""
        self.next_number += 1
        expected_s = self.expected_s(request.kind)
        if request.opens_transaction:
            expected_s *= self.transaction_turns.get(
                request.kind, DEFAULT_TRANSACTION_TURNS
            )
        turn = QueuedTurn(request, expected_s, self.next_number)
        bisect.insort(self.waiting, turn, key=lambda each: each.key)
        return turn

    def take_hopeless(self, now: float) -> list[QueuedTurn]:
        """Takes out whoever would wait past its time.

        The first ones in line always stay: whatever is expected, a turn that becomes
        free finds work.
        """
        hopeless = []
        left = []
        ahead_s = 0.0
        loads = [
            (rank(self.priorities[kind], self.expected_s(kind)), load.turns(now))
            for kind, load in self.loads.items()
        ]
        shares: dict[tuple[int, int], float] = {}
        for turn in self.waiting:
            own = turn.key[:2]
            if own not in shares:
                taken = sum(turns for other, turns in loads if other < own)
                shares[own] = max(1.0 - taken / self.limit, LEAST_SHARE)
            turn.left_share = shares[own]
            starts_at = now + ahead_s / (self.limit * shares[own])
            if len(left) >= self.limit and starts_at > turn.request.give_up_at:
                hopeless.append(turn)
                continue
            left.append(turn)
            ahead_s += turn.expected_s
        self.waiting = left
        return hopeless

    def take_next(self, now: float) -> QueuedTurn | None:
        """Gives the next one its turn, if one is free."""
        if not self.waiting or not self.has_room(now):
            return None
        turn = self.waiting.pop(0)
        turn.running = self._begin(turn.request.kind, now)
        return turn

    def _begin(self, kind: str, now: float) -> RunningTurn:
        running = RunningTurn(kind, self.expected_s(kind), now)
        self.running.add(running)
        return running

    def note_transaction(self, kind: str, turns: int) -> None:
        """Takes in how many turns a transaction had until its end."""
        known = self.transaction_turns.get(kind, DEFAULT_TRANSACTION_TURNS)
        self.transaction_turns[kind] = known + TURN_WEIGHT * (turns - known)

    def end(self, turn: RunningTurn, now: float) -> None:
        """Ends a turn."""
        self.running.remove(turn)
        kind, lasted_s = turn.kind, now - turn.began_at
        known_s = self.expected_s(kind)
        overdue_s = turn.overdue_at - turn.began_at
        load = self.loads.setdefault(kind, ServedLoad(now))
        load.add(min(lasted_s, overdue_s), now)
        sample_s = min(lasted_s, LONGEST_SAMPLE * known_s)
        self.turn_s[kind] = known_s + TURN_WEIGHT * (sample_s - known_s)

    def wait_s(self) -> float:
        """Returns how long the line is, in seconds."""
        return sum(turn.expected_s for turn in self.waiting) / self.limit

"""Start-time fair queueing between the accounts of one priority.

Each account has a virtual time, which advances by the expected duration of its granted
turns. The account with the smallest virtual time goes first, so that accounts with
queued requests get equal shares of the target, however many requests each of them has.
"""

import bisect
import heapq
from collections.abc import Callable, Iterator
from operator import attrgetter

from .turn_records import QueuedTurn

# Known accounts above which those that are not ahead of the others are dropped.
MAX_KNOWN_ACCOUNTS = 256

turn_key = attrgetter("key")


class FairLevel:
    """The queued requests of one priority, and the virtual times of their accounts.

    Each priority has virtual times of its own: if they were shared, an account that is
    served at an urgent priority would go last at the others.

    :ivar virtual_time_s: largest virtual time at which a turn was granted, in seconds;
        an account that was idle continues there.
    :ivar times_s: virtual times by account, in seconds. An account with queued requests
        always has one.
    :ivar queues: queued requests by account, by kind and arrival; none is empty.
    """

    __slots__ = ("virtual_time_s", "times_s", "queues")

    def __init__(self):
        self.virtual_time_s = 0.0
        self.times_s: dict[str, float] = {}
        self.queues: dict[str, list[QueuedTurn]] = {}

    def join(self, turn: QueuedTurn) -> None:
        """Queues a request."""
        account = turn.request.account
        queue = self.queues.get(account)
        if queue is None:
            self.times_s[account] = self.time_s(account)
            queue = self.queues[account] = []
        bisect.insort(queue, turn, key=turn_key)

    def remove(self, turn: QueuedTurn) -> None:
        """Removes a queued request; its account isn't charged."""
        account = turn.request.account
        queue = self.queues[account]
        del queue[bisect.bisect_left(queue, turn.key, key=turn_key)]
        if not queue:
            del self.queues[account]

    def pop_next(self) -> QueuedTurn:
        """Removes the next request and charges its account for the turn."""
        account = min(self.queues, key=self._order_of)
        turn = self.queues[account][0]
        self.remove(turn)
        self.charge(account, turn.expected_s)
        return turn

    def charge(self, account: str, expected_s: float) -> None:
        """Advances an account's virtual time by a granted turn."""
        if account not in self.times_s and len(self.times_s) >= MAX_KNOWN_ACCOUNTS:
            self._drop_idle()
        start_s = self.time_s(account)
        self.virtual_time_s = max(self.virtual_time_s, start_s)
        self.times_s[account] = start_s + expected_s

    def reset(self) -> None:
        """Forgets which accounts are ahead, once the target has nothing to do."""
        self.times_s.clear()

    def time_s(self, account: str) -> float:
        """Returns the virtual time at which an account's next turn starts."""
        return max(self.times_s.get(account, 0.0), self.virtual_time_s)

    def work_s(self, account: str) -> float:
        """Returns the expected duration of an account's queued turns, in seconds."""
        return sum(turn.expected_s for turn in self.queues.get(account, ()))

    def work_ahead_s(self, account: str) -> float:
        """Returns the work of other accounts that precedes an account's next request.

        :returns: expected duration of those turns, in seconds.
        """
        end_s = self.time_s(account) + self.work_s(account)
        return sum(
            min(self.work_s(other), max(end_s - self.times_s[other], 0.0))
            for other in self.queues
            if other != account
        )

    def walk(
        self,
        keeps: Callable[[QueuedTurn, float], bool],
        leave: Callable[[str, float], None],
    ) -> None:
        """Visits the requests in the order in which they would be granted.

        :param keeps: whether a request stays, given its virtual time; the following
            requests of an account take the place of one that doesn't.
        :param leave: called after the last request of each account, with the account's
            virtual time.
        """
        heap = [
            (self.times_s[account], queue[0].key, account, 0)
            for account, queue in self.queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            time_s, _, account, position = heap[0]
            queue = self.queues[account]
            turn = queue[position]
            if keeps(turn, time_s):
                time_s += turn.expected_s
            position += 1
            if position < len(queue):
                entry = (time_s, queue[position].key, account, position)
                heapq.heapreplace(heap, entry)
            else:
                heapq.heappop(heap)
                leave(account, time_s)

    def __iter__(self) -> Iterator[QueuedTurn]:
        """Yields the requests in the order in which they would be granted."""
        turns: list[QueuedTurn] = []

        def keeps(turn: QueuedTurn, time_s: float) -> bool:
            turns.append(turn)
            return True

        self.walk(keeps, lambda account, time_s: None)
        return iter(turns)

    def _order_of(self, account: str) -> tuple:
        return (self.times_s[account], self.queues[account][0].key)

    def _drop_idle(self) -> None:
        """Drops the accounts that would continue at the current virtual time."""
        self.times_s = {
            account: time_s
            for account, time_s in self.times_s.items()
            if time_s > self.virtual_time_s or account in self.queues
        }

"""Limits how many statements run at a target at once.

A target serves what it has queued in order of arrival. Statements queued here are
served in the order of :mod:`.turns` and can still be refused early enough for their
callers to retry.
"""

import contextlib
from collections.abc import Iterator

from ...internal.clock import Clock
from ...internal.loop import Event, wait_for
from ..errors import TurnRefused
from .presence import CallerPresence
from .turns import QueuedTurn, RunningTurn, TurnQueue, TurnRequest

# Statements sent to the target beyond its slots, so that a slot that becomes free has
# work at once.
STATEMENTS_AHEAD = 1
# Reason of the refusal of a withdrawn statement.
CALLER_LEFT = "the caller has left"


class ConcurrencyLimiter:
    """Limits concurrency at one target by making statements wait for a turn.

    :ivar events: wakes each queued statement with ``True`` if its turn is granted,
        ``False`` if it is refused.
    """

    __slots__ = ("clock", "queue", "events")

    def __init__(self, slots: int, clock: Clock):
        self.clock = clock
        self.queue = TurnQueue(max(slots, 1) + STATEMENTS_AHEAD)
        self.events: dict[QueuedTurn, Event] = {}

    @contextlib.contextmanager
    def turn(self, request: TurnRequest) -> Iterator[None]:
        """Holds a turn for the duration of the block.

        :raises TurnRefused: if none is granted in time; nothing ran.
        """
        running = self._wait_for_turn(request)
        try:
            yield
        finally:
            self.queue.end(running, self.clock.now())
            self._admit()

    def _wait_for_turn(self, request: TurnRequest) -> RunningTurn:
        presence = request.presence or CallerPresence()
        if presence.has_left:
            raise TurnRefused(CALLER_LEFT, 0.0)
        running = self.queue.try_start(request, self.clock.now())
        if running is not None:
            return running
        turn = self.queue.join(request)
        event = self.events[turn] = Event()
        self._admit()
        self._refuse_late()
        left_s = request.start_deadline - self.clock.now()
        try:
            with presence.queued(lambda: self._refuse(turn)):
                if wait_for(event, left_s) and event.wait():
                    return turn.running
        except BaseException:
            # The waiting task was killed; a turn granted meanwhile goes to the next.
            self._withdraw(turn)
            raise
        self._withdraw(turn)
        if presence.has_left:
            raise TurnRefused(CALLER_LEFT, 0.0)
        raise TurnRefused(
            f"no turn in time, {self._describe(turn)}", self.queue.wait_s(turn)
        )

    def _describe(self, refused: QueuedTurn) -> str:
        """Returns the state of the queue that led to a refusal."""
        queue = self.queue
        return (
            f"{len(queue.running)} of {queue.limit} run, {queue.waiting_count} wait, "
            f"turn of {1000 * refused.expected_s:.0f} ms, "
            f"{refused.available_share:.0%} of the turns left by others"
        )

    def _withdraw(self, turn: QueuedTurn) -> None:
        self.events.pop(turn, None)
        if not self.queue.withdraw(turn) and turn.running is not None:
            self.queue.end(turn.running, self.clock.now())
            self._admit()

    def _refuse(self, turn: QueuedTurn) -> None:
        """Refuses a request unless it has been granted a turn."""
        if self.queue.withdraw(turn):
            self.events.pop(turn).send(False)

    def _refuse_late(self) -> None:
        for turn in self.queue.shed_late(self.clock.now()):
            self.events.pop(turn).send(False)

    def _admit(self) -> None:
        while (turn := self.queue.start_next(self.clock.now())) is not None:
            self.events.pop(turn).send(True)

"""Lets a limited number of statements run at a target at once.

What waits at a target is served in order of arrival; what waits here is served in the
order of :mod:`.turns`, and can still be refused while its caller has time to come back.
"""

import contextlib
from collections.abc import Iterator

from ..internal.clock import Clock
from ..internal.loop import Event, wait_for
from .errors import NoTurn
from .turns import QueuedTurn, RunningTurn, TurnQueue, TurnRequest

# Statements beyond the slots that are at the target already, so that a slot that
# becomes free has work at once.
STATEMENTS_AHEAD = 1


class RunGate:
    """Makes statements wait for their turn at one target.

    :ivar events: what each waiting statement is woken by; it is sent whether the
        statement got its turn.
    """

    __slots__ = ("clock", "queue", "events")

    def __init__(self, slots: int, clock: Clock):
        self.clock = clock
        self.queue = TurnQueue(max(slots, 1) + STATEMENTS_AHEAD)
        self.events: dict[QueuedTurn, Event] = {}

    @contextlib.contextmanager
    def turn(self, request: TurnRequest) -> Iterator[None]:
        """Holds a turn inside the block.

        :raises NoTurn: if none can be had in time; nothing ran.
        """
        running = self._enter(request)
        try:
            yield
        finally:
            self.queue.end(running, self.clock.now())
            self._admit()

    def _enter(self, request: TurnRequest) -> RunningTurn:
        running = self.queue.arrive(request, self.clock.now())
        if running is not None:
            return running
        turn = self.queue.join(request)
        event = self.events[turn] = Event()
        self._admit()
        self._refuse_hopeless()
        left_s = request.give_up_at - self.clock.now()
        try:
            if wait_for(event, left_s) and event.wait():
                return turn.running
        except BaseException:
            # The waiting task is killed; a turn that it got meanwhile goes on.
            self._withdraw(turn)
            raise
        self._withdraw(turn)
        raise NoTurn(f"no turn in time, {self._describe(turn)}", self.queue.wait_s())

    def _describe(self, refused: QueuedTurn) -> str:
        """Returns what a refusal was decided by."""
        queue = self.queue
        return (
            f"{len(queue.running)} of {queue.limit} run, {len(queue.waiting)} wait, "
            f"turn of {1000 * refused.expected_s:.0f} ms, {refused.left_share:.0%} of "
            f"the turns left by others"
        )

    def _withdraw(self, turn: QueuedTurn) -> None:
        self.events.pop(turn, None)
        if turn in self.queue.waiting:
            self.queue.waiting.remove(turn)
        elif turn.running is not None:
            self.queue.end(turn.running, self.clock.now())
            self._admit()

    def _refuse_hopeless(self) -> None:
        for turn in self.queue.take_hopeless(self.clock.now()):
            self.events.pop(turn).send(False)

    def _admit(self) -> None:
        while (turn := self.queue.take_next(self.clock.now())) is not None:
            self.events.pop(turn).send(True)

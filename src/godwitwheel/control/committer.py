"""Commits commands in groups and shares rounds that confirm the leadership."""

from collections import deque

from ..consensus.errors import NotLeader, OutcomeUnknown
from ..consensus.replicated import ReplicatedLog
from ..internal.loop import Event, spawn, wait_for
from ..wire.codec import Message, decode, encode
from .commands import Batch, Command, Results
from .errors import NotLeading, Unsettled

MAX_BATCH_COMMANDS = 128
MAX_BATCHES_IN_FLIGHT = 2
COMMIT_LIMIT_S = 5.0


class Pending:
    """A command that waits for its result."""

    __slots__ = ("command", "done")

    def __init__(self, command: Command):
        self.command = command
        self.done = Event()


class Committer:
    """Puts all commands that come up while an entry is on its way into the next.

    :ivar committed: commands committed so far.
    :ivar batches: entries that carried them.
    """

    __slots__ = ("log", "queue", "in_flight", "committed", "batches")

    def __init__(self, log: ReplicatedLog):
        self.log = log
        self.queue: deque[Pending] = deque()
        self.in_flight = 0
        self.committed = 0
        self.batches = 0

    def commit(
        self, command: Command, kind: type[Message], timeout_s: float
    ) -> Message:
        """Commits a command and returns its result.

        :raises NotLeading: if nothing was proposed.
        :raises Unsettled: if it may or may not be committed.
        """
        pending = Pending(command)
        self.queue.append(pending)
        if self.in_flight < MAX_BATCHES_IN_FLIGHT:
            self.in_flight += 1
            spawn(self._send_batches)
        if not wait_for(pending.done, timeout_s):
            raise Unsettled("no result in time")
        return decode(bytes(pending.done.wait()), kind)

    def _send_batches(self) -> None:
        try:
            while self.queue:
                size = min(len(self.queue), MAX_BATCH_COMMANDS)
                self._send([self.queue.popleft() for _ in range(size)])
        finally:
            self.in_flight -= 1

    def _send(self, batch: list[Pending]) -> None:
        command = encode(Batch([pending.command for pending in batch]))
        try:
            result = self.log.propose(command, COMMIT_LIMIT_S)
        except NotLeader as error:
            _fail(batch, NotLeading(str(error)))
            return
        except OutcomeUnknown as error:
            _fail(batch, Unsettled(str(error)))
            return
        self.committed += len(batch)
        self.batches += 1
        results = decode(result, Results).results
        for pending, item in zip(batch, results, strict=True):
            pending.done.send(item)


class LeadershipConfirmer:
    """Lets concurrent callers share one round to a quorum.

    A caller takes part in a round only if it came before the round began.

    :ivar rounds: rounds run so far.
    """

    __slots__ = ("log", "running", "next_round", "rounds")

    def __init__(self, log: ReplicatedLog):
        self.log = log
        self.running = False
        self.next_round: Event | None = None
        self.rounds = 0

    def confirm(self, timeout_s: float) -> None:
        """Returns once a quorum has confirmed this leader after the call began.

        :raises NotLeading: if it could not.
        """
        if self.next_round is None:
            self.next_round = Event()
        awaited = self.next_round
        if not self.running:
            self.running = True
            spawn(self._run_rounds, timeout_s)
        if not wait_for(awaited, timeout_s) or not awaited.wait():
            raise NotLeading("no quorum confirmed this leader")

    def _run_rounds(self, timeout_s: float) -> None:
        while self.next_round is not None:
            awaited = self.next_round
            self.next_round = None
            self.rounds += 1
            try:
                self.log.confirm_leadership(timeout_s)
            except NotLeader:
                awaited.send(False)
            else:
                awaited.send(True)
        self.running = False


def _fail(batch: list[Pending], error: Exception) -> None:
    for pending in batch:
        pending.done.send_exception(error)

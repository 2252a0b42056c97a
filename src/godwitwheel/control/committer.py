"""Commits commands in groups and shares rounds that confirm the leadership."""

from collections import deque

from ..consensus.errors import NotLeader, OutcomeUnknown
from ..consensus.replicated import ReplicatedLog
from ..internal.loop import Event, spawn, wait_for
from ..wire.codec import Message, decode, encode
from .commands import Command, Results, encode_batch
from .errors import NotLeading, TooLarge, Unsettled

MAX_BATCH_COMMANDS = 128
# An entry of the log holds 512 KiB, the brackets around the commands included.
MAX_BATCH_BYTES = 500 * 1024
MAX_BATCHES_IN_FLIGHT = 2
COMMIT_LIMIT_S = 5.0


class Pending:
    """An encoded command that waits for its result."""

    __slots__ = ("command", "done")

    def __init__(self, command: bytes):
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

        :raises TooLarge: if no entry holds it; nothing was proposed.
        :raises NotLeading: if nothing was proposed.
        :raises Unsettled: if it may or may not be committed.
        """
        encoded = encode(command)
        if len(encoded) > MAX_BATCH_BYTES:
            raise TooLarge(
                f"got {len(encoded)} bytes, expected at most {MAX_BATCH_BYTES}"
            )
        pending = Pending(encoded)
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
                self._send(self._take_batch())
        finally:
            self.in_flight -= 1

    def _take_batch(self) -> list[Pending]:
        """Takes what fits into one entry, and at least one command."""
        batch = [self.queue.popleft()]
        size = len(batch[0].command)
        while self.queue and len(batch) < MAX_BATCH_COMMANDS:
            size += len(self.queue[0].command) + 1
            if size > MAX_BATCH_BYTES:
                break
            batch.append(self.queue.popleft())
        return batch

    def _send(self, batch: list[Pending]) -> None:
        command = encode_batch([pending.command for pending in batch])
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
        try:
            while self.next_round is not None:
                awaited = self.next_round
                self.next_round = None
                self.rounds += 1
                awaited.send(self._is_confirmed(timeout_s))
        finally:
            # Whatever ended this task, the next caller may start another.
            self.running = False

    def _is_confirmed(self, timeout_s: float) -> bool:
        try:
            self.log.confirm_leadership(timeout_s)
        except NotLeader:
            return False
        return True


def _fail(batch: list[Pending], error: Exception) -> None:
    for pending in batch:
        pending.done.send_exception(error)

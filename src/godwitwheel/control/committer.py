"""Group commit of commands, and shared leadership confirmation rounds."""

from collections import deque

from ..consensus.errors import NotLeader, OutcomeUnknown
from ..consensus.replicated import ReplicatedLog
from ..internal.loop import Event, sleep, spawn, wait_for
from ..wire.codec import Message, decode, encode
from .commands import Command, Results, encode_batch
from .errors import CommitOutcomeUnknown, NotLeading, TooLarge

MAX_BATCH_COMMANDS = 128
# A log entry holds 512 KiB, including the encoding around the commands.
MAX_BATCH_BYTES = 500 * 1024
MAX_BATCHES_IN_FLIGHT = 2
PROPOSE_TIMEOUT_S = 5.0
# Pause after a confirmation round, so that calls of many proxies share the next one.
ROUND_PAUSE_S = 0.015
# The same if an urgent call waits.
URGENT_ROUND_PAUSE_S = 0.01


class PendingCommand:
    """An encoded command that waits for its result."""

    __slots__ = ("command", "done")

    def __init__(self, command: bytes):
        self.command = command
        self.done = Event()


class Committer:
    """Commits commands in batches.

    Commands that arrive while entries are in flight share the next entry.

    :ivar in_flight: tasks that propose batches, one entry at a time each.
    :ivar committed: number of commands committed.
    :ivar batches: number of entries that contained them.
    """

    __slots__ = ("log", "queue", "in_flight", "committed", "batches")

    def __init__(self, log: ReplicatedLog):
        self.log = log
        self.queue: deque[PendingCommand] = deque()
        self.in_flight = 0
        self.committed = 0
        self.batches = 0

    def commit(
        self, command: Command, kind: type[Message], timeout_s: float
    ) -> Message:
        """Commits a command and returns its result.

        :raises TooLarge: if it doesn't fit into an entry; nothing was proposed.
        :raises NotLeading: if nothing was proposed.
        :raises CommitOutcomeUnknown: if it may or may not be committed.
        """
        encoded = encode(command)
        if len(encoded) > MAX_BATCH_BYTES:
            raise TooLarge(
                f"got {len(encoded)} bytes, expected at most {MAX_BATCH_BYTES}"
            )
        pending = PendingCommand(encoded)
        self.queue.append(pending)
        if self.in_flight < MAX_BATCHES_IN_FLIGHT:
            self.in_flight += 1
            spawn(self._send_batches)
        if not wait_for(pending.done, timeout_s):
            raise CommitOutcomeUnknown("no result in time")
        return decode(bytes(pending.done.wait()), kind)

    def _send_batches(self) -> None:
        try:
            while self.queue:
                self._propose(self._next_batch())
        finally:
            self.in_flight -= 1

    def _next_batch(self) -> list[PendingCommand]:
        """Dequeues as many commands as fit into one entry, at least one."""
        batch = [self.queue.popleft()]
        size = len(batch[0].command)
        while self.queue and len(batch) < MAX_BATCH_COMMANDS:
            size += len(self.queue[0].command) + 1
            if size > MAX_BATCH_BYTES:
                break
            batch.append(self.queue.popleft())
        return batch

    def _propose(self, batch: list[PendingCommand]) -> None:
        command = encode_batch([pending.command for pending in batch])
        try:
            result = self.log.propose(command, PROPOSE_TIMEOUT_S)
        except NotLeader as error:
            _fail(batch, NotLeading(str(error)))
            return
        except OutcomeUnknown as error:
            _fail(batch, CommitOutcomeUnknown(str(error)))
            return
        self.committed += len(batch)
        self.batches += 1
        results = decode(result, Results).results
        for pending, item in zip(batch, results, strict=True):
            pending.done.send(item)


class LeadershipConfirmer:
    """Lets concurrent calls share one leadership confirmation round to a quorum.

    A round answers only calls made before it began, so that the confirmation is never
    older than the call. A call that comes soon after a round waits for the next one,
    which it then shares with others.

    :ivar pause_s: pause after a round without an urgent call, in seconds; the longer it
        is, the fewer bytes do rounds cost.
    :ivar next_round: sent the result of the next round; ``None`` if no call waits for
        one.
    :ivar became_urgent: sent when an urgent call waits for the next round.
    :ivar rounds: number of rounds run.
    """

    __slots__ = ("log", "pause_s", "running", "next_round", "became_urgent", "rounds")

    def __init__(self, log: ReplicatedLog, pause_s: float = ROUND_PAUSE_S):
        self.log = log
        self.pause_s = pause_s
        self.running = False
        self.next_round: Event | None = None
        self.became_urgent = Event()
        self.rounds = 0

    def confirm(self, timeout_s: float, is_urgent: bool = False) -> None:
        """Returns once a quorum has confirmed, after the call, that this member leads.

        :param is_urgent: whether callers of a proxy wait for the result.
        :raises NotLeading: if no quorum did.
        """
        if self.next_round is None:
            self.next_round = Event()
        awaited = self.next_round
        if is_urgent and not self.became_urgent.ready():
            self.became_urgent.send()
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
                self.became_urgent = Event()
                self.rounds += 1
                awaited.send(self._is_confirmed(timeout_s))
                sleep(URGENT_ROUND_PAUSE_S)
                wait_for(self.became_urgent, self.pause_s - URGENT_ROUND_PAUSE_S)
        finally:
            # However this task ends, the next call must be able to start another.
            self.running = False

    def _is_confirmed(self, timeout_s: float) -> bool:
        try:
            self.log.confirm_leadership(timeout_s)
        except NotLeader:
            return False
        return True


def _fail(batch: list[PendingCommand], error: Exception) -> None:
    for pending in batch:
        pending.done.send_exception(error)

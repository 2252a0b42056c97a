"""Runs a member: connects it to clock, storage, transport and state machine."""

import random

from ..internal.clock import Clock
from ..internal.errors import InvalidValue
from ..internal.loop import Event, Task, sleep, spawn, wait_for
from ..observe.events import EventName, record_event, record_failure
from . import membership as memberships
from .core import Consensus
from .errors import MemberFailed, NotLeader, OutcomeUnknown, StorageError
from .log import MAX_APPEND_BYTES
from .messages import AnyMessage, Entry, EntryKind
from .replicated import ReplicatedLog, StateMachine
from .state import ConsensusOptions
from .storage import Storage
from .transport import Transport
from .waiters import Waiters
from .work import Work

MAX_COMMAND_BYTES = MAX_APPEND_BYTES
SNAPSHOT_ENTRIES = 4096
MAX_LOG_BYTES = 16 * 1024 * 1024


class ConsensusLog(ReplicatedLog):
    """Runs a member while its ``with`` block is active.

    All work that becomes pending during a sync is stored with the next one, so
    that concurrent proposals share a sync (group commit).

    :ivar leader_term: the term in which this member is leader and has applied all
        earlier entries, or 0.
    :ivar became_leader_at: clock reading when both became true, or ``None``.
    :ivar answered_identity: identity of the peer whose request is being answered;
        messages to it go into ``answers``, the body of the reply.
    :ivar failure: the error that stopped the member, or ``None``.
    """

    __slots__ = (
        "core",
        "clock",
        "storage",
        "transport",
        "state_machine",
        "tick_s",
        "snapshot_entries",
        "waiters",
        "leader_term",
        "became_leader_at",
        "wake_event",
        "tasks",
        "failure",
        "is_working",
        "answered_identity",
        "answers",
    )

    def __init__(
        self,
        options: ConsensusOptions,
        state_machine: StateMachine,
        storage: Storage,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ):
        saved = storage.load()
        self.core = Consensus(options, saved, rng, clock.now())
        self.clock = clock
        self.storage = storage
        self.transport = transport
        self.state_machine = state_machine
        self.tick_s = options.append_interval_s / 2
        self.snapshot_entries = snapshot_entries
        self.waiters = Waiters()
        self.leader_term = 0
        self.became_leader_at: float | None = None
        self.wake_event = Event()
        self.tasks: list[Task] = []
        self.failure: StorageError | MemberFailed | None = None
        self.is_working = False
        self.answered_identity = ""
        self.answers: list[AnyMessage] = []
        if saved.snapshot is not None:
            state_machine.load_snapshot(saved.snapshot.data)

    def __enter__(self) -> "ConsensusLog":
        self.tasks = [spawn(self._run_ticks), spawn(self._run_work)]
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.kill()
        self.tasks = []
        self.waiters.fail_proposals()

    def propose(self, command: bytes, timeout_s: float) -> bytes:
        if len(command) > MAX_COMMAND_BYTES:
            raise InvalidValue(
                f"command: got {len(command)} bytes, expected at most "
                f"{MAX_COMMAND_BYTES}"
            )
        entry = None if self.failure else self.core.propose(command)
        if entry is None:
            raise NotLeader(self.leader_id())
        applied = self.waiters.add_proposal(entry)
        self._wake()
        if not wait_for(applied, timeout_s):
            raise OutcomeUnknown(f"entry {entry.index} is not applied in time")
        return applied.wait()

    def confirm_leadership(self, timeout_s: float) -> None:
        request = self.core.request_read()
        if self.failure or request.confirmed is False:
            raise NotLeader(self.leader_id())
        request.waiter = Event()
        self._wake()
        if not wait_for(request.waiter, timeout_s) or not request.confirmed:
            raise NotLeader(self.leader_id())

    def leader_id(self) -> str:
        return self.core.state.leader_id

    def leader_silence_s(self) -> float:
        return max(self.clock.now() - self.core.state.last_leader_contact, 0.0)

    def term(self) -> int:
        """Returns the member's current term."""
        return self.core.state.term

    def own_address(self) -> str:
        """Returns the address at which the other members reach this one."""
        return self.core.state.options.address

    def member_addresses(self) -> list[str]:
        """Returns the addresses of all members."""
        members = self.core.state.membership.members
        return sorted(record.address for record in members.values())

    def voter_count(self) -> int:
        """Returns the number of voters."""
        return len(memberships.voters(self.core.state.membership))

    def leader_address(self) -> str:
        """Returns the known leader's address, or an empty string."""
        record = self.core.state.membership.members.get(self.leader_id())
        return record.address if record is not None else ""

    def leader_since(self) -> float | None:
        state = self.core.state
        if not state.is_leader() or self.leader_term != state.term:
            return None
        return self.became_leader_at

    def handle(self, messages: list[AnyMessage]) -> None:
        """Processes messages from other members."""
        now = self.clock.now()
        for message in messages:
            self.core.receive(message, now)
        self._wake()

    def exchange(self, messages: list[AnyMessage]) -> list[AnyMessage]:
        """Processes messages from one peer and does the pending work at once.

        :returns: the messages to that peer; what they acknowledge is synced.
        """
        if self.failure is not None or not messages:
            return []
        self.answered_identity = messages[0].source_identity
        self.handle(messages)
        self._do_work_or_fail()
        answers, self.answers = self.answers, []
        self.answered_identity = ""
        return answers

    def tick(self) -> None:
        """Handles timeouts that have expired."""
        self.core.tick(self.clock.now())
        self._wake()

    def remove_member(self, member_id: str) -> bool:
        """Removes a member permanently.

        Only the leader can do so. The caller retries until the member is no longer
        in the membership.

        :returns: whether the change was proposed.
        """
        proposed = self.core.remove_member(member_id, self.clock.now())
        self._wake()
        return proposed

    def _wake(self) -> None:
        if not self.wake_event.ready():
            self.wake_event.send()

    def _run_ticks(self) -> None:
        while True:
            self.tick()
            sleep(self.tick_s)

    def _run_work(self) -> None:
        while self.failure is None:
            self.wake_event.wait()
            self.wake_event = Event()
            # Yields so that tasks that are ready to propose share this sync.
            sleep()
            if self.send_appends():
                # Yields so that the messages are sent while this member syncs.
                sleep()
            self._do_work_or_fail()

    def send_appends(self) -> bool:
        """Sends a leader's appends, which need not wait for its own sync.

        :returns: whether anything was sent.
        """
        appends = self.core.take_appends(self.clock.now())
        self._send(appends)
        return bool(appends)

    def _do_work_or_fail(self) -> None:
        try:
            self.do_work()
        except StorageError as error:
            self._fail(error)
        except Exception as error:
            record_failure(error)
            self._fail(MemberFailed(repr(error)))

    def _fail(self, error: StorageError | MemberFailed) -> None:
        # The content of the disk is unknown, so this member must not vote or
        # acknowledge anything any more.
        self.failure = error
        self.became_leader_at = None
        self.waiters.fail_proposals()
        for task in self.tasks:
            task.kill()

    def do_work(self) -> None:
        """Stores, sends and applies all pending work.

        Returns at once if another task is inside this method: that task yields when
        it writes an event to a full pipe. It, or the next call, handles the new work.

        :raises StorageError: if the storage fails; the member must stop.
        """
        if self.is_working:
            return
        self.is_working = True
        try:
            self._do_work()
        finally:
            self.is_working = False

    def _do_work(self) -> None:
        work = self.core.take_work(self.clock.now())
        while not work.is_empty():
            self._store(work)
            self.core.work_synced(work, self.clock.now())
            self._send(work.messages)
            if work.snapshot is not None:
                self.state_machine.load_snapshot(work.snapshot.data)
            self._apply_committed()
            self.waiters.finish_reads(work.finished_reads)
            self.waiters.release_reads(self.core.state.applied_index)
            work = self.core.take_work(self.clock.now())
        self._apply_committed()
        self._update_leadership()
        self._write_snapshot()

    def _store(self, work: Work) -> None:
        state = self.core.state
        if work.snapshot is not None:
            self.storage.save_snapshot(
                work.snapshot,
                work.hard_state,
                state.log.base_index,
                state.log.base_term,
                work.entries,
            )
        elif work.hard_state is not None or work.entries:
            self.storage.write(work.hard_state, work.entries)
            self.storage.sync()

    def _send(self, messages: list[AnyMessage]) -> None:
        batches: dict[tuple[str, str], list[AnyMessage]] = {}
        for message in messages:
            if (
                message.target_identity
                and message.target_identity == self.answered_identity
            ):
                self.answers.append(message)
                continue
            address = self.core.address_of(message)
            batches.setdefault((message.target, address), []).append(message)
        for (member_id, address), batch in batches.items():
            if address:
                self.transport.send(member_id, address, batch)

    def _apply_committed(self) -> None:
        for entry in self.core.committed_entries():
            result = b""
            if entry.kind is EntryKind.command:
                result = self.state_machine.apply(entry.index, entry.data)
            elif entry.kind is EntryKind.membership:
                self._record_membership(entry)
            self.core.entry_applied(entry)
            self.waiters.answer(entry, result)

    def _record_membership(self, entry: Entry) -> None:
        membership = self.core.state.memberships.at(entry.index)
        voting = memberships.voters(membership)
        record_event(
            EventName.membership_changed,
            index=entry.index,
            voters=voting,
            learners=sorted(set(membership.members).difference(voting)),
        )

    def _update_leadership(self) -> None:
        self.waiters.release_reads(self.core.state.applied_index)
        state = self.core.state
        leads = state.is_leader() and state.applied_index >= state.term_start_index
        if self.leader_term and (not leads or self.leader_term != state.term):
            record_event(EventName.leader_lost, term=self.leader_term)
            self.leader_term = 0
            self.became_leader_at = None
        if leads and not self.leader_term:
            self.leader_term = state.term
            self.became_leader_at = self.clock.now()
            record_event(EventName.leader_elected, term=state.term)
        if not state.is_leader():
            self.waiters.fail_proposals()

    def _write_snapshot(self) -> None:
        state = self.core.state
        snapshot_index = state.snapshot.index if state.snapshot is not None else 0
        new_entries = state.applied_index - snapshot_index
        is_large = new_entries > 0 and state.log.size_bytes > MAX_LOG_BYTES
        if new_entries < self.snapshot_entries and not is_large:
            return
        snapshot = self.core.make_snapshot(self.state_machine.take_snapshot())
        self.core.compact(snapshot)
        self.storage.save_snapshot(
            snapshot,
            state.hard_state(),
            state.log.base_index,
            state.log.base_term,
            state.log.entries,
        )
        record_event(EventName.snapshot_written, index=snapshot.index)

"""A simulated cell: one fake clock, a lossy network and disks that can crash."""

import json
import random
from collections.abc import Callable

import msgspec

from godwitwheel.consensus.driver import ConsensusLog
from godwitwheel.consensus.errors import StorageError
from godwitwheel.consensus.messages import (
    AppendReply,
    EntryKind,
    HardState,
    Membership,
    VoteReply,
    VoteRequest,
)
from godwitwheel.consensus.replicated import StateMachine
from godwitwheel.consensus.state import MAX_VOTERS, ConsensusOptions
from godwitwheel.consensus.storage import Storage
from godwitwheel.consensus.transport import Transport
from godwitwheel.consensus.work import SavedState
from godwitwheel.internal.clock import ManualClock

ELECTION_TIMEOUT_S = 0.5
STEP_S = 0.05


class Crash(StorageError):
    """Raised by a fake disk to simulate a power loss."""


class FakeStorage(Storage):
    """An in-memory disk that may lose unsynced writes.

    :ivar crash_at: ``"before"`` or ``"after"`` raises :class:`Crash` before or after
        the next sync takes effect.
    """

    def __init__(self, identity: str):
        self.identity = identity
        self.synced = SavedState(identity)
        self.pending: list[object] = []
        self.crash_at = ""

    def load(self) -> SavedState:
        saved = self.synced
        return SavedState(
            saved.identity,
            saved.hard_state,
            saved.snapshot,
            saved.base_index,
            saved.base_term,
            list(saved.entries),
        )

    def write(self, hard_state, entries) -> None:
        if hard_state is not None:
            self.pending.append(hard_state)
        self.pending += entries

    def sync(self) -> None:
        crash_at, self.crash_at = self.crash_at, ""
        if crash_at == "before":
            raise Crash
        self._persist(len(self.pending))
        if crash_at == "after":
            raise Crash

    def save_snapshot(
        self, snapshot, hard_state, base_index, base_term, entries
    ) -> None:
        self.pending = []
        self.synced = SavedState(
            self.identity, hard_state, snapshot, base_index, base_term, list(entries)
        )

    def lose_power(self, rng: random.Random) -> None:
        """Keeps a random prefix of the unsynced writes and discards the rest."""
        self._persist(rng.randint(0, len(self.pending)))
        self.pending = []

    def _persist(self, count: int) -> None:
        for item in self.pending[:count]:
            if isinstance(item, HardState):
                self.synced.hard_state = item
            else:
                start = item.index - self.synced.base_index - 1
                assert start <= len(self.synced.entries)
                self.synced.entries[start:] = [item]
        del self.pending[:count]


class FakeTransport(Transport):
    """Queues messages on the cell's simulated network."""

    def __init__(self, cell: "Cell", source: str, storage: FakeStorage):
        self.cell = cell
        self.source = source
        self.storage = storage

    def send(self, member_id, address, messages) -> None:
        for message in messages:
            self._check_synced(message)
            self.cell.in_flight.append((self.source, address, message))

    def _check_synced(self, message) -> None:
        """Checks that the vote, term or entries a message relies on are synced."""
        synced = self.storage.synced
        term = synced.hard_state.term
        match message:
            case VoteReply(granted=True, pre_vote=False):
                vote = (term, synced.hard_state.vote)
                assert vote == (message.term, message.target_identity)
            case VoteRequest(pre_vote=False):
                vote = (term, synced.hard_state.vote)
                assert vote == (message.term, message.source_identity)
            case AppendReply(accepted=True) if term == message.term:
                last_index = synced.base_index + len(synced.entries)
                assert last_index >= message.match_index
        assert term >= message.term or getattr(message, "pre_vote", False)


class Register(StateMachine):
    """Records every command by index and compares it with all other members."""

    def __init__(self, cell: "Cell"):
        self.cell = cell
        self.commands: dict[int, str] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        text = command.decode()
        assert not self.commands or index > max(self.commands)
        assert self.cell.committed.setdefault(index, text) == text
        self.commands[index] = text
        self._check_prefix()
        return text.encode()

    def take_snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def load_snapshot(self, snapshot: bytes) -> None:
        loaded = json.loads(snapshot)
        self.commands = {int(index): text for index, text in loaded.items()}
        self._check_prefix()

    def _check_prefix(self) -> None:
        last = max(self.commands, default=0)
        expected = {
            index: text for index, text in self.cell.committed.items() if index <= last
        }
        assert self.commands == expected


class Member:
    """One member with its disk; ``log`` is ``None`` while it is down.

    :ivar known_members: members in its settings; the initial members if empty.
    """

    def __init__(self, cell: "Cell", member_id: str, join: bool = False):
        self.cell = cell
        self.member_id = member_id
        self.join = join
        self.known_members: list[str] = []
        self.log: ConsensusLog | None = None
        self.replace_disk()

    @property
    def state(self):
        return self.log.core.state

    def replace_disk(self) -> None:
        self.cell.disks_made += 1
        self.storage = FakeStorage(f"{self.member_id}-{self.cell.disks_made}")

    def start(self) -> None:
        options = ConsensusOptions(
            self.member_id,
            self.member_id,
            {
                member_id: member_id
                for member_id in self.known_members or self.cell.founders
            },
            may_bootstrap=not self.join,
            election_timeout_s=ELECTION_TIMEOUT_S,
            append_interval_s=STEP_S,
            voters=self.cell.voter_limit,
        )
        self.log = ConsensusLog(
            options,
            self.cell.make_state_machine(self.cell),
            self.storage,
            FakeTransport(self.cell, self.member_id, self.storage),
            self.cell.clock,
            self.cell.random,
            snapshot_entries=self.cell.snapshot_entries,
        )

    def crash(self) -> None:
        self.storage.lose_power(self.cell.random)
        self.log = None

    def work(self) -> None:
        """Does the pending work; crashes the member if its disk fails."""
        try:
            self.log.send_appends()
            self.log.do_work()
        except Crash:
            self.crash()
            return
        self.cell.check_leader(self)


class Cell:
    """Members, the network between them and the oracle that checks them.

    :ivar committed: every command that any member has applied, by index.
    :ivar leaders: the leader of each term, as ``id/identity``.
    :ivar cut: pairs of members that are partitioned from each other.
    :ivar paused: members that do not run, as on a suspended VM.
    :ivar drops: function that returns whether the network loses a message.
    :ivar voter_limit: maximum number of voters, for members that start later.
    :ivar make_state_machine: makes the state machine of a member that starts.
    """

    def __init__(
        self,
        size: int = 3,
        seed: int = 1,
        snapshot_entries: int = 4096,
        make_state_machine: Callable[["Cell"], StateMachine] = Register,
    ):
        self.make_state_machine = make_state_machine
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.snapshot_entries = snapshot_entries
        self.disks_made = 0
        self.in_flight: list[tuple] = []
        self.committed: dict[int, str] = {}
        self.leaders: dict[int, str] = {}
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.drops = lambda message: False
        self.voter_limit = MAX_VOTERS
        self.founders = [f"m{number}" for number in range(size)]
        self.members = {name: Member(self, name) for name in self.founders}
        for member in self.members.values():
            member.start()

    def running(self) -> list[Member]:
        """Returns the members that are up and not paused."""
        return [
            member
            for name, member in self.members.items()
            if member.log is not None and name not in self.paused
        ]

    def leader(self) -> Member | None:
        """Returns the running leader with the highest term."""
        leaders = [member for member in self.running() if member.state.is_leader()]
        return max(leaders, key=lambda member: member.state.term, default=None)

    def check_leader(self, member: Member) -> None:
        if member.state.is_leader():
            name = f"{member.member_id}/{member.state.identity}"
            assert self.leaders.setdefault(member.state.term, name) == name

    def isolate(self, *names: str) -> None:
        """Partitions the named members from all others."""
        for name in self.members:
            for other in names:
                if name not in names:
                    self.cut.add(frozenset((name, other)))

    def deliver(self, position: int = 0) -> None:
        """Delivers one message, unless it is lost or its members are partitioned."""
        source, address, message = self.in_flight.pop(position)
        member = self.members.get(address)
        if member not in self.running():
            return
        if frozenset((source, address)) in self.cut or self.drops(message):
            return
        member.log.handle([message])
        member.work()

    def settle(self) -> None:
        """Does all work and delivers all messages without advancing the clock."""
        for member in self.running():
            member.work()
        for _ in range(20_000):
            if not self.in_flight:
                return
            self.deliver()

    def disorderly_step(self, loss: float) -> None:
        """Advances the clock; messages are lost, duplicated, delayed and reordered.

        :param loss: probability that a message is lost, that it is duplicated, and
            that a member skips its tick.
        """
        self.clock.advance(self.random.random() * 2 * STEP_S)
        for member in self.running():
            if self.random.random() > loss:
                member.log.tick()
                member.work()
        for _ in range(len(self.in_flight)):
            if self.random.random() < 0.3:
                continue
            position = self.random.randrange(len(self.in_flight))
            if self.random.random() < loss:
                self.in_flight.pop(position)
                continue
            if self.random.random() < loss:
                self.in_flight.append(self.in_flight[position])
            self.deliver(position)

    def step(self, count: int = 1) -> None:
        """Advances the clock stepwise and delivers all messages in order."""
        for _ in range(count):
            self.clock.advance(STEP_S)
            for member in self.running():
                member.log.tick()
            self.settle()

    def step_until(self, condition, steps: int = 400) -> None:
        """Advances the clock until a condition holds."""
        for _ in range(steps):
            if condition():
                return
            self.step()
        raise AssertionError("the condition did not become true in time")

    def serving_leader(self) -> Member:
        """Advances the clock until a leader has applied its first entry."""

        def serves() -> bool:
            leader = self.leader()
            return leader is not None and leader.log.leader_since() is not None

        self.step_until(serves)
        return self.leader()

    def elect(self, member: Member) -> None:
        """Makes a member leader by letting no other one start an election."""
        self.clock.advance(3 * ELECTION_TIMEOUT_S)
        for other in self.running():
            other.state.election_deadline = self.clock.now() + 60
        for _ in range(3):
            if not member.state.is_leader():
                member.state.election_deadline = 0.0
                self.step()
        assert member.state.is_leader()

    def commit(self, command: str) -> int:
        """Commits a command and returns its index."""
        leader = self.serving_leader()
        entry = leader.log.core.propose(command.encode())
        self.step_until(lambda: entry.index in self.committed)
        assert self.committed[entry.index] == command
        return entry.index

    def read_everywhere(self) -> None:
        """Starts a read at every leader and checks its result."""
        for member in self.running():
            if member.state.is_leader():
                ReadProbe(member)
                member.work()

    def bears_loss_of(self, lost: Member) -> bool:
        """Whether the cell tolerates the loss of a member's disk.

        That is so if every membership that may be active keeps a quorum of disks.
        """
        intact = {member.storage.identity for member in self.members.values()}
        intact.discard(lost.storage.identity)
        return all(
            len(voter_identities(membership) & intact) * 2
            > len(voter_identities(membership))
            for membership in self._possible_memberships()
        )

    def _possible_memberships(self) -> list[Membership]:
        """Returns the latest membership known as committed and all later ones."""
        held = {}
        committed_at = 0
        for member in self.members.values():
            saved = member.storage.synced
            entries = [*saved.entries, *member.storage.pending]
            if member.log is not None:
                entries += member.state.log.entries
                applied_index = member.state.applied_index
                history = member.state.memberships
                held[applied_index, ""] = history.at(applied_index)
                committed_at = max(committed_at, applied_index)
            if saved.snapshot is not None:
                held[saved.snapshot.index, ""] = saved.snapshot.membership
            for entry in entries:
                if getattr(entry, "kind", None) is EntryKind.membership:
                    decoded = msgspec.json.decode(entry.data, type=Membership)
                    held[entry.index, entry.data] = decoded
        return [
            membership
            for (index, _), membership in held.items()
            if index >= committed_at
        ]

    def voters(self) -> set[str]:
        """Returns the identities of the voters in the leader's membership."""
        return voter_identities(self.leader().state.membership)


class ReadProbe:
    """A read at a leader that checks the state it returns.

    :ivar floor: last committed index when the read began; the read must reflect it.
    :ivar highest_term: highest term that had a leader when the read began.
    """

    def __init__(self, member: Member):
        self.done = False
        self.state = member.state
        self.floor = max(member.cell.committed, default=0)
        self.highest_term = max(member.cell.leaders, default=0)
        self.term = member.state.term
        self.request = member.log.core.request_read()
        self.request.waiter = self

    def send(self) -> None:
        """Called by the log when the read is confirmed and applied, or refused."""
        self.done = True
        if self.request.confirmed:
            assert self.term >= self.highest_term, "a deposed leader was confirmed"
            assert self.state.applied_index >= self.floor, "the read was stale"


def voter_identities(membership: Membership) -> set[str]:
    return {record.identity for record in membership.members.values() if record.voter}

"""One member of the replicated log, without I/O or a clock.

The driver calls :meth:`Consensus.tick` and :meth:`Consensus.receive`, then performs
the work that :meth:`Consensus.take_work` returns: it stores and syncs, calls
:meth:`Consensus.work_synced`, only then sends the messages, and applies the
committed entries.
"""

import random

from . import election, following, joining, reading, replication
from . import membership as memberships
from .messages import (
    AnyMessage,
    Append,
    AppendReply,
    Entry,
    EntryKind,
    Hello,
    HelloReply,
    Message,
    Snapshot,
    SnapshotPart,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .state import ConsensusOptions, MemberState
from .work import ReadRequest, SavedState, Work

TRAILING_ENTRIES = 1024
TRAILING_BYTES = 4 * 1024 * 1024


class Consensus:
    """Dispatches to the protocol modules, which share one :class:`MemberState`."""

    __slots__ = ("state", "joining")

    def __init__(
        self,
        options: ConsensusOptions,
        saved: SavedState,
        rng: random.Random,
        now: float,
    ):
        self.state = MemberState(options, saved, rng, now)
        self.joining = joining.JoiningState()

    def tick(self, now: float) -> None:
        """Handles timeouts that have expired by ``now``."""
        state = self.state
        if state.is_leader():
            replication.check_quorum(state, now)
        else:
            election.check_election(state, now)
        if state.is_leader() and now >= state.next_heartbeat_at:
            joining.check_promotion(state, now)
        joining.check_joining(state, self.joining, now)

    def receive(self, message: AnyMessage, now: float) -> None:
        """Handles a message; drops one that is addressed to another member."""
        state = self.state
        if message.target != state.options.member_id:
            return
        joining.record_peer_address(self.joining, message)
        if isinstance(message, Hello):
            joining.receive_hello(state, self.joining, message, now)
            return
        if message.target_identity != state.identity:
            return
        if isinstance(message, HelloReply):
            joining.receive_hello_reply(state, self.joining, message)
            return
        if joining.adopt_cell(state, message.cell):
            self._receive_in_cell(message, now)

    def _receive_in_cell(self, message: Message, now: float) -> None:
        state = self.state
        if isinstance(message, VoteRequest):
            election.receive_vote_request(state, message, now)
            return
        if message.term > state.term and not _is_pre_vote_grant(message):
            election.become_follower(state, now, message.term)
        match message:
            case VoteReply():
                election.receive_vote_reply(state, message, now)
            case Append() | SnapshotPart() if message.term < state.term:
                self._reject_stale_leader(message)
            case Append():
                following.receive_append(state, message, now)
            case SnapshotPart():
                following.receive_snapshot_part(state, message, now)
            case AppendReply() if message.term == state.term:
                replication.receive_append_reply(state, message, now)
                reading.finish_reads(state)
            case SnapshotReply() if message.term == state.term:
                replication.receive_snapshot_reply(state, message, now)
                reading.finish_reads(state)

    def _reject_stale_leader(self, message: Append | SnapshotPart) -> None:
        # The higher term in the reply makes the stale leader step down.
        self.state.reply(message, AppendReply, accepted=False, match_index=0, round=0)

    def propose(self, command: bytes) -> Entry | None:
        """Appends a command.

        :returns: the entry, or ``None`` if this member is not the leader.
        """
        if not self.state.is_leader():
            return None
        return replication.append_as_leader(self.state, EntryKind.command, command)

    def request_read(self) -> ReadRequest:
        """Requests a leadership confirmation that begins after this call."""
        return reading.request_read(self.state)

    def remove_member(self, member_id: str, now: float) -> bool:
        """Removes a member permanently.

        :returns: whether the change was appended; the caller retries if another
            change is uncommitted or no quorum of the remaining voters replied
            recently.
        """
        state = self.state
        if member_id not in state.membership.members:
            return False
        if not joining.may_change_membership(state):
            return False
        membership = memberships.without_member(state.membership, member_id)
        if not replication.has_active_quorum(state, membership, now):
            return False
        joining.change_membership(state, membership)
        return True

    def take_appends(self, now: float) -> list[Append]:
        """Returns a leader's appends, which may be sent before its own sync.

        This is safe: the leader counts its own entries towards a quorum only once
        they are synced, and its term is already synced.
        """
        state = self.state
        if not state.is_leader() or state.work.hard_state is not None:
            return []
        self._queue_appends(now)
        messages = state.work.messages
        state.work.messages = [m for m in messages if not isinstance(m, Append)]
        return [m for m in messages if isinstance(m, Append)]

    def _queue_appends(self, now: float) -> None:
        state = self.state
        if reading.begin_round(state):
            replication.send_round(state, now)
        if now >= state.next_heartbeat_at:
            replication.send_heartbeats(state, now)
        else:
            replication.send_new_entries(state, now)
        reading.finish_reads(state)

    def take_work(self, now: float) -> Work:
        """Returns the pending work; the caller does all of it in its order."""
        state = self.state
        if state.is_leader():
            self._queue_appends(now)
        work = state.work
        state.work = Work()
        if work.snapshot is not None:
            work.hard_state = state.hard_state()
            work.entries = list(state.log.entries)
        return work

    def work_synced(self, work: Work, now: float) -> None:
        """Records that the work's entries are synced."""
        state = self.state
        if work.entries:
            last = work.entries[-1]
            # The entry may have been replaced while it was being synced.
            if state.log.term_at(last.index) == last.term:
                state.synced_index = last.index
        elif work.snapshot is not None:
            state.synced_index = work.snapshot.index
        if state.is_leader():
            replication.advance_commit(state, now)

    def committed_entries(self) -> list[Entry]:
        """Returns the committed entries that are not applied yet."""
        state = self.state
        return state.log.between(state.applied_index + 1, state.commit_index)

    def entry_applied(self, entry: Entry) -> None:
        """Records that an entry was applied."""
        self.state.applied_index = entry.index

    def make_snapshot(self, data: bytes) -> Snapshot:
        """Returns a snapshot of the applied state."""
        state = self.state
        index = state.applied_index
        term = state.log.term_at(index)
        return Snapshot(index, term, state.memberships.at(index), data)

    def compact(self, snapshot: Snapshot) -> None:
        """Drops entries covered by a synced snapshot, except the latest ones."""
        state = self.state
        state.snapshot = snapshot
        state.memberships.compact(snapshot.index, snapshot.membership)
        base_index = state.log.compaction_base(
            snapshot.index, TRAILING_ENTRIES, TRAILING_BYTES
        )
        state.log.compact(base_index, state.log.term_at(base_index))

    def address_of(self, message: Message) -> str:
        """Returns the address of a message's target, or an empty string."""
        identity = message.target_identity
        if identity in self.joining.peer_addresses:
            return self.joining.peer_addresses[identity]
        record = self.state.membership.members.get(message.target)
        if record is not None and identity in ("", record.identity):
            return record.address
        if message.target in self.joining.reported_members:
            return self.joining.reported_members[message.target]
        return self.state.options.founders.get(message.target, "")


def _is_pre_vote_grant(message: Message) -> bool:
    return isinstance(message, VoteReply) and message.pre_vote and message.granted

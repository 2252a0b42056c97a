"""The state of one member, which the protocol modules read and write."""

import enum
import random

from .log import EntryLog
from .membership import MembershipHistory, is_voter
from .messages import Entry, HardState, Membership, Message
from .work import ReadRequest, SavedState, Work

MAX_VOTERS = 9
# Heartbeat intervals within which a leader that is still running reaches a member that
# has just started.
FIRST_CONTACT_HEARTBEATS = 2


class Role(enum.Enum):
    """Role of a member in its term."""

    follower = "follower"
    pre_candidate = "pre_candidate"
    candidate = "candidate"
    leader = "leader"


class ConsensusOptions:
    """Options of a member.

    :ivar founders: addresses of the initial members by id.
    :ivar may_bootstrap: whether the member may take part in bootstrapping a cell.
    :ivar election_timeout_s: minimum time without a leader's message before an
        election.
    :ivar append_interval_s: time between a leader's heartbeats.
    :ivar voters: maximum number of voters; further members are standby learners,
        which replace unresponsive voters.
    """

    __slots__ = (
        "member_id",
        "address",
        "founders",
        "may_bootstrap",
        "election_timeout_s",
        "append_interval_s",
        "voters",
    )

    def __init__(
        self,
        member_id: str,
        address: str,
        founders: dict[str, str],
        may_bootstrap: bool = True,
        election_timeout_s: float = 0.5,
        append_interval_s: float = 0.05,
        voters: int = MAX_VOTERS,
    ):
        self.member_id = member_id
        self.address = address
        self.founders = founders
        self.may_bootstrap = may_bootstrap
        self.election_timeout_s = election_timeout_s
        self.append_interval_s = append_interval_s
        self.voters = voters


class MemberState:
    """The complete protocol state of a member.

    :ivar leader_id: the known leader of ``term``, or empty.
    :ivar last_leader_contact: when a leader's message was last received; for a member
        that has just started, a time that allows for one that is on its way.
    :ivar awaits_first_leader: whether this member has known no leader since it started.
    :ivar synced_index: last index that is synced here.
    :ivar term_start_index: index of the leader's first entry in its term.
    :ivar progress: on a leader, the replication state of its peers.
    :ivar reads: reads that wait for a leadership confirmation round.
    :ivar work: pending work since the driver last took it.
    """

    __slots__ = (
        "options",
        "identity",
        "random",
        "cell",
        "term",
        "vote",
        "role",
        "leader_id",
        "log",
        "memberships",
        "snapshot",
        "commit_index",
        "applied_index",
        "synced_index",
        "last_leader_contact",
        "awaits_first_leader",
        "election_deadline",
        "votes",
        "term_start_index",
        "progress",
        "next_heartbeat_at",
        "round",
        "reads",
        "incoming",
        "work",
    )

    def __init__(
        self,
        options: ConsensusOptions,
        saved: SavedState,
        rng: random.Random,
        now: float,
    ):
        self.options = options
        self.identity = saved.identity
        self.random = rng
        self.cell = saved.hard_state.cell
        self.term = saved.hard_state.term
        self.vote = saved.hard_state.vote
        self.role = Role.follower
        self.leader_id = ""
        self.snapshot = saved.snapshot
        self.log = EntryLog(saved.base_index, saved.base_term, list(saved.entries))
        self.memberships = _restore_memberships(saved)
        self.applied_index = saved.snapshot.index if saved.snapshot else 0
        self.commit_index = self.applied_index
        self.synced_index = self.log.last_index
        # A restarted member can't know when a leader last contacted it.
        first_contact_s = FIRST_CONTACT_HEARTBEATS * options.append_interval_s
        self.last_leader_contact = now + first_contact_s - options.election_timeout_s
        self.awaits_first_leader = True
        self.election_deadline = now
        self.votes: set[str] = set()
        self.term_start_index = 0
        self.progress = {}
        self.next_heartbeat_at = now
        self.round = 0
        self.reads: list[ReadRequest] = []
        self.incoming = None
        self.work = Work()
        self.reset_election_timeout(now)

    @property
    def membership(self) -> Membership:
        """The active membership."""
        return self.memberships.latest

    def hard_state(self) -> HardState:
        """Returns the state that must be synced before a vote or reply is sent."""
        return HardState(self.cell, self.term, self.vote)

    def is_leader(self) -> bool:
        """Whether this member is leader of its term, as far as it knows."""
        return self.role is Role.leader

    def is_voter(self) -> bool:
        """Whether this member counts towards quorums."""
        return is_voter(self.membership, self.options.member_id, self.identity)

    def may_campaign(self) -> bool:
        """Whether this member may start an election.

        A member whose removal is not known to be committed may do so: it can be
        the only one that holds the removal entry, and members with a shorter log
        can't win an election against it.
        """
        if self.is_voter():
            return True
        return self.memberships.latest_index > self.commit_index and is_voter(
            self.memberships.previous, self.options.member_id, self.identity
        )

    def reset_election_timeout(self, now: float) -> None:
        """Draws a new election timeout, from 1 to 2 times the shortest one.

        A member that awaits its first leader waits only as long as a heartbeat takes,
        since no caller is served after all members have stopped.
        """
        shortest_s = self.options.election_timeout_s
        if self.awaits_first_leader:
            shortest_s = FIRST_CONTACT_HEARTBEATS * self.options.append_interval_s
        self.election_deadline = now + shortest_s * (1.0 + self.random.random())

    def record_leader(self, now: float) -> None:
        """Records a message of the leader."""
        self.last_leader_contact = now
        self.awaits_first_leader = False

    def has_recent_leader_contact(self, now: float) -> bool:
        """Whether a leader may still rely on this member not granting a vote."""
        return now < self.last_leader_contact + self.options.election_timeout_s

    def set_term(self, term: int, vote: str = "") -> None:
        """Enters a term or records this member's vote in it."""
        self.term = term
        self.vote = vote
        self.work.hard_state = self.hard_state()

    def append_entry(self, entry: Entry) -> None:
        """Appends an entry to the log and queues it for storage."""
        self.log.append(entry)
        self.memberships.add_entry(entry)
        self.work.entries.append(entry)

    def send(self, kind: type[Message], target: str, identity: str, **fields) -> None:
        """Queues a message that is sent after the next sync.

        :param fields: fields of the message; ``term`` defaults to the current one.
        """
        fields.setdefault("term", self.term)
        message = kind(
            cell=self.cell,
            source=self.options.member_id,
            source_identity=self.identity,
            target=target,
            target_identity=identity,
            **fields,
        )
        self.work.messages.append(message)

    def reply(self, to: Message, kind: type[Message], **fields) -> None:
        """Queues a reply to the sender of a message."""
        self.send(kind, to.source, to.source_identity, **fields)


def _restore_memberships(saved: SavedState) -> MembershipHistory:
    base = saved.snapshot.membership if saved.snapshot else Membership()
    history = MembershipHistory(base)
    for entry in saved.entries:
        if saved.snapshot is None or entry.index > saved.snapshot.index:
            history.add_entry(entry)
    return history

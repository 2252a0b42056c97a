"""Messages between members, and the structures that are also stored on disk."""

import enum

import msgspec


class EntryKind(enum.StrEnum):
    """What a log entry holds."""

    command = "command"
    membership = "membership"
    no_op = "no_op"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; ``data`` is the command or the encoded membership."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class MemberRecord(msgspec.Struct, frozen=True):
    """A member as recorded in the log.

    :ivar identity: random id created with the member's data folder; a member with
        a lost folder gets a new identity under the same member id.
    :ivar voter: whether it counts towards quorums; a learner does not.
    """

    identity: str
    address: str
    voter: bool


class Membership(msgspec.Struct, frozen=True):
    """The voters and learners of a cell, by id.

    :ivar retired: identities that must not join again, the latest last.
    """

    members: dict[str, MemberRecord] = {}
    retired: list[str] = []


class HardState(msgspec.Struct, frozen=True):
    """The term state that must be synced before a vote or reply based on it is sent.

    :ivar cell: identity of the cell that this log belongs to, which is the identity
        of the member that bootstrapped it; empty before the first contact.
    :ivar vote: identity that this member voted for in ``term``, or empty.
    """

    cell: str = ""
    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """The applied state up to and including ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Common fields of all messages, which are sent as arrays without field names.

    A member is addressed by its id and its identity together: a member that lost
    its disk has the old id, but is a different member.

    :ivar source_address: where to send the reply, if the target may not know it: a
        lagging member does not know one that was added later.
    """

    cell: str
    source: str
    source_identity: str
    target: str
    target_identity: str
    term: int
    source_address: str = ""


class VoteRequest(Message, tag="vote_request"):
    """Requests a vote; with ``pre_vote``, only asks whether it would be granted."""

    pre_vote: bool
    last_index: int
    last_term: int


class VoteReply(Message, tag="vote_reply"):
    """Reply to a :class:`VoteRequest`."""

    pre_vote: bool
    granted: bool


class Append(Message, tag="append"):
    """Entries after ``previous_index``; without entries it is a heartbeat.

    :ivar round: the leader's latest leadership confirmation round.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: list[Entry] = []


class AppendReply(Message, tag="append_reply"):
    """Reply to an :class:`Append`, sent after the entries are synced.

    :ivar match_index: last index known to match the leader's log or, if not
        accepted, the last one that may match.
    """

    accepted: bool
    match_index: int
    round: int


class SnapshotPart(Message, tag="snapshot_part"):
    """A part of a snapshot for a member that lags behind the leader's first entry.

    :ivar offset: where ``data`` begins within the snapshot's data.
    :ivar total_bytes: length of the snapshot's data.
    """

    index: int
    last_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(Message, tag="snapshot_reply"):
    """Reports how many bytes of the snapshot at ``index`` have been received."""

    index: int
    received_bytes: int
    round: int


class Hello(Message, tag="hello"):
    """Announces a member to its peers.

    A member sends it while its log is empty, the membership lacks its identity or
    current address, or it is a learner without contact to a leader.

    :ivar founders: ids of the initial members in its settings, sorted; empty if it
        must not bootstrap a cell.
    """

    founders: list[str]


class HelloReply(Message, tag="hello_reply"):
    """Reply to a :class:`Hello`; with ``has_log``, the peer belongs to a cell.

    :ivar members: addresses of the members that the peer knows, by id; the settings
        of a joining member may not include the leader.
    """

    has_log: bool
    founders: list[str]
    members: dict[str, str] = {}


AnyMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotPart
    | SnapshotReply
    | Hello
    | HelloReply
)


class Packet(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/consensus`` and of its reply.

    The reply contains the peer's messages to the sender after it handled the request.
    """

    messages: list[AnyMessage]

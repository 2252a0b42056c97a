"""Messages between members, and the records that they share with the disk."""

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
    """A member as the log knows it.

    :ivar identity: random identity that its data folder got when it was created.
    :ivar voter: whether it counts for quorums; a learner does not.
    """

    identity: str
    address: str
    voter: bool


class Membership(msgspec.Struct, frozen=True):
    """Who takes part.

    :ivar retired: identities that may never come back, the latest last.
    """

    members: dict[str, MemberRecord] = {}
    retired: list[str] = []


class HardState(msgspec.Struct, frozen=True):
    """What a member must have synced before it promises anything.

    :ivar cell: identity of the cell whose log this is; empty before the first
        contact.
    :ivar vote: identity that got this member's vote in ``term``, or empty.
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


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", omit_defaults=True
):
    """What every message carries.

    A member is meant by its id and its identity together: an empty disk under an
    old id is another member.

    :ivar source_address: where to answer, if the target may not know it: a member
        that lags does not know one that was added later.
    """

    cell: str
    source: str
    source_identity: str
    target: str
    target_identity: str
    term: int
    source_address: str = ""


class VoteRequest(Message, tag="vote_request"):
    """Asks for a vote; ``pre_vote`` only asks whether it would be granted."""

    pre_vote: bool
    last_index: int
    last_term: int


class VoteReply(Message, tag="vote_reply"):
    """Answers a :class:`VoteRequest`."""

    pre_vote: bool
    granted: bool


class Append(Message, tag="append"):
    """Entries after ``previous_index``; without entries it is a heartbeat.

    :ivar round: the leader's latest round of confirming its leadership.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: list[Entry] = []


class AppendReply(Message, tag="append_reply"):
    """Answers an :class:`Append` after the entries were synced.

    :ivar match_index: last index known to agree with the leader's log or, if not
        accepted, the last one that may agree.
    """

    accepted: bool
    match_index: int
    round: int


class SnapshotPart(Message, tag="snapshot_part"):
    """A part of a snapshot for a member that is far behind.

    :ivar offset: where ``data`` begins within the snapshot's data.
    :ivar total_bytes: length of the whole data.
    """

    index: int
    last_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(Message, tag="snapshot_reply"):
    """Says how many bytes of the snapshot at ``index`` have arrived."""

    index: int
    received_bytes: int
    round: int


class Hello(Message, tag="hello"):
    """Introduces a member without a place in any membership to its peers.

    :ivar founders: ids of the members that its settings name, sorted; empty if it
        must not found a cell.
    """

    founders: list[str]


class HelloReply(Message, tag="hello_reply"):
    """Introduces the peer; ``has_log`` says that it already belongs to a cell.

    :ivar members: addresses of the members that the peer knows, by id; the one that
        joins may have been told of none that leads.
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

    The reply carries what the peer has to say when it has handled the request.
    """

    messages: list[AnyMessage]

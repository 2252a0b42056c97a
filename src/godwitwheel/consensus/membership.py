"""Memberships: quorums, single-member changes and their history in the log."""

import msgspec

from .messages import Entry, EntryKind, MemberRecord, Membership

MAX_RETIRED = 64


def is_member(membership: Membership, member_id: str, identity: str) -> bool:
    """Whether the membership contains the member with this id and identity."""
    record = membership.members.get(member_id)
    return record is not None and record.identity == identity


def is_voter(membership: Membership, member_id: str, identity: str) -> bool:
    """Whether the member with this id and identity is a voter."""
    return (
        is_member(membership, member_id, identity)
        and membership.members[member_id].voter
    )


def voters(membership: Membership) -> list[str]:
    """Returns the ids of the voters."""
    return [
        member_id for member_id, record in membership.members.items() if record.voter
    ]


def quorum_size(membership: Membership) -> int:
    """Returns how many voters form a quorum, a majority."""
    return len(voters(membership)) // 2 + 1


def quorum_value(membership: Membership, values: dict[str, float]) -> float:
    """Returns the highest value that a quorum of the voters has reached.

    :param values: the value of each voter; a missing voter counts as 0.
    """
    reached = sorted(values.get(voter, 0) for voter in voters(membership))
    if not reached:
        return 0
    return reached[len(reached) - quorum_size(membership)]


def with_learner(
    membership: Membership, member_id: str, identity: str, address: str
) -> Membership:
    """Adds a learner."""
    record = MemberRecord(identity, address, voter=False)
    return Membership({**membership.members, member_id: record}, membership.retired)


def with_voter(membership: Membership, member_id: str) -> Membership:
    """Promotes a learner to voter."""
    record = msgspec.structs.replace(membership.members[member_id], voter=True)
    return Membership({**membership.members, member_id: record}, membership.retired)


def with_demoted(membership: Membership, member_id: str) -> Membership:
    """Demotes a voter to learner."""
    record = msgspec.structs.replace(membership.members[member_id], voter=False)
    return Membership({**membership.members, member_id: record}, membership.retired)


def with_address(membership: Membership, member_id: str, address: str) -> Membership:
    """Changes the address of a member."""
    record = msgspec.structs.replace(membership.members[member_id], address=address)
    return Membership({**membership.members, member_id: record}, membership.retired)


def without_member(membership: Membership, member_id: str) -> Membership:
    """Removes a member and retires its identity, which can't join again."""
    members = dict(membership.members)
    identity = members.pop(member_id).identity
    return Membership(members, [*membership.retired, identity][-MAX_RETIRED:])


class MembershipHistory:
    """The memberships in the log, so that a truncated change can be rolled back.

    A membership is active as soon as it is appended, committed or not.

    :ivar base: the membership before the first of ``changes``.
    :ivar changes: the index of each change and the membership from there on.
    """

    __slots__ = ("base", "changes")

    def __init__(self, base: Membership):
        self.base = base
        self.changes: list[tuple[int, Membership]] = []

    @property
    def latest(self) -> Membership:
        """The active membership."""
        return self.changes[-1][1] if self.changes else self.base

    @property
    def previous(self) -> Membership:
        """The membership before the latest change."""
        return self.changes[-2][1] if len(self.changes) > 1 else self.base

    @property
    def latest_index(self) -> int:
        """Index of the latest change that is not compacted, 0 if there is none."""
        return self.changes[-1][0] if self.changes else 0

    def at(self, index: int) -> Membership:
        """Returns the membership as of an index."""
        found = self.base
        for changed_at, membership in self.changes:
            if changed_at <= index:
                found = membership
        return found

    def add_entry(self, entry: Entry) -> None:
        """Records an appended entry if it changes the membership."""
        if entry.kind is EntryKind.membership:
            decoded = msgspec.json.decode(entry.data, type=Membership)
            self.changes.append((entry.index, decoded))

    def truncate_from(self, index: int) -> None:
        """Rolls back the changes at ``index`` and later."""
        self.changes = [change for change in self.changes if change[0] < index]

    def compact(self, index: int, membership: Membership) -> None:
        """Drops the changes up to ``index``, at which ``membership`` was active."""
        self.base = membership
        self.changes = [change for change in self.changes if change[0] > index]

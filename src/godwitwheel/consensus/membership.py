"""Memberships: quorums, single-member changes, and their history in the log."""

import msgspec

from .messages import Entry, EntryKind, MemberRecord, Membership

MAX_RETIRED = 64


def is_member(membership: Membership, member_id: str, identity: str) -> bool:
    """Whether the membership holds this very member."""
    record = membership.members.get(member_id)
    return record is not None and record.identity == identity


def is_voter(membership: Membership, member_id: str, identity: str) -> bool:
    """Whether this very member counts for quorums."""
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
    """Returns how many voters make a quorum."""
    return len(voters(membership)) // 2 + 1


def quorum_value(membership: Membership, values: dict[str, float]) -> float:
    """Returns the highest value that a quorum of the voters has reached.

    :param values: what each voter has reached; 0 for a voter that is missing.
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
    """Makes a learner a voter."""
    record = msgspec.structs.replace(membership.members[member_id], voter=True)
    return Membership({**membership.members, member_id: record}, membership.retired)


def with_demoted(membership: Membership, member_id: str) -> Membership:
    """Makes a voter a learner."""
    record = msgspec.structs.replace(membership.members[member_id], voter=False)
    return Membership({**membership.members, member_id: record}, membership.retired)


def with_address(membership: Membership, member_id: str, address: str) -> Membership:
    """Changes the address of a member."""
    record = msgspec.structs.replace(membership.members[member_id], address=address)
    return Membership({**membership.members, member_id: record}, membership.retired)


def without_member(membership: Membership, member_id: str) -> Membership:
    """Removes a member; its identity can't come back."""
    members = dict(membership.members)
    identity = members.pop(member_id).identity
    return Membership(members, [*membership.retired, identity][-MAX_RETIRED:])


class MembershipHistory:
    """The memberships of the log, so that a truncated one can be taken back.

    A membership is in force from its place in the log on, committed or not.
    """

    __slots__ = ("base", "changes")

    def __init__(self, base: Membership):
        self.base = base
        self.changes: list[tuple[int, Membership]] = []

    @property
    def latest(self) -> Membership:
        """The membership in force."""
        return self.changes[-1][1] if self.changes else self.base

    @property
    def previous(self) -> Membership:
        """The membership before the latest change."""
        return self.changes[-2][1] if len(self.changes) > 1 else self.base

    @property
    def latest_index(self) -> int:
        """Index of the latest change that is still in the held log, else 0."""
        return self.changes[-1][0] if self.changes else 0

    def at(self, index: int) -> Membership:
        """Returns the membership as of an index."""
        found = self.base
        for changed_at, membership in self.changes:
            if changed_at <= index:
                found = membership
        return found

    def add_entry(self, entry: Entry) -> None:
        """Takes an entry that was appended to the log."""
        if entry.kind is EntryKind.membership:
            decoded = msgspec.json.decode(entry.data, type=Membership)
            self.changes.append((entry.index, decoded))

    def truncate_from(self, index: int) -> None:
        """Takes back the changes at ``index`` and later."""
        self.changes = [change for change in self.changes if change[0] < index]

    def compact(self, index: int, membership: Membership) -> None:
        """Forgets the changes up to ``index``, as of which ``membership`` was."""
        self.base = membership
        self.changes = [change for change in self.changes if change[0] > index]

"""Founding a cell, and the way of a new member from learner to voter."""

import msgspec

from . import membership as memberships
from .messages import (
    Entry,
    EntryKind,
    HardState,
    Hello,
    HelloReply,
    MemberRecord,
    Membership,
    Message,
)
from .replication import append_as_leader, hears_quorum
from .state import MemberState

FIRST_TERM = 1
# A member that is silent for this many election timeouts counts as gone.
SILENT_TIMEOUTS = 2
# A voter that is silent for this many election timeouts gives its vote to a learner
# that has caught up. Shorter cuts are over before a learner could help.
DEMOTION_TIMEOUTS = 3
MAX_HEARD_ADDRESSES = 64


class Joining:
    """What a member knows of peers outside its membership.

    :ivar founders_seen: identities of founders that have no log either, by id.
    :ivar heard_addresses: addresses that peers gave in messages, by identity.
    :ivar told_members: addresses of members that peers named, by id.
    """

    __slots__ = ("next_hello", "founders_seen", "heard_addresses", "told_members")

    def __init__(self):
        self.next_hello = 0.0
        self.founders_seen: dict[str, str] = {}
        self.heard_addresses: dict[str, str] = {}
        self.told_members: dict[str, str] = {}


def note_address(joining: Joining, message: Message) -> None:
    """Remembers where a peer can be answered."""
    if not message.source_address:
        return
    if len(joining.heard_addresses) >= MAX_HEARD_ADDRESSES:
        joining.heard_addresses.clear()
    joining.heard_addresses[message.source_identity] = message.source_address


def founder_ids(state: MemberState) -> list[str]:
    """Returns the ids with which this member would found a cell."""
    return sorted(state.options.founders) if state.options.may_found else []


def check_joining(state: MemberState, joining: Joining, now: float) -> None:
    """Introduces this member, or founds the cell when all founders are there."""
    if now < joining.next_hello or not _needs_hello(state, now):
        return
    joining.next_hello = now + state.options.election_timeout_s / 2
    if _may_found(state, joining):
        _found(state, joining)
        return
    known = {
        *state.options.founders,
        *state.membership.members,
        *joining.told_members,
    }
    for member_id in sorted(known):
        if member_id != state.options.member_id:
            state.send(
                Hello,
                member_id,
                "",
                source_address=state.options.address,
                founders=founder_ids(state),
            )


def _needs_hello(state: MemberState, now: float) -> bool:
    if state.log.last_index == 0:
        return True
    if state.is_leader():
        return False
    record = state.membership.members.get(state.options.member_id)
    if record is None or record.identity != state.identity:
        return True
    if record.address != state.options.address:
        return True
    return not record.voter and not state.heard_leader_lately(now)


def _may_found(state: MemberState, joining: Joining) -> bool:
    founders = founder_ids(state)
    if not founders or founders[0] != state.options.member_id:
        return False
    if state.log.last_index > 0:
        return False
    # Every founder must be there with an empty log: a majority that lost its
    # disks must not found the cell a second time beside the member that did not.
    return set(joining.founders_seen) == set(founders[1:])


def _found(state: MemberState, joining: Joining) -> None:
    identities = {**joining.founders_seen, state.options.member_id: state.identity}
    members = {
        member_id: MemberRecord(identities[member_id], address, voter=True)
        for member_id, address in sorted(state.options.founders.items())
    }
    data = msgspec.json.encode(Membership(members))
    state.cell = state.identity
    state.set_term(max(state.term, FIRST_TERM), state.identity)
    state.append_entry(Entry(1, state.term, EntryKind.membership, data))
    joining.founders_seen = {}


def receive_hello(
    state: MemberState, joining: Joining, hello: Hello, now: float
) -> None:
    """Answers a member that introduces itself; a leader takes it in."""
    state.reply(
        hello,
        HelloReply,
        has_log=state.log.last_index > 0,
        founders=founder_ids(state),
        members={
            member_id: record.address
            for member_id, record in state.membership.members.items()
        },
    )
    if state.is_leader() and hello.cell in ("", state.cell):
        _admit(state, hello, now)


def receive_hello_reply(
    state: MemberState, joining: Joining, reply: HelloReply
) -> None:
    """Notes whether a peer could found a cell with this member, and whom it knows."""
    if len(joining.told_members) < MAX_HEARD_ADDRESSES:
        joining.told_members.update(reply.members)
    if not reply.has_log and reply.founders == founder_ids(state):
        joining.founders_seen[reply.source] = reply.source_identity
    else:
        joining.founders_seen.pop(reply.source, None)


def may_change_membership(state: MemberState) -> bool:
    """Whether the leader may append a change: only one is open at a time."""
    return (
        state.is_leader()
        and state.commit_index >= state.term_start_index
        and state.commit_index >= state.memberships.latest_index
    )


def change_membership(state: MemberState, membership: Membership) -> None:
    """Appends a membership that differs from the present one by one member."""
    data = msgspec.json.encode(membership)
    append_as_leader(state, EntryKind.membership, data)


def _admit(state: MemberState, hello: Hello, now: float) -> None:
    member_id, identity = hello.source, hello.source_identity
    membership = state.membership
    if identity in membership.retired or not may_change_membership(state):
        return
    record = membership.members.get(member_id)
    if record is None:
        changed = memberships.with_learner(
            membership, member_id, identity, hello.source_address
        )
    elif record.identity == identity:
        changed = memberships.with_address(membership, member_id, hello.source_address)
    elif _is_silent(state, member_id, now):
        # The old disk is lost. Its identity goes before the new one comes: the
        # two may never count as the same voter.
        changed = memberships.without_member(membership, member_id)
    else:
        return
    if changed != membership:
        change_membership(state, changed)


def _is_silent(
    state: MemberState, member_id: str, now: float, timeouts: int = SILENT_TIMEOUTS
) -> bool:
    """Whether a member has not answered for some election timeouts."""
    progress = state.progress.get(member_id)
    if progress is None:
        return False
    return now - progress.heard_at > timeouts * state.options.election_timeout_s


def check_promotion(state: MemberState, now: float) -> None:
    """Makes a learner that has caught up a voter, if there is room for one.

    A voter that has been silent for long makes room first. It stays a learner, so
    that it can vote again if it comes back and is needed.
    """
    if not may_change_membership(state):
        return
    learner_id = _caught_up_learner(state, now)
    if not learner_id:
        return
    membership = state.membership
    if len(memberships.voters(membership)) < state.options.voters:
        change_membership(state, memberships.with_voter(membership, learner_id))
        return
    silent_id = _silent_voter(state, now)
    if not silent_id:
        return
    changed = memberships.with_demoted(membership, silent_id)
    if hears_quorum(state, changed, now):
        change_membership(state, changed)


def _caught_up_learner(state: MemberState, now: float) -> str:
    for member_id, record in state.membership.members.items():
        progress = state.progress.get(member_id)
        if record.voter or progress is None:
            continue
        if _is_silent(state, member_id, now):
            continue
        if progress.match_index >= progress.catch_up_index >= state.term_start_index:
            return member_id
    return ""


def _silent_voter(state: MemberState, now: float) -> str:
    for member_id, record in state.membership.members.items():
        if record.voter and _is_silent(state, member_id, now, DEMOTION_TIMEOUTS):
            return member_id
    return ""


def enter_cell(state: MemberState, cell: str) -> bool:
    """Takes part in a cell that knows this member's identity.

    :returns: whether this member may handle messages of that cell.
    """
    if cell == state.cell:
        return True
    if not cell or state.log.last_index > 0:
        return False
    state.cell = cell
    state.work.hard_state = HardState(cell, state.term, state.vote)
    return True

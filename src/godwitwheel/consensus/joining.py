"""Bootstraps a cell, adds new members as learners and promotes them to voters."""

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
from .replication import append_as_leader, has_active_quorum
from .state import MemberState

FIRST_TERM = 1
# A member that has not replied for this many election timeouts is unresponsive.
UNRESPONSIVE_TIMEOUTS = 2
# A voter that has not replied for this many election timeouts is demoted in favour of
# a learner that has caught up. Shorter outages end before a learner could help.
DEMOTION_TIMEOUTS = 3
MAX_PEER_ADDRESSES = 64


class JoiningState:
    """What a member knows of peers outside its membership.

    :ivar ready_members: identities of the initial members that have an empty log and
        the same list of initial members, by id.
    :ivar peer_addresses: source addresses of received messages, by identity.
    :ivar reported_members: member addresses from peers' hello replies, by id.
    """

    __slots__ = (
        "next_hello_at",
        "ready_members",
        "peer_addresses",
        "reported_members",
    )

    def __init__(self):
        self.next_hello_at = 0.0
        self.ready_members: dict[str, str] = {}
        self.peer_addresses: dict[str, str] = {}
        self.reported_members: dict[str, str] = {}


def record_peer_address(joining: JoiningState, message: Message) -> None:
    """Records the address to which replies to a peer go."""
    if not message.source_address:
        return
    if len(joining.peer_addresses) >= MAX_PEER_ADDRESSES:
        joining.peer_addresses.clear()
    joining.peer_addresses[message.source_identity] = message.source_address


def initial_member_ids(state: MemberState) -> list[str]:
    """Returns the ids of the initial members; none if bootstrapping is not allowed."""
    return sorted(state.options.founders) if state.options.may_bootstrap else []


def check_joining(state: MemberState, joining: JoiningState, now: float) -> None:
    """Sends hellos, or bootstraps the cell once all initial members are ready."""
    if now < joining.next_hello_at or not _needs_hello(state, now):
        return
    joining.next_hello_at = now + state.options.election_timeout_s / 2
    if _may_bootstrap(state, joining):
        _bootstrap(state, joining)
        return
    known = {
        *state.options.founders,
        *state.membership.members,
        *joining.reported_members,
    }
    for member_id in sorted(known):
        if member_id != state.options.member_id:
            state.send(
                Hello,
                member_id,
                "",
                source_address=state.options.address,
                founders=initial_member_ids(state),
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
    return not record.voter and not state.has_recent_leader_contact(now)


def _may_bootstrap(state: MemberState, joining: JoiningState) -> bool:
    founders = initial_member_ids(state)
    if not founders or founders[0] != state.options.member_id:
        return False
    if state.log.last_index > 0:
        return False
    # Every initial member must have reported an empty log: a majority that lost its
    # disks must not bootstrap a second cell beside the member that did not.
    return set(joining.ready_members) == set(founders[1:])


def _bootstrap(state: MemberState, joining: JoiningState) -> None:
    identities = {**joining.ready_members, state.options.member_id: state.identity}
    members = {
        member_id: MemberRecord(identities[member_id], address, voter=True)
        for member_id, address in sorted(state.options.founders.items())
    }
    data = msgspec.json.encode(Membership(members))
    state.cell = state.identity
    state.set_term(max(state.term, FIRST_TERM), state.identity)
    state.append_entry(Entry(1, state.term, EntryKind.membership, data))
    joining.ready_members = {}


def receive_hello(
    state: MemberState, joining: JoiningState, hello: Hello, now: float
) -> None:
    """Replies to a hello; a leader also admits the sender to the membership."""
    state.reply(
        hello,
        HelloReply,
        has_log=state.log.last_index > 0,
        founders=initial_member_ids(state),
        members={
            member_id: record.address
            for member_id, record in state.membership.members.items()
        },
    )
    if state.is_leader() and hello.cell in ("", state.cell):
        _admit(state, hello, now)


def receive_hello_reply(
    state: MemberState, joining: JoiningState, reply: HelloReply
) -> None:
    """Records a peer's members and whether it could bootstrap a cell with this one."""
    if len(joining.reported_members) < MAX_PEER_ADDRESSES:
        joining.reported_members.update(reply.members)
    if not reply.has_log and reply.founders == initial_member_ids(state):
        joining.ready_members[reply.source] = reply.source_identity
    else:
        joining.ready_members.pop(reply.source, None)


def may_change_membership(state: MemberState) -> bool:
    """Whether the leader may append a change: only one may be uncommitted."""
    return (
        state.is_leader()
        and state.commit_index >= state.term_start_index
        and state.commit_index >= state.memberships.latest_index
    )


def change_membership(state: MemberState, membership: Membership) -> None:
    """Appends a membership that differs from the current one by one member."""
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
    elif _is_unresponsive(state, member_id, now):
        # The old disk is lost. Its identity is removed before the new one is added:
        # the two must never count as the same voter.
        changed = memberships.without_member(membership, member_id)
    else:
        return
    if changed != membership:
        change_membership(state, changed)


def _is_unresponsive(
    state: MemberState,
    member_id: str,
    now: float,
    timeouts: int = UNRESPONSIVE_TIMEOUTS,
) -> bool:
    """Whether a member has not replied for some election timeouts."""
    progress = state.progress.get(member_id)
    if progress is None:
        return False
    return now - progress.last_reply_at > timeouts * state.options.election_timeout_s


def check_promotion(state: MemberState, now: float) -> None:
    """Promotes a learner that has caught up, unless the voter limit is reached.

    At the limit, a voter that has been unresponsive for long is demoted first. It
    stays a learner, so that it can be promoted again once it is back and needed.
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
    unresponsive_id = _unresponsive_voter(state, now)
    if not unresponsive_id:
        return
    changed = memberships.with_demoted(membership, unresponsive_id)
    if has_active_quorum(state, changed, now):
        change_membership(state, changed)


def _caught_up_learner(state: MemberState, now: float) -> str:
    for member_id, record in state.membership.members.items():
        progress = state.progress.get(member_id)
        if record.voter or progress is None:
            continue
        if _is_unresponsive(state, member_id, now):
            continue
        if progress.match_index >= progress.catch_up_index >= state.term_start_index:
            return member_id
    return ""


def _unresponsive_voter(state: MemberState, now: float) -> str:
    for member_id, record in state.membership.members.items():
        if record.voter and _is_unresponsive(state, member_id, now, DEMOTION_TIMEOUTS):
            return member_id
    return ""


def adopt_cell(state: MemberState, cell: str) -> bool:
    """Adopts the cell of a message as this member's own while its log is empty.

    The message was addressed to this member's identity, so the cell knows it.

    :returns: whether this member may handle messages of that cell.
    """
    if cell == state.cell:
        return True
    if not cell or state.log.last_index > 0:
        return False
    state.cell = cell
    state.work.hard_state = HardState(cell, state.term, state.vote)
    return True

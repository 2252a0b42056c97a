"""Elections with pre-vote; voters in contact with a leader refuse to vote."""

from . import membership as memberships
from .messages import Entry, EntryKind, VoteReply, VoteRequest
from .progress import Progress
from .state import MemberState, Role


def become_follower(
    state: MemberState, now: float, term: int, leader_id: str = ""
) -> None:
    """Becomes a follower in ``term`` and discards the state of the previous role."""
    if term > state.term:
        state.set_term(term)
    if state.role is Role.leader:
        _refuse_reads(state)
        state.progress = {}
    if state.role is not Role.follower:
        state.reset_election_timeout(now)
    state.role = Role.follower
    state.votes = set()
    state.leader_id = leader_id


def _refuse_reads(state: MemberState) -> None:
    for read in state.reads:
        read.confirmed = False
    state.work.finished_reads += state.reads
    state.reads = []


def check_election(state: MemberState, now: float) -> None:
    """Starts a pre-vote once the election timeout has passed without a leader."""
    if now < state.election_deadline:
        return
    state.reset_election_timeout(now)
    if not state.may_campaign():
        return
    state.leader_id = ""
    state.role = Role.pre_candidate
    _request_votes(state, now)


def _request_votes(state: MemberState, now: float) -> None:
    state.votes = {state.options.member_id}
    pre_vote = state.role is Role.pre_candidate
    for member_id, record in state.membership.members.items():
        if not record.voter or member_id == state.options.member_id:
            continue
        state.send(
            VoteRequest,
            member_id,
            record.identity,
            term=state.term + 1 if pre_vote else state.term,
            source_address=state.options.address,
            pre_vote=pre_vote,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )
    _count_votes(state, now)


def _count_votes(state: MemberState, now: float) -> None:
    granted = state.votes.intersection(memberships.voters(state.membership))
    if len(granted) < memberships.quorum_size(state.membership):
        return
    if state.role is Role.pre_candidate:
        state.role = Role.candidate
        state.set_term(state.term + 1, state.identity)
        _request_votes(state, now)
    elif state.role is Role.candidate:
        become_leader(state, now)


def become_leader(state: MemberState, now: float) -> None:
    """Becomes leader of the current term and appends a no-op entry in it."""
    state.role = Role.leader
    state.leader_id = state.options.member_id
    state.awaits_first_leader = False
    state.votes = set()
    state.round = 0
    state.progress = {}
    next_index = state.log.last_index + 1
    for member_id, record in state.membership.members.items():
        if member_id != state.options.member_id:
            state.progress[member_id] = Progress(record.identity, next_index, now)
    state.term_start_index = next_index
    state.append_entry(Entry(next_index, state.term, EntryKind.no_op))
    state.next_heartbeat_at = now


def receive_vote_request(state: MemberState, request: VoteRequest, now: float) -> None:
    """Grants or refuses a vote."""
    if request.term < state.term or not _may_grant_vote(state, request, now):
        granted = False
    else:
        granted = True
    if granted and not request.pre_vote:
        _record_vote(state, request, now)
    state.reply(
        request,
        VoteReply,
        term=request.term if granted else state.term,
        pre_vote=request.pre_vote,
        granted=granted,
    )


def _may_grant_vote(state: MemberState, request: VoteRequest, now: float) -> bool:
    # A member that was partitioned must not depose the leader of a working cell.
    if state.is_leader() or state.has_recent_leader_contact(now):
        return False
    candidate = (request.last_term, request.last_index)
    if candidate < (state.log.last_term, state.log.last_index):
        return False
    if request.pre_vote:
        return request.term > state.term
    return request.term > state.term or state.vote in ("", request.source_identity)


def _record_vote(state: MemberState, request: VoteRequest, now: float) -> None:
    if request.term > state.term:
        become_follower(state, now, request.term)
    if state.vote != request.source_identity:
        state.set_term(request.term, request.source_identity)
    state.reset_election_timeout(now)


def receive_vote_reply(state: MemberState, reply: VoteReply, now: float) -> None:
    """Counts a vote."""
    if not reply.granted:
        return
    expected = Role.pre_candidate if reply.pre_vote else Role.candidate
    expected_term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected or reply.term != expected_term:
        return
    if not memberships.is_voter(state.membership, reply.source, reply.source_identity):
        return
    state.votes.add(reply.source)
    _count_votes(state, now)

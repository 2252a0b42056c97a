"""A leader's side of replication: appends, acknowledgements and commits."""

from . import membership as memberships
from .election import become_follower
from .messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    MemberRecord,
    Membership,
    SnapshotReply,
)
from .progress import Progress
from .state import MemberState
from .transfer import begin_transfer, resend_overdue_part, send_part

MAX_UNACKNOWLEDGED_ENTRIES = 4096


def append_as_leader(state: MemberState, kind: EntryKind, data: bytes) -> Entry:
    """Appends an entry of the current term."""
    entry = Entry(state.log.last_index + 1, state.term, kind, data)
    state.append_entry(entry)
    if kind is EntryKind.membership:
        _drop_stale_progress(state)
    return entry


def _drop_stale_progress(state: MemberState) -> None:
    members = state.membership.members
    state.progress = {
        member_id: progress
        for member_id, progress in state.progress.items()
        if member_id in members and members[member_id].identity == progress.identity
    }


def ensure_progress(
    state: MemberState, member_id: str, record: MemberRecord, now: float
) -> Progress:
    """Returns the progress of a member, which is created if there is none."""
    progress = state.progress.get(member_id)
    if progress is None:
        progress = Progress(record.identity, state.log.last_index + 1, now)
        state.progress[member_id] = progress
    return progress


def peers(state: MemberState) -> list[tuple[str, MemberRecord]]:
    """Returns all members but this one."""
    return [
        (member_id, record)
        for member_id, record in state.membership.members.items()
        if member_id != state.options.member_id
    ]


def send_heartbeats(state: MemberState, now: float) -> None:
    """Sends a heartbeat to every peer that was sent nothing lately.

    It includes entries if the peer lacks some.
    """
    for member_id, record in peers(state):
        progress = ensure_progress(state, member_id, record, now)
        progress.catch_up_index = state.commit_index
        if progress.transfer is not None:
            if not resend_overdue_part(state, member_id, progress, now):
                _send_append(state, member_id, progress, [], now)
        elif _is_unresponsive(state, progress, now):
            # A peer that may be down is sent no entries until it replies.
            progress.probing = True
            _send_append(state, member_id, progress, [], now)
        elif not send_entries(state, member_id, progress, now) and not _was_sent_lately(
            state, progress, now
        ):
            _send_append(state, member_id, progress, [], now)
    state.next_heartbeat_at = now + state.options.append_interval_s


def send_round(state: MemberState, now: float) -> None:
    """Sends every voter a message now; the replies of a quorum confirm the leader."""
    for member_id, record in peers(state):
        if not record.voter:
            continue
        progress = ensure_progress(state, member_id, record, now)
        if progress.probing or not send_entries(state, member_id, progress, now):
            _send_append(state, member_id, progress, [], now)


def _was_sent_lately(state: MemberState, progress: Progress, now: float) -> bool:
    """Whether an append, of a confirmation round perhaps, stands for a heartbeat."""
    return now - progress.last_sent_at <= state.options.append_interval_s / 2


def _is_unresponsive(state: MemberState, progress: Progress, now: float) -> bool:
    return now - progress.last_reply_at > state.options.election_timeout_s


def send_new_entries(state: MemberState, now: float) -> None:
    """Sends every peer the entries that were appended since the last call."""
    for member_id, record in peers(state):
        progress = ensure_progress(state, member_id, record, now)
        if not progress.probing:
            send_entries(state, member_id, progress, now)


def send_entries(
    state: MemberState, member_id: str, progress: Progress, now: float
) -> bool:
    """Sends the entries that a peer lacks, up to the limit of unacknowledged ones.

    :returns: whether anything was sent.
    """
    if progress.transfer is not None:
        return False
    if state.log.term_at(progress.next_index - 1) is None:
        begin_transfer(state, member_id, progress, now)
        return True
    sent = False
    while _may_send(state, progress):
        batch = state.log.batch_from(progress.next_index)
        if not batch:
            break
        _send_append(state, member_id, progress, batch, now)
        sent = True
        if progress.probing:
            break
        progress.next_index = batch[-1].index + 1
    return sent


def _may_send(state: MemberState, progress: Progress) -> bool:
    unacknowledged = progress.next_index - 1 - progress.match_index
    return progress.probing or unacknowledged < MAX_UNACKNOWLEDGED_ENTRIES


def _send_append(
    state: MemberState,
    member_id: str,
    progress: Progress,
    entries: list[Entry],
    now: float,
) -> None:
    progress.last_sent_at = now
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        previous_index, previous_term = 0, 0
    state.send(
        Append,
        member_id,
        progress.identity,
        source_address=state.options.address if progress.probing else "",
        previous_index=previous_index,
        previous_term=previous_term,
        entries=entries,
        commit_index=state.commit_index,
        round=state.round,
    )


def receive_append_reply(state: MemberState, reply: AppendReply, now: float) -> None:
    """Processes a peer's reply to an append or to the last part of a snapshot."""
    progress = record_reply(state, reply, now)
    if progress is None:
        return
    if reply.accepted:
        progress.accept(reply.match_index)
        advance_commit(state, now)
    elif not progress.reject(reply.match_index):
        return
    if state.is_leader():
        send_entries(state, reply.source, progress, now)


def record_reply(
    state: MemberState, reply: AppendReply | SnapshotReply, now: float
) -> Progress | None:
    """Records that a peer replied in this term.

    :returns: the peer's progress, or ``None`` if this member is not the leader or
        the reply is not from a member.
    """
    if not state.is_leader():
        return None
    progress = state.progress.get(reply.source)
    if progress is None or progress.identity != reply.source_identity:
        return None
    progress.last_reply_at = now
    progress.round = max(progress.round, reply.round)
    return progress


def advance_commit(state: MemberState, now: float) -> None:
    """Commits the entries that a quorum of the voters has synced."""
    synced = {
        member_id: progress.match_index
        for member_id, progress in state.progress.items()
    }
    synced[state.options.member_id] = state.synced_index
    index = int(memberships.quorum_value(state.membership, synced))
    # An entry of an earlier term is committed only through a later entry of this
    # term, never by counting its copies.
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return
    state.commit_index = index
    removed = state.memberships.latest_index <= index and not state.is_voter()
    if removed:
        become_follower(state, now, state.term)


def check_quorum(state: MemberState, now: float) -> None:
    """Steps down if no quorum replied within the longest election timeout."""
    if not has_active_quorum(state, state.membership, now):
        become_follower(state, now, state.term)


def has_active_quorum(state: MemberState, membership: Membership, now: float) -> bool:
    """Whether a quorum of a membership replied within the longest election timeout.

    A membership without such a quorum could be neither committed nor rolled back.
    """
    replied_at = {
        member_id: progress.last_reply_at
        for member_id, progress in state.progress.items()
    }
    replied_at[state.options.member_id] = now
    quorum_replied_at = memberships.quorum_value(membership, replied_at)
    return now - quorum_replied_at <= 2 * state.options.election_timeout_s


def receive_snapshot_reply(
    state: MemberState, reply: SnapshotReply, now: float
) -> None:
    """Sends the next part of a snapshot."""
    progress = record_reply(state, reply, now)
    if progress is None or progress.transfer is None:
        return
    transfer = progress.transfer
    if reply.index != transfer.snapshot.index:
        return
    if reply.received_bytes != transfer.offset:
        transfer.offset = reply.received_bytes
        send_part(state, reply.source, progress, now)

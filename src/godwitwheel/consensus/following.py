"""A follower's side of replication."""

from .election import become_follower
from .messages import Append, AppendReply, Snapshot, SnapshotPart, SnapshotReply
from .state import MemberState, Role


class IncomingSnapshot:
    """A snapshot of which some parts have been received."""

    __slots__ = ("index", "term", "data")

    def __init__(self, index: int, term: int):
        self.index = index
        self.term = term
        self.data = bytearray()


def _follow_leader(state: MemberState, leader_id: str, now: float) -> None:
    if state.role is not Role.follower or state.leader_id != leader_id:
        become_follower(state, now, state.term, leader_id)
    state.record_leader(now)
    state.reset_election_timeout(now)


def receive_append(state: MemberState, append: Append, now: float) -> None:
    """Processes entries or a heartbeat from the leader of the current term."""
    _follow_leader(state, append.source, now)
    if not _log_matches(state, append):
        match_index = _last_possible_match(state, append.previous_index)
        state.reply(
            append,
            AppendReply,
            accepted=False,
            match_index=match_index,
            round=append.round,
        )
        return
    _store_entries(state, append)
    match_index = append.previous_index + len(append.entries)
    state.commit_index = max(state.commit_index, min(append.commit_index, match_index))
    state.reply(
        append,
        AppendReply,
        accepted=True,
        match_index=match_index,
        round=append.round,
    )


def _log_matches(state: MemberState, append: Append) -> bool:
    if append.previous_index <= state.commit_index:
        return True
    return state.log.term_at(append.previous_index) == append.previous_term


def _last_possible_match(state: MemberState, previous_index: int) -> int:
    if previous_index > state.log.last_index:
        return state.log.last_index
    conflict = state.log.first_index_of_term(previous_index)
    return max(conflict - 1, state.commit_index)


def _store_entries(state: MemberState, append: Append) -> None:
    for entry in append.entries:
        if entry.index <= state.commit_index:
            continue
        if entry.index <= state.log.last_index:
            if state.log.term_at(entry.index) == entry.term:
                continue
            _truncate_from(state, entry.index)
        state.append_entry(entry)


def _truncate_from(state: MemberState, index: int) -> None:
    state.log.truncate_from(index)
    state.memberships.truncate_from(index)
    state.synced_index = min(state.synced_index, index - 1)


def receive_snapshot_part(state: MemberState, part: SnapshotPart, now: float) -> None:
    """Collects the parts of a snapshot and installs it when it is complete."""
    _follow_leader(state, part.source, now)
    if part.index <= state.commit_index:
        _report_match(state, part)
        return
    incoming = state.incoming
    if incoming is None or (incoming.index, incoming.term) != (
        part.index,
        part.last_term,
    ):
        incoming = IncomingSnapshot(part.index, part.last_term)
        state.incoming = incoming
    if part.offset == len(incoming.data):
        incoming.data += part.data
    if len(incoming.data) == part.total_bytes:
        _install_snapshot(state, part, bytes(incoming.data))
        _report_match(state, part)
        return
    state.reply(
        part,
        SnapshotReply,
        index=part.index,
        received_bytes=len(incoming.data),
        round=part.round,
    )


def _report_match(state: MemberState, part: SnapshotPart) -> None:
    state.reply(
        part,
        AppendReply,
        accepted=True,
        match_index=max(part.index, state.commit_index),
        round=part.round,
    )


def _install_snapshot(state: MemberState, part: SnapshotPart, data: bytes) -> None:
    snapshot = Snapshot(part.index, part.last_term, part.membership, data)
    state.incoming = None
    # Entries after the snapshot that are consistent with it may have been
    # acknowledged, so they are kept.
    if state.log.term_at(part.index) != part.last_term:
        _truncate_from(state, state.log.base_index + 1)
    state.log.compact(part.index, part.last_term)
    state.memberships.compact(part.index, part.membership)
    state.snapshot = snapshot
    state.commit_index = part.index
    state.applied_index = part.index
    state.work.snapshot = snapshot

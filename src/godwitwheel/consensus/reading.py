"""Leadership confirmation rounds, which make reads linearizable (ReadIndex).

In a round the leader sends a message to every peer; a quorum of replies confirms it.
"""

from . import membership as memberships
from .state import MemberState
from .work import ReadRequest


def request_read(state: MemberState) -> ReadRequest:
    """Requests a leadership confirmation round that begins after this call.

    All calls made before that round begins share it.
    """
    request = ReadRequest()
    if not state.is_leader():
        request.confirmed = False
        return request
    # A new leader has the latest commit index only once its first entry is committed.
    request.index = max(state.commit_index, state.term_start_index)
    state.reads.append(request)
    return request


def begin_round(state: MemberState) -> bool:
    """Begins a round if any request waits for one.

    :returns: whether a message must be sent to every peer now.
    """
    waiting = [read for read in state.reads if read.round == 0]
    if not waiting:
        return False
    state.round += 1
    for read in waiting:
        read.round = state.round
    return True


def finish_reads(state: MemberState) -> None:
    """Confirms the requests whose round a quorum has replied to."""
    answered = {
        member_id: progress.round for member_id, progress in state.progress.items()
    }
    answered[state.options.member_id] = state.round
    round_reached = memberships.quorum_value(state.membership, answered)
    waiting = []
    for read in state.reads:
        if 0 < read.round <= round_reached:
            read.confirmed = True
            state.work.finished_reads.append(read)
        else:
            waiting.append(read)
    state.reads = waiting

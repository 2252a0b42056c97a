"""A leader's side of sending a snapshot to a peer that lags far behind."""

from .messages import SnapshotPart
from .progress import Progress, SnapshotTransfer
from .state import MemberState

SNAPSHOT_PART_BYTES = 256 * 1024


def begin_transfer(
    state: MemberState, member_id: str, progress: Progress, now: float
) -> None:
    """Starts sending the latest snapshot."""
    progress.transfer = SnapshotTransfer(state.snapshot, now)
    send_part(state, member_id, progress, now)


def send_part(
    state: MemberState, member_id: str, progress: Progress, now: float
) -> None:
    """Sends the part that follows the bytes acknowledged by the peer."""
    transfer = progress.transfer
    transfer.sent_at = now
    snapshot = transfer.snapshot
    end = transfer.offset + SNAPSHOT_PART_BYTES
    state.send(
        SnapshotPart,
        member_id,
        progress.identity,
        source_address=state.options.address,
        index=snapshot.index,
        last_term=snapshot.term,
        membership=snapshot.membership,
        offset=transfer.offset,
        total_bytes=len(snapshot.data),
        data=snapshot.data[transfer.offset : end],
        round=state.round,
    )


def resend_overdue_part(
    state: MemberState, member_id: str, progress: Progress, now: float
) -> bool:
    """Resends the last part if the peer has not replied within the election timeout.

    :returns: whether it was resent.
    """
    if now - progress.transfer.sent_at <= state.options.election_timeout_s:
        return False
    send_part(state, member_id, progress, now)
    return True

"""What a leader knows of one peer."""

from .messages import Snapshot


class SnapshotTransfer:
    """A snapshot on its way to a peer.

    :ivar offset: bytes that the peer has confirmed.
    :ivar sent_at: when the present part was sent.
    """

    __slots__ = ("snapshot", "offset", "sent_at")

    def __init__(self, snapshot: Snapshot, now: float):
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at = now


class Progress:
    """How far a peer has come.

    :ivar match_index: last index that the peer is known to have synced.
    :ivar next_index: first index of the next append.
    :ivar probing: entries are held back until an append was accepted.
    :ivar round: latest round of confirming that the peer answered.
    :ivar last_reply_at: when the peer last answered in this term.
    :ivar catch_up_index: commit index at the last heartbeat; a learner that has
        reached it has caught up.
    """

    __slots__ = (
        "identity",
        "match_index",
        "next_index",
        "probing",
        "round",
        "last_reply_at",
        "catch_up_index",
        "transfer",
    )

    def __init__(self, identity: str, next_index: int, now: float):
        self.identity = identity
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.round = 0
        self.last_reply_at = now
        self.catch_up_index = 0
        self.transfer: SnapshotTransfer | None = None

    def accept(self, match_index: int) -> None:
        """Takes an accepted append."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        transfer = self.transfer
        if transfer is not None and self.match_index >= transfer.snapshot.index:
            self.transfer = None

    def reject(self, last_possible: int) -> bool:
        """Takes a refused append.

        :returns: whether it says anything new.
        """
        next_index = max(self.match_index, last_possible) + 1
        if next_index >= self.next_index:
            return False
        self.next_index = next_index
        self.probing = True
        return True

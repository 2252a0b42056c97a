"""A leader's replication state for one peer."""

import math

from .messages import Snapshot


class SnapshotTransfer:
    """A snapshot that is being sent to a peer.

    :ivar offset: number of bytes that the peer has acknowledged.
    :ivar sent_at: when the current part was sent.
    """

    __slots__ = ("snapshot", "offset", "sent_at")

    def __init__(self, snapshot: Snapshot, now: float):
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at = now


class Progress:
    """How far a peer has replicated the log.

    :ivar match_index: last index that the peer is known to have synced.
    :ivar next_index: first index of the next append.
    :ivar probing: whether further entries are held back until an append is accepted.
    :ivar round: latest leadership confirmation round that the peer replied to.
    :ivar last_sent_at: when the peer was last sent an append.
    :ivar last_reply_at: when the peer last replied in this term.
    :ivar catch_up_index: commit index at the last heartbeat; a learner that has
        reached it has caught up.
    :ivar transfer: the snapshot that is being sent, or ``None``.
    """

    __slots__ = (
        "identity",
        "match_index",
        "next_index",
        "probing",
        "round",
        "last_sent_at",
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
        self.last_sent_at = -math.inf
        self.last_reply_at = now
        self.catch_up_index = 0
        self.transfer: SnapshotTransfer | None = None

    def accept(self, match_index: int) -> None:
        """Handles an accepted append."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        transfer = self.transfer
        if transfer is not None and self.match_index >= transfer.snapshot.index:
            self.transfer = None

    def reject(self, last_possible: int) -> bool:
        """Handles a rejected append.

        :returns: whether the reply moved the next index back.
        """
        next_index = max(self.match_index, last_possible) + 1
        if next_index >= self.next_index:
            return False
        self.next_index = next_index
        self.probing = True
        return True

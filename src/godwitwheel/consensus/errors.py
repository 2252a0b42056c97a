"""Errors of the consensus layer."""

from ..internal.errors import GodwitwheelError


class ConsensusError(GodwitwheelError):
    """Base class; only its subclasses are raised."""


class NotLeader(ConsensusError):
    """Raised when a member that is not the leader is asked to commit or confirm.

    Nothing was proposed.

    :ivar leader_id: the known leader, or empty.
    """

    def __init__(self, leader_id: str = ""):
        super().__init__(f"the leader is {leader_id or 'not known'}")
        self.leader_id = leader_id


class OutcomeUnknown(ConsensusError):
    """Raised when a proposal may or may not be committed.

    The leader lost its leadership, or the timeout expired, before the entry was
    applied.
    """


class StorageError(ConsensusError):
    """Raised when the data folder can't be read, written or synced."""


class MemberFailed(ConsensusError):
    """Raised when a member can't go on after an unexpected error, and has to restart.

    Part of its work was lost, so that it must not vote or acknowledge anything.
    """


class CorruptLog(StorageError):
    """Raised when a synced record of the log or a snapshot fails its checksum."""

"""Errors of the consensus layer."""

from ..internal.errors import GodwitwheelError


class ConsensusError(GodwitwheelError):
    """Raised only through its subclasses."""


class NotLeader(ConsensusError):
    """Raised when a member that does not lead is asked to commit or confirm.

    Nothing was proposed.

    :ivar leader_id: the member that leads as far as is known, or empty.
    """

    def __init__(self, leader_id: str = ""):
        super().__init__(f"the leader is {leader_id or 'not known'}")
        self.leader_id = leader_id


class OutcomeUnknown(ConsensusError):
    """Raised when a proposal may or may not be committed.

    The leader lost its term or the deadline passed while the entry was on its
    way.
    """


class StorageError(ConsensusError):
    """Raised when the data folder can't be read, written or synced."""


class CorruptLog(StorageError):
    """Raised when a synced record of the log or a snapshot fails its checksum."""

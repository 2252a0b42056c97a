"""Interface of the replicated log to the rest of the system."""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """State that every member builds from the same log.

    ``apply`` must be deterministic and depend only on the command and the current
    state: no clock, no random number, no iteration over a set.
    """

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        :param index: position of the command in the log; it increases by at least 1
            from call to call.
        """

    @abstractmethod
    def take_snapshot(self) -> bytes:
        """Returns the encoded state."""

    @abstractmethod
    def load_snapshot(self, snapshot: bytes) -> None:
        """Replaces the state with that of a snapshot."""


class ReplicatedLog(ABC):
    """One member's interface to the log."""

    @abstractmethod
    def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commits a command, applies it here and returns its result.

        :raises NotLeader: if this member is not the leader; nothing was proposed.
        :raises OutcomeUnknown: if the command may or may not be committed.
        """

    @abstractmethod
    def confirm_leadership(self, timeout_s: float) -> None:
        """Waits until a quorum has confirmed this leader, after the call began.

        All entries committed before the call are applied here when it returns.

        :raises NotLeader: if this member is not the leader or no quorum confirms it
            in time.
        """

    @abstractmethod
    def leader_id(self) -> str:
        """Returns the id of the known leader, or an empty string."""

    @abstractmethod
    def leader_silence_s(self) -> float:
        """Returns the time since this member last heard from the leader, in seconds.

        If it has just started, it counts from its start at most.
        """

    @abstractmethod
    def leader_since(self) -> float | None:
        """Returns since when this member is leader with all earlier entries applied.

        :returns: seconds of the clock; ``None`` if this member is not the leader.
        """

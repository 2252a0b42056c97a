"""What the rest of the system sees of the replicated log."""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """State that every member builds from the same log.

    ``apply`` must depend on the command and the present state alone: no clock, no
    random number, no iteration over a set.
    """

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        :param index: position of the command in the log; it grows by at least 1.
        """

    @abstractmethod
    def take_snapshot(self) -> bytes:
        """Encodes the whole state."""

    @abstractmethod
    def load_snapshot(self, snapshot: bytes) -> None:
        """Replaces the whole state."""


class ReplicatedLog(ABC):
    """One member's handle on the log."""

    @abstractmethod
    def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commits a command, applies it here and returns its result.

        :raises NotLeader: if this member does not lead; nothing was proposed.
        :raises OutcomeUnknown: if it may or may not be committed.
        """

    @abstractmethod
    def confirm_leadership(self, timeout_s: float) -> None:
        """Returns once a quorum has confirmed this leader after the call began.

        All entries committed before the call are applied here when it returns.

        :raises NotLeader: if this member does not lead or can't confirm in time.
        """

    @abstractmethod
    def leader_id(self) -> str:
        """Returns the member that leads as far as is known, or empty."""

    @abstractmethod
    def leading_since(self) -> float | None:
        """Returns when this member began to lead and had applied all earlier
        entries, in seconds of the clock; ``None`` if it does not lead."""

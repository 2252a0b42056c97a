"""What a session sees of its transaction, wherever that is held."""

from abc import ABC, abstractmethod

from .statements import Answer, Statement


class OpenTransaction(ABC):
    """A transaction that its caller has not ended.

    :ivar has_failed: nothing is kept; the caller has yet to end it.
    """

    __slots__ = ("has_failed",)

    def __init__(self):
        self.has_failed = False

    @abstractmethod
    def run(self, statement: Statement) -> Answer:
        """Runs a statement."""

    @abstractmethod
    def commit(self, statement: Statement) -> Answer:
        """Commits; an answer that does not come leaves the outcome in doubt."""

    @abstractmethod
    def fail(self, reason: str) -> None:
        """Ends the transaction at its target; the caller has yet to end it here."""

    @abstractmethod
    def abandon(self, reason: str) -> None:
        """Rolls back what is open."""

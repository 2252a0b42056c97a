"""The interface of an open transaction, whether it runs here or at an owner."""

from abc import ABC, abstractmethod

from ..statements import Answer, Statement


class OpenTransaction(ABC):
    """A transaction that its caller has not ended.

    :ivar has_failed: whether nothing of it will be committed; the caller has yet to end
        it with a commit or rollback.
    """

    __slots__ = ("has_failed",)

    def __init__(self):
        self.has_failed = False

    @abstractmethod
    def run(self, statement: Statement) -> Answer:
        """Runs a statement."""

    @abstractmethod
    def commit(self, statement: Statement) -> Answer:
        """Commits; if the target does not answer, the outcome is unknown."""

    @abstractmethod
    def fail(self, reason: str) -> None:
        """Rolls back at the target; the caller has yet to end the transaction."""

    @abstractmethod
    def abandon(self, reason: str) -> None:
        """Rolls back what is open at the target."""

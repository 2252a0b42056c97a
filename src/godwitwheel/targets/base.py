"""Abstract interfaces to a target; an adapter for another database implements them."""

from abc import ABC, abstractmethod
from typing import Any

from ..wire.target import SessionOpened, StatementReply, StepReply, TargetStatus


class TargetConnection(ABC):
    """One database connection.

    It carries one exchange at a time. Once its state is uncertain, it is closed and
    never reused.

    :ivar target_id: the target that it connects to.
    """

    __slots__ = ("target_id",)

    def __init__(self, target_id: str):
        self.target_id = target_id

    @abstractmethod
    def open(self, timeout_s: float) -> SessionOpened:
        """Opens the connection.

        :param timeout_s: limit for the whole step, in seconds.
        :raises NotRun: if the target can't be reached.
        :raises MayHaveRun: if the target did not reply.
        :raises Refused: if the target accepts no further connection.
        """

    @abstractmethod
    def run(
        self, sql: str, parameters: list[Any], read_only: bool, timeout_s: float
    ) -> StatementReply:
        """Runs one statement; outside a transaction it commits by itself.

        :param timeout_s: limit for the whole exchange, in seconds.
        :raises NotRun: if nothing was sent.
        :raises MayHaveRun: if no complete reply to this statement arrived.
        :raises Refused: if the target refused the statement.
        """

    @abstractmethod
    def begin(self, read_only: bool, timeout_s: float) -> StepReply:
        """Begins a transaction; raises as :meth:`run` does."""

    @abstractmethod
    def commit(self, timeout_s: float) -> StepReply:
        """Commits the open transaction; raises as :meth:`run` does."""

    @abstractmethod
    def rollback(self, timeout_s: float) -> StepReply:
        """Rolls the open transaction back; raises as :meth:`run` does."""

    @abstractmethod
    def close(self) -> None:
        """Closes the connection; an open transaction is rolled back."""

    @abstractmethod
    def is_reusable(self) -> bool:
        """Whether the connection is open, in no transaction and has no unread reply."""


class TargetAdmin(ABC):
    """Administrative requests that need no database connection.

    Each raises :class:`NotRun` if the target can't be reached,
    :class:`MayHaveRun` if it did not reply and :class:`Refused` if it refused.
    Timeouts are in seconds.
    """

    @abstractmethod
    def status(self, address: str, timeout_s: float) -> TargetStatus:
        """Requests the status of the target at ``address``."""

    @abstractmethod
    def promote(self, address: str, term: int, timeout_s: float) -> TargetStatus:
        """Makes the target at ``address`` the primary of ``term``."""

    @abstractmethod
    def follow(
        self,
        address: str,
        term: int,
        primary_id: str,
        primary_address: str,
        timeout_s: float,
    ) -> TargetStatus:
        """Makes the target at ``address`` replicate from the primary of ``term``."""

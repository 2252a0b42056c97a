"""Commands to a target, and the abstract base of a connection to one."""

from abc import ABC, abstractmethod

from ...directory.records import TargetEntry
from ...wire.service import Access
from ..statements import Answer, Position, Statement


class Command:
    """Base class of the commands that are sent to a target."""

    __slots__ = ()


class Begin(Command):
    """Begins a transaction.

    :ivar floor: minimum position that the target's log must have reached, or ``None``.
    """

    __slots__ = ("read_only", "floor")

    def __init__(self, read_only: bool = False, floor: Position | None = None):
        self.read_only = read_only
        self.floor = floor


class Rollback(Command):
    """Rolls back the open transaction."""

    __slots__ = ()


class SetValue(Command):
    """Sets a session value of the connection."""

    __slots__ = ("name", "value")

    def __init__(self, name: str, value: str):
        self.name = name
        self.value = value


class Prepare(Command):
    """Prepares a statement on the connection."""

    __slots__ = ("name", "access", "shape")

    def __init__(self, name: str, access: Access, shape: str):
        self.name = name
        self.access = access
        self.shape = shape


class Discard(Command):
    """Clears the connection's session values and prepared statements."""

    __slots__ = ()


class Run(Command):
    """Runs a caller's read, write or commit under the caller's request id.

    :ivar floor: minimum position that the target's log must have reached, or ``None``.
    :ivar prepared_name: the connection's name of the statement to execute.
    """

    __slots__ = ("statement", "floor", "prepared_name")

    def __init__(
        self,
        statement: Statement,
        floor: Position | None = None,
        prepared_name: str = "",
    ):
        self.statement = statement
        self.floor = floor
        self.prepared_name = prepared_name


class AskStatus(Command):
    """Requests the target's role and log positions."""

    __slots__ = ()


class PauseReceiving(Command):
    """Stops a replica from receiving commits of terms below ``term``."""

    __slots__ = ("term",)

    def __init__(self, term: int):
        self.term = term


class ResumeReceiving(Command):
    """Ends a :class:`PauseReceiving`."""

    __slots__ = ()


class StepDown(Command):
    """Makes a primary of a term below ``term`` a replica."""

    __slots__ = ("term",)

    def __init__(self, term: int):
        self.term = term


class ReplicaStatus:
    """The role and position that a target reports of itself.

    :ivar received: last log position that it has received.
    """

    __slots__ = ("is_primary", "term", "received")

    def __init__(self, is_primary: bool, term: int, received: Position):
        self.is_primary = is_primary
        self.term = term
        self.received = received


class DatabaseConnection(ABC):
    """One connection to a target."""

    @abstractmethod
    def exchange(self, commands: list[Command], timeout_s: float) -> list[Answer]:
        """Sends all commands at once and returns their answers in order.

        :raises ConnectionLost: if not all were answered in time; the connection
            is closed then.
        """

    @abstractmethod
    def is_usable(self) -> bool:
        """Whether the idle connection is open and has no unread input."""

    @abstractmethod
    def reset_on_close(self) -> None:
        """Lets :meth:`close` discard what has been sent and has not arrived."""

    @abstractmethod
    def close(self) -> None:
        """Closes the connection; the target rolls back an open transaction."""


class Connector(ABC):
    """Opens connections to targets."""

    @abstractmethod
    def connect(
        self, target: TargetEntry, account: str, timeout_s: float
    ) -> DatabaseConnection:
        """Opens a connection to exactly this target.

        :param account: name of the client account whose statements it will run, or
            ``NO_ACCOUNT``.
        :raises ConnectFailed: if it can't be opened in time.
        """

    @abstractmethod
    def check_statement(self, statement: Statement) -> None:
        """Checks a statement that did not come by the targets' own protocol.

        :raises InvalidStatement: if targets would read it as another statement, or as
            several.
        """

    @abstractmethod
    def read_status(self, answer: Answer) -> ReplicaStatus:
        """Decodes the answer to a command that asks for, or changes, receiving.

        These are :class:`AskStatus`, :class:`PauseReceiving`,
        :class:`ResumeReceiving` and :class:`StepDown`.

        :raises SessionsError: if the answer holds no status.
        """

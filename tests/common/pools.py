"""A target whose connections are opened, refused and broken by the test."""

from godwitwheel.directory.records import TargetEntry
from godwitwheel.internal.loop import Event, current_task
from godwitwheel.sessions.connections.connection import Connector, DatabaseConnection
from godwitwheel.sessions.errors import ConnectFailed, TooManyConnections

TARGET = TargetEntry("t1", "bookings", "10.0.0.1:1", "dc-1", 3, 0)


class Opening:
    """A connection that is being opened.

    :ivar task: the task that waits for it.
    """

    def __init__(self, account: str):
        self.account = account
        self.task = current_task()
        self.event = Event()

    def finish(self, outcome: str) -> None:
        """Ends it: ``opened``, ``failed`` or ``refused`` for too many connections."""
        self.event.send(outcome)


class OpenConnection(DatabaseConnection):
    """An open connection.

    :ivar number: how many connections the target had accepted before it.
    """

    def __init__(self, target: "ScriptedTarget", account: str, number: int):
        self.target = target
        self.account = account
        self.number = number
        self.is_broken = False

    def exchange(self, commands, timeout_s):
        raise NotImplementedError

    def is_usable(self):
        return not self.is_broken

    def reset_on_close(self):
        pass

    def close(self):
        self.target.open.remove(self)


class ScriptedTarget(Connector):
    """The target.

    :ivar openings: connections that are being opened.
    :ivar open: open connections.
    :ivar opened: number of connections opened so far.
    :ivar on_connect: called with the account of each connection to be opened.
    :ivar is_prompt: whether connections are opened at once.
    """

    def __init__(self, is_prompt: bool = False):
        self.openings: list[Opening] = []
        self.open: list[OpenConnection] = []
        self.opened = 0
        self.on_connect = lambda account: None
        self.is_prompt = is_prompt

    def connect(self, target, account, timeout_s):
        opening = Opening(account)
        self.openings.append(opening)
        self.on_connect(account)
        try:
            outcome = "opened" if self.is_prompt else opening.event.wait()
        finally:
            self.openings.remove(opening)
        if outcome == "refused":
            raise TooManyConnections("full", refused=True)
        if outcome == "failed":
            raise ConnectFailed("no answer")
        connection = OpenConnection(self, account, self.opened)
        self.opened += 1
        self.open.append(connection)
        return connection

    def check_statement(self, statement):
        pass

    def read_status(self, answer):
        raise NotImplementedError

"""Sends questions of control to targets, and commands that only a leader may send."""

import math
from collections.abc import Callable

from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event, record_failure
from ..sessions.connections.connection import (
    AskStatus,
    Command,
    Connector,
    DatabaseConnection,
    ReplicaStatus,
)
from ..sessions.errors import SessionsError
from .candidates import Candidate, count_unreachable_from
from .confirmation import COMMAND_TIMEOUT_S, confirm_leader
from .failover import Observation
from .records import NO_ACCOUNT, TargetEntry


class TargetQueries:
    """Sends commands to targets over connections of their own.

    :ivar confirm: returns once a quorum has confirmed this leader, or raises.
    """

    __slots__ = ("connector", "clock", "confirm")

    def __init__(self, connector: Connector, clock: Clock, confirm: Callable):
        self.connector = connector
        self.clock = clock
        self.confirm = confirm

    def ask_all(
        self, groups: list[list[TargetEntry]], observations: list[Observation]
    ) -> list[Candidate]:
        """Asks all targets for their positions, one group after the other.

        :returns: all targets; one without an answer has no position.
        """
        candidates = []
        for entries in groups:
            statuses = self.ask_statuses(entries)
            candidates += candidates_of(entries, statuses, observations)
        return candidates

    def ask_statuses(self, entries: list[TargetEntry]) -> list[ReplicaStatus | None]:
        """Asks all targets for their status; ``None`` stands for no answer."""
        asking = [spawn(self._ask, entry) for entry in entries]
        return [task.wait() for task in asking]

    def command_all(
        self,
        groups: list[list[TargetEntry]],
        command: Command,
        observations: list[Observation],
    ) -> list[Candidate]:
        """Like :meth:`ask_all`, with a command that only the leader may send.

        :raises ControlError: if this member does not lead.
        """
        candidates = []
        for entries in groups:
            connections = self._connect_all(entries)
            for connection in connections:
                if connection is not None:
                    # Without an answer the command must not arrive later, when another
                    # leader may have sent a different one.
                    connection.reset_on_close()
            try:
                send_before = confirm_leader(self.confirm, self.clock)
                sending = [
                    spawn(self._exchange, entry, connection, command, send_before)
                    for entry, connection in zip(entries, connections, strict=True)
                ]
                statuses = [task.wait() for task in sending]
                candidates += candidates_of(entries, statuses, observations)
            finally:
                close_all(connections)
        return candidates

    def poll(self, entry: TargetEntry) -> "StatusPoll":
        """Returns a context manager that asks a target repeatedly."""
        return StatusPoll(self, entry)

    def ask_over(
        self, entry: TargetEntry, connection: DatabaseConnection | None
    ) -> ReplicaStatus | None:
        """Asks a target for its status; ``None`` stands for no answer."""
        return self._exchange(entry, connection, AskStatus(), math.inf)

    def _ask(self, entry: TargetEntry) -> ReplicaStatus | None:
        with self.poll(entry) as poll:
            return poll.ask()

    def _connect_all(
        self, entries: list[TargetEntry]
    ) -> list[DatabaseConnection | None]:
        opening = [spawn(self.connect, entry) for entry in entries]
        return [task.wait() for task in opening]

    def connect(self, entry: TargetEntry) -> DatabaseConnection | None:
        """Opens a connection, or returns ``None`` if the target can't be reached."""
        try:
            return self.connector.connect(entry, NO_ACCOUNT, COMMAND_TIMEOUT_S)
        except SessionsError as error:
            record_unreachable(entry, error)
        except Exception as error:
            # One target must not keep the others from being promoted.
            record_failure(error)
        return None

    def _exchange(
        self,
        entry: TargetEntry,
        connection: DatabaseConnection | None,
        command: Command,
        send_before: float,
    ) -> ReplicaStatus | None:
        if connection is None or self.clock.now() > send_before:
            return None
        try:
            answer = connection.exchange([command], COMMAND_TIMEOUT_S)[0]
            return self.connector.read_status(answer)
        except SessionsError as error:
            record_unreachable(entry, error)
        except Exception as error:
            record_failure(error)
        return None


class StatusPoll:
    """Asks one target again and again, over one connection as long as that lasts.

    :ivar lost_connections: how many connections were lost, or could not be opened.
    """

    __slots__ = ("queries", "entry", "connection", "lost_connections")

    def __init__(self, queries: TargetQueries, entry: TargetEntry):
        self.queries = queries
        self.entry = entry
        self.connection: DatabaseConnection | None = None
        self.lost_connections = 0

    def __enter__(self) -> "StatusPoll":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._close()

    def ask(self) -> ReplicaStatus | None:
        """Returns the target's status, or ``None`` if it did not answer."""
        if self.connection is None:
            self.connection = self.queries.connect(self.entry)
        status = self.queries.ask_over(self.entry, self.connection)
        # A target that is busy answers too.
        if self.connection is None or not self.connection.is_usable():
            self.lost_connections += 1
            self._close()
        return status

    def _close(self) -> None:
        close_all([self.connection])
        self.connection = None


def candidates_of(
    entries: list[TargetEntry],
    statuses: list[ReplicaStatus | None],
    observations: list[Observation],
) -> list[Candidate]:
    """Returns targets with the positions that they have answered."""
    candidates = []
    for entry, status in zip(entries, statuses, strict=True):
        received = None if status is None else status.received
        term = 0 if status is None else status.term
        unreachable_from = count_unreachable_from(entry.target_id, observations)
        is_primary = status is not None and status.is_primary
        candidates.append(
            Candidate(entry, received, term, unreachable_from, is_primary)
        )
    return candidates


def close_all(connections: list[DatabaseConnection | None]) -> None:
    """Closes the connections that could be opened."""
    for connection in connections:
        if connection is not None:
            connection.close()


def record_unreachable(entry: TargetEntry, error: Exception) -> None:
    """Records that a target did not answer."""
    record_event(
        EventName.target_unreachable, target_id=entry.target_id, reason=str(error)
    )

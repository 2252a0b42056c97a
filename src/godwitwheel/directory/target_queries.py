"""Sends questions of control to targets, and commands that only a leader may send."""

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
from .failover import Observation
from .records import NO_ACCOUNT, TargetEntry
from .report_timing import NEW_LEADER_GRACE_S

STATUS_TIMEOUT_S = 0.4
# Longest time from a confirmation of the leader until a command is sent that only the
# leader may send, in seconds. It arrives, or is given up, before a leader that was
# elected after the confirmation sends its first command.
MAX_COMMAND_DELAY_S = NEW_LEADER_GRACE_S - STATUS_TIMEOUT_S - 0.1


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
        return [
            candidate_of(entry, status, observations)
            for entries in groups
            for entry, status in self._exchange_all(
                entries, self._connect_all(entries), AskStatus()
            )
        ]

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
                send_before = self.clock.now() + MAX_COMMAND_DELAY_S
                self.confirm()
            except BaseException:
                close_all(connections)
                raise
            answers = self._exchange_all(entries, connections, command, send_before)
            candidates += [
                candidate_of(entry, status, observations) for entry, status in answers
            ]
        return candidates

    def _connect_all(
        self, entries: list[TargetEntry]
    ) -> list[DatabaseConnection | None]:
        opening = [spawn(self._connect, entry) for entry in entries]
        return [task.wait() for task in opening]

    def _exchange_all(
        self,
        entries: list[TargetEntry],
        connections: list[DatabaseConnection | None],
        command: Command,
        send_before: float | None = None,
    ) -> list[tuple[TargetEntry, ReplicaStatus | None]]:
        tasks = [
            spawn(self._exchange, entry, connection, command, send_before)
            for entry, connection in zip(entries, connections, strict=True)
        ]
        statuses = [task.wait() for task in tasks]
        close_all(connections)
        return list(zip(entries, statuses, strict=True))

    def _connect(self, entry: TargetEntry) -> DatabaseConnection | None:
        try:
            return self.connector.connect(entry, NO_ACCOUNT, STATUS_TIMEOUT_S)
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
        send_before: float | None,
    ) -> ReplicaStatus | None:
        if connection is None:
            return None
        if send_before is not None and self.clock.now() > send_before:
            return None
        try:
            answer = connection.exchange([command], STATUS_TIMEOUT_S)[0]
            return self.connector.read_status(answer)
        except SessionsError as error:
            record_unreachable(entry, error)
        except Exception as error:
            record_failure(error)
        return None


def candidate_of(
    entry: TargetEntry, status: ReplicaStatus | None, observations: list[Observation]
) -> Candidate:
    """Returns a target with the position that it answered, if it did."""
    unreachable_from = count_unreachable_from(entry.target_id, observations)
    if status is None:
        return Candidate(entry, None, 0, unreachable_from)
    return Candidate(entry, status.received, status.term, unreachable_from)


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

"""Session state of a pooled connection, and the commands that change it."""

import string

from ...wire.service import Access
from .connection import Command, Discard, SetValue

# Names of a connection's prepared statements; it is cleared between transactions once
# all are used up. No name is shorter, so that renaming makes no statement longer.
PREPARED_NAMES = string.ascii_letters + string.digits


class PreparedStatement:
    """A prepared statement, independent of the name that it is prepared under."""

    __slots__ = ("access", "shape")

    def __init__(self, access: Access, shape: str):
        self.access = access
        self.shape = shape

    def key(self) -> tuple[Access, str]:
        """Returns a value that is equal for equal prepared statements."""
        return (self.access, self.shape)


class ConnectionState:
    """The session state that is set on a pooled connection.

    :ivar values: session values by name.
    :ivar prepared: names of its prepared statements, by access and shape.
    :ivar next_name: index of the next prepared statement's name, counted since the
        connection was cleared.
    """

    __slots__ = ("values", "prepared", "next_name")

    def __init__(self):
        self.values: dict[str, str] = {}
        self.prepared: dict[tuple[Access, str], str] = {}
        self.next_name = 0

    def clear(self) -> None:
        """Records that the connection was cleared."""
        self.values = {}
        self.prepared = {}
        self.next_name = 0

    def name_of(self, prepared: PreparedStatement) -> str:
        """Returns the connection's name of a prepared statement, or an empty string."""
        return self.prepared.get(prepared.key(), "")

    def add_name(self, prepared: PreparedStatement) -> str:
        """Returns a new name, under which the caller must prepare the statement."""
        if self.has_short_name():
            name = PREPARED_NAMES[self.next_name]
        else:
            name = f"g{self.next_name}"
        self.next_name += 1
        self.prepared[prepared.key()] = name
        return name

    def has_short_name(self) -> bool:
        """Whether one of ``PREPARED_NAMES`` is left."""
        return self.next_name < len(PREPARED_NAMES)

    def needs_discard(self, values: dict[str, str]) -> bool:
        """Whether a value is set that a session with ``values`` does not have."""
        return any(name not in values for name in self.values)


def commands_for_values(
    connection_state: ConnectionState,
    values: dict[str, str],
    in_transaction: bool = False,
) -> list[Command]:
    """Returns the commands that give a connection the values of a session.

    Between transactions they also clear one that has no short name left.

    ``connection_state`` is updated before the commands are sent, since the connection
    is closed if one of them fails. So the caller must send them, or close it.
    """
    commands: list[Command] = []
    lacks_names = not in_transaction and not connection_state.has_short_name()
    if lacks_names or connection_state.needs_discard(values):
        commands.append(Discard())
        connection_state.clear()
    for name, value in values.items():
        if connection_state.values.get(name) != value:
            commands.append(SetValue(name, value))
            connection_state.values[name] = value
    return commands

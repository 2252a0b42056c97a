"""Decides what a pooled connection must be told before it serves a session."""

from ..wire.service import Access
from .connection import Command, Discard, SetValue

MAX_PREPARED = 64


class PreparedStatement:
    """What a session or a connection means by a prepared name."""

    __slots__ = ("access", "shape")

    def __init__(self, access: Access, shape: str):
        self.access = access
        self.shape = shape

    def key(self) -> tuple[Access, str]:
        """Returns what tells prepared statements apart."""
        return (self.access, self.shape)


class CarriedState:
    """What a pooled connection holds.

    :ivar values: session values that are set on it.
    :ivar prepared: its names of prepared statements, by access and shape.
    """

    __slots__ = ("values", "prepared", "next_name")

    def __init__(self):
        self.values: dict[str, str] = {}
        self.prepared: dict[tuple[Access, str], str] = {}
        self.next_name = 0

    def clear(self) -> None:
        """Notes that the connection was cleared."""
        self.values = {}
        self.prepared = {}

    def name_of(self, prepared: PreparedStatement) -> str:
        """Returns the connection's name of a prepared statement, or nothing."""
        return self.prepared.get(prepared.key(), "")

    def add_name(self, prepared: PreparedStatement) -> str:
        """Returns a new name, which the connection is about to be told."""
        name = f"g{self.next_name}"
        self.next_name += 1
        self.prepared[prepared.key()] = name
        return name

    def needs_discard(self, values: dict[str, str]) -> bool:
        """Whether it holds a value that a session with ``values`` does not."""
        return any(name not in values for name in self.values)


def commands_for_values(carried: CarriedState, values: dict[str, str]) -> list[Command]:
    """Returns what makes the connection's values those of a session.

    ``carried`` is taken as told at once: the connection is closed if one of the
    commands is not answered with success.
    """
    commands: list[Command] = []
    if carried.needs_discard(values) or len(carried.prepared) > MAX_PREPARED:
        commands.append(Discard())
        carried.clear()
    for name, value in values.items():
        if carried.values.get(name) != value:
            commands.append(SetValue(name, value))
            carried.values[name] = value
    return commands

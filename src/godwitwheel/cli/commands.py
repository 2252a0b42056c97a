"""The list of all commands."""

from .command import Command
from .processes import ControlCommand, ProxyCommand


def all_commands() -> list[Command]:
    """Returns one of each command."""
    return [ProxyCommand(), ControlCommand()]

"""The list of all commands."""

from .command import Command
from .processes import ControlCommand, ProxyCommand
from .publish_command import PublishCommand
from .timeline_command import TimelineCommand


def all_commands() -> list[Command]:
    """Returns an instance of each command."""
    return [ProxyCommand(), ControlCommand(), PublishCommand(), TimelineCommand()]

"""The base class of the commands."""

import argparse
from abc import ABC, abstractmethod

from .options import Option


class Command(ABC):
    """One subcommand.

    :ivar name: its name on the command line.
    :ivar help: its line in the list of commands.
    :ivar options: all of its settings.
    :ivar positional: metavar of its positional arguments, empty if it has none.
    """

    name: str
    help: str
    options: list[Option]
    positional = ""

    def add_to(self, subparsers: argparse._SubParsersAction) -> None:
        """Adds the subcommand with its flags."""
        parser = subparsers.add_parser(
            self.name,
            help=self.help,
            description=self.help,
            epilog=self.__doc__,
            allow_abbrev=False,
        )
        for option in self.options:
            option.add_to(parser)
        if self.positional:
            parser.add_argument("paths", nargs="*", metavar=self.positional)

    def check(self, values: dict[str, object]) -> list[str]:
        """Returns problems of settings that are invalid only in combination."""
        return []

    @abstractmethod
    def run(self, values: dict[str, object], paths: list[str]) -> int:
        """Runs the command and returns the exit status."""

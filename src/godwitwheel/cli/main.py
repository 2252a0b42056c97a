"""The entry point of the command line."""

import argparse
import os
import sys
from collections.abc import Mapping

import msgspec

from ..internal.errors import GodwitwheelError
from ..internal.loop import patch_standard_library
from .exit_status import EXIT_FAILED, EXIT_INVALID


class PrintVersion(argparse.Action):
    """Prints the version, the sources, and what runs them."""

    def __call__(self, parser, namespace, values, option_string=None):
        from ..observe.build import running_build

        print(msgspec.json.encode(running_build().fields()).decode())
        parser.exit()


def _parse(commands: list, argv: list[str]) -> tuple[argparse.Namespace, list[str]]:
    parser = argparse.ArgumentParser(
        prog="godwitwheel",
        description="A database proxy with session consistency.",
        epilog="Every flag is also an environment variable; the flag wins.",
        allow_abbrev=False,
    )
    parser.add_argument(
        "--version", action=PrintVersion, nargs=0, help="print what would run"
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for command in commands:
        command.add_to(subparsers)
    return parser.parse_known_args(argv)


def run_command(argv: list[str], environ: Mapping[str, str]) -> int:
    """Reads all settings, then runs the command if every one is valid.

    :returns: the exit status.
    """
    from .commands import all_commands
    from .errors import InvalidSettings
    from .options import read_options, unknown_variables

    commands = all_commands()
    arguments, unknown = _parse(commands, argv)
    command = next(each for each in commands if each.name == arguments.command)
    problems = [f"{flag}: no such flag or argument" for flag in unknown]
    every_option = [option for each in commands for option in each.options]
    problems += unknown_variables(every_option, environ)
    try:
        values = read_options(command.options, arguments, environ)
        problems += command.check(values)
    except InvalidSettings as error:
        problems += error.problems
    paths = getattr(arguments, "paths", [])
    if command.positional and not paths:
        problems.append(f"{command.positional}: required, not given")
    if problems:
        for problem in problems:
            print(f"godwitwheel {command.name}: {problem}", file=sys.stderr)
        return EXIT_INVALID
    return command.run(values, paths)


def main(argv: list[str] | None = None) -> int:
    """Runs the command line and returns the exit status."""
    # This must precede the import of the commands, whose modules open sockets.
    patch_standard_library()
    arguments = sys.argv[1:] if argv is None else argv
    try:
        return run_command(arguments, os.environ)
    except (GodwitwheelError, OSError) as error:
        print(f"godwitwheel: {error}", file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED

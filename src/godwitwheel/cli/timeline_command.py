"""The command that shows the events of all processes in order."""

import os
import sys
from collections.abc import Iterable

from ..observe.events import EventName
from .command import Command
from .options import Option
from .values import parse_boolean, parse_names


def _names(name: str, what: str, unit: str, flag: str) -> Option:
    help = f"show only these {what}, separated by commas"
    return Option(name, help, parse_names, [], unit, flag)


class TimelineCommand(Command):
    """Each LOG is a log file, or a folder whose *.log files are read."""

    name = "timeline"
    help = "merge the logs of all processes into one ordered timeline"
    positional = "LOG"
    options = [
        _names("events", "events", "EVENT,...", "--event"),
        _names("groups", "groups' events", "GROUP,...", "--group"),
        _names("processes", "processes' events", "ID,...", "--process"),
        Option("json", "print JSON lines", parse_boolean, False),
    ]

    def check(self, values: dict[str, object]) -> list[str]:
        known = {event.value for event in EventName}
        return [
            f"--event: got {name!r}, expected one of {', '.join(sorted(known))}"
            for name in values["events"]
            if name not in known
        ]

    def run(self, values: dict[str, object], paths: list[str]) -> int:
        from ..observe.timeline import (
            TimelineFilter,
            format_columns,
            format_json,
            read_timeline,
        )

        event_filter = TimelineFilter(
            values["events"], values["groups"], values["processes"]
        )
        timeline = read_timeline(paths, event_filter)
        for path, count in timeline.unreadable.items():
            print(f"{path}: {count} lines are no events", file=sys.stderr)
        render = format_json if values["json"] else format_columns
        return self.show(render(timeline.events))

    def show(self, lines: Iterable[str]) -> int:
        """Prints lines until the reader closes the pipe."""
        try:
            for line in lines:
                print(line)
            sys.stdout.flush()
        except BrokenPipeError:
            # Otherwise Python would flush standard output at exit and fail again.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0

"""Events that the processes recorded while a day was played."""

import json
import re
from pathlib import Path

# Seconds from the start of traffic, the process, and one event as JSON.
_LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*)")
# Ids, addresses and numbers differ between failures of the same cause.
_VARIABLE = re.compile(r"i-[0-9a-f]+|\d+(?:\.\d+)*(?::\d+)?")


class LoggedEvent:
    """One line of a process's log.

    :ivar at_s: when it was written, in seconds from the start of traffic.
    :ivar name: the event's name.
    :ivar fields: all fields of the line.
    """

    __slots__ = ("at_s", "process", "name", "fields")

    def __init__(self, at_s: float, process: str, name: str, fields: dict):
        self.at_s = at_s
        self.process = process
        self.name = name
        self.fields = fields

    def occurrences(self) -> int:
        """Returns how many events the line stands for; some are left out of logs."""
        return 1 + int(self.fields.get("lines_left_out", 0))

    def cause(self) -> str:
        """Returns what failed and why, the same for all failures of one kind."""
        kind = self.fields.get("consistency", "session")
        outcome = self.fields.get("outcome", "")
        reason = _VARIABLE.sub("#", str(self.fields.get("reason", "")))
        return " | ".join(part for part in (kind, outcome, reason) if part)


def read_events(path: Path) -> list[LoggedEvent]:
    """Reads the output of a played day; other lines are ignored."""
    events = []
    with path.open(errors="replace") as lines:
        for line in lines:
            match = _LINE.match(line)
            if match is None:
                continue
            try:
                fields = json.loads(match[3])
            except json.JSONDecodeError:
                # The last line of a killed process may be incomplete.
                continue
            name = str(fields.get("message_type", ""))
            events.append(LoggedEvent(float(match[1]), match[2], name, fields))
    return events

"""Merges the logs of all processes into one ordered timeline.

Events of one process keep the order in which it wrote them, even if its wall clock
stepped back. Events of different processes are ordered by wall clock, so those that
are closer together than the clock skew between VMs may appear in either order.
"""

import datetime
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

import msgspec

from .errors import LogUnreadable
from .events import EventName

LOG_PATTERN = "*.log"
_ELIOT_FIELDS = ("task_uuid", "task_level")
# The start of the year 3000, in seconds since the Unix epoch.
_LATEST_TIMESTAMP = 32_503_680_000.0


class _Line(msgspec.Struct):
    """The fields that every line of a log has."""

    timestamp: Annotated[float, msgspec.Meta(ge=0, lt=_LATEST_TIMESTAMP)]
    message_type: str
    process_id: str
    role: str
    data_centre: str
    pid: int
    sequence: int


class TimelineEvent:
    """One event of one process.

    :ivar time: wall time in seconds, never before the same process's previous event.
    :ivar raw: the whole line, as the process wrote it.
    """

    __slots__ = ("time", "line", "raw")

    def __init__(self, time: float, line: _Line, raw: dict):
        self.time = time
        self.line = line
        self.raw = raw

    def fields(self) -> dict[str, object]:
        """Returns the event's own fields, without those that every line has."""
        common = {*_Line.__struct_fields__, *_ELIOT_FIELDS}
        return {name: v for name, v in self.raw.items() if name not in common}


class TimelineFilter:
    """Which events to show; an empty set does not restrict them."""

    __slots__ = ("events", "groups", "processes")

    def __init__(
        self,
        events: Iterable[str] = (),
        groups: Iterable[str] = (),
        processes: Iterable[str] = (),
    ):
        self.events = frozenset(events)
        self.groups = frozenset(groups)
        self.processes = frozenset(processes)

    def matches(self, event: TimelineEvent) -> bool:
        """Whether the event passes the filter."""
        if self.events and event.line.message_type not in self.events:
            return False
        if self.groups and event.raw.get("group") not in self.groups:
            return False
        return not self.processes or event.line.process_id in self.processes


class Timeline:
    """All events of some logs.

    :ivar events: in order, filtered.
    :ivar unreadable: number of lines that are not events, by file; a killed process
        may leave a truncated line.
    """

    __slots__ = ("events", "unreadable")

    def __init__(self):
        self.events: list[TimelineEvent] = []
        self.unreadable: dict[str, int] = {}

    def add_log(self, path: Path, event_filter: TimelineFilter) -> None:
        """Reads one log.

        :raises LogUnreadable: if it can't be read.
        """
        latest_times: dict[tuple[str, int], float] = {}
        try:
            with path.open("rb") as file:
                for text in file:
                    event = _parse(text, latest_times)
                    if event is None:
                        count = self.unreadable.get(str(path), 0)
                        self.unreadable[str(path)] = count + 1
                    elif event_filter.matches(event):
                        self.events.append(event)
        except OSError as error:
            raise LogUnreadable(f"log {str(path)!r}: {error.strerror}") from error

    def sort(self) -> None:
        """Orders the events; the order within a process is kept."""
        self.events.sort(key=lambda event: event.time)


def _parse(
    text: bytes, latest_times: dict[tuple[str, int], float]
) -> TimelineEvent | None:
    try:
        raw = msgspec.json.decode(text)
        line = msgspec.convert(raw, _Line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    process = (line.process_id, line.pid)
    time = max(line.timestamp, latest_times.get(process, line.timestamp))
    latest_times[process] = time
    return TimelineEvent(time, line, raw)


def find_logs(paths: Iterable[str]) -> Iterator[Path]:
    """Yields the given files and each ``*.log`` in the given folders."""
    for path in map(Path, paths):
        if path.is_dir():
            yield from sorted(path.glob(LOG_PATTERN))
        else:
            yield path


def read_timeline(paths: Iterable[str], event_filter: TimelineFilter) -> Timeline:
    """Reads and merges logs.

    :raises LogUnreadable: if a log can't be read.
    """
    timeline = Timeline()
    for path in find_logs(paths):
        timeline.add_log(path, event_filter)
    timeline.sort()
    return timeline


def format_json(events: Iterable[TimelineEvent]) -> Iterator[str]:
    """Yields each event as the process wrote it, one JSON line each."""
    for event in events:
        yield msgspec.json.encode(event.raw).decode()


def format_columns(events: list[TimelineEvent]) -> Iterator[str]:
    """Yields aligned columns: time, time since the last event, process, event, fields.

    An event at which a group accepts writes again gets the field ``gap_s``: seconds
    since the group's ``primary_lost`` event.
    """
    source_width = max((len(_source(event)) for event in events), default=0)
    name_width = max((len(event.line.message_type) for event in events), default=0)
    previous = events[0].time if events else 0.0
    primary_lost_at: dict[object, float] = {}
    for event in events:
        fields = {**event.fields(), **_write_gap(event, primary_lost_at)}
        yield " ".join(
            [
                _format_time(event.time),
                f"{event.time - previous:+9.3f}",
                _source(event).ljust(source_width),
                event.line.message_type.ljust(name_width),
                *(f"{name}={_format_value(value)}" for name, value in fields.items()),
            ]
        ).rstrip()
        previous = event.time


def _write_gap(
    event: TimelineEvent, primary_lost_at: dict[object, float]
) -> dict[str, float]:
    group = event.raw.get("group")
    name = event.line.message_type
    if name == EventName.primary_lost:
        primary_lost_at.setdefault(_format_value(group), event.time)
    if name == EventName.writes_accepted and _format_value(group) in primary_lost_at:
        return {
            "gap_s": round(event.time - primary_lost_at.pop(_format_value(group)), 3)
        }
    return {}


def _format_time(time: float) -> str:
    moment = datetime.datetime.fromtimestamp(time, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.") + f"{moment.microsecond // 1000:03d}"


def _source(event: TimelineEvent) -> str:
    source = f"{event.line.role} {event.line.process_id}"
    return f"{source} ({event.line.data_centre})" if event.line.data_centre else source


def _format_value(value: object) -> str:
    if isinstance(value, str) and value and value.isprintable() and " " not in value:
        return value
    return msgspec.json.encode(value).decode()

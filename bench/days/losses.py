"""``python -m bench.days.losses``: shows where and why a day's worth is lost.

Plays one day and joins the bench's report with the logs of the processes: the share of
each part of the score, the windows that lost most credit, and in these the failures by
cause and the decisions that were made.
"""

import argparse
from collections import Counter
from pathlib import Path

from .player import DayPlayer, DayRun
from .process_logs import LoggedEvent, read_events
from .reports import DayReport, WindowReport

WINDOW_S = 2.0
FAILURES = frozenset(("statement_failed", "session_refused"))
# Events of single statements, and of tables that every process fetches.
FREQUENT = FAILURES | {"statement_done", "table_in_force", "table_published"}
# Events of one kind in a window that are listed one by one.
LISTED_EVENTS = 12


def show_shares(report: DayReport) -> None:
    """Prints how much worth each part of the score and each price takes."""
    print(f"worth {report.worth:.3f}, broken rules: {report.rules or 'none'}")
    shares = sorted(report.lost_worth().items(), key=lambda item: -item[1])
    for name, lost in shares:
        if lost >= 0.0005:
            print(f"  {lost:.4f}  {name}")


def costliest_windows(report: DayReport, count: int) -> list[WindowReport]:
    """Returns the windows that lost most credit, the costliest first."""

    def lost_credit(window: WindowReport) -> float:
        return window.requests * (1.0 - window.credit)

    return sorted(report.windows, key=lost_credit, reverse=True)[:count]


def show_window(window: WindowReport, events: list[LoggedEvent]) -> None:
    """Prints the failures and decisions in one window."""
    print(
        f"\n{window.start_s:.0f} s: {window.requests} requests, "
        f"{window.requests * (1.0 - window.credit):.0f} lost"
    )
    inside = [
        event
        for event in events
        if window.start_s <= event.at_s < window.start_s + WINDOW_S
    ]
    causes: Counter[str] = Counter()
    for event in inside:
        if event.name in FAILURES:
            causes[event.cause()] += event.occurrences()
    for cause, count in causes.most_common():
        print(f"  {count:5} x {cause}")
    listed: Counter[str] = Counter()
    for event in inside:
        if event.name in FREQUENT:
            continue
        listed[event.name] += 1
        if listed[event.name] <= LISTED_EVENTS:
            print(f"  {event.at_s:8.3f} {event.process} {describe(event)}")


def describe(event: LoggedEvent) -> str:
    """Returns an event's name and its own fields on one line."""
    shared = {
        "timestamp",
        "task_uuid",
        "task_level",
        "message_type",
        "process_id",
        "role",
        "data_centre",
        "pid",
        "sequence",
    }
    fields = [f"{k}={v}" for k, v in event.fields.items() if k not in shared]
    return f"{event.name} {' '.join(fields)}"[:200]


def main() -> None:
    """Plays the day that the command line names and prints its losses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("fleetbench", type=Path, help="program of the users' bench")
    parser.add_argument("site", type=Path, help="site file")
    parser.add_argument("day", help="name of a standard day, or a day file")
    parser.add_argument("--tree", type=Path, default=Path("."), help="checkout")
    parser.add_argument("--seed", type=int, help="varies the day")
    parser.add_argument("--windows", type=int, default=6)
    parser.add_argument("--log", type=Path, required=True, help="file for all logs")
    parser.add_argument("--why", default="where worth is lost")
    options = parser.parse_args()
    player = DayPlayer(options.fleetbench, options.tree, options.why)
    report = player.play(DayRun(options.site, options.day, options.seed), options.log)
    events = read_events(options.log)
    show_shares(report)
    for window in costliest_windows(report, options.windows):
        show_window(window, events)


if __name__ == "__main__":
    main()

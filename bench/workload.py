"""Requests of the two users, and the checks of their answers."""

import json
from abc import ABC, abstractmethod

from godwitwheel.wire.caller import CallerAnswer, CallerRequest, CallerStatement

from .records import RequestKind

LISTED_ENTRIES = 50

_INSERT = "INSERT INTO entries (key, caller) VALUES (?, ?) RETURNING id, key, caller"
_LIST_OWN = (
    "SELECT ?, (SELECT json_group_array(key) FROM (SELECT key FROM entries"
    f" WHERE caller = ? ORDER BY id DESC LIMIT {LISTED_ENTRIES}))"
)
_SHOW_HIGHEST = "SELECT ?, coalesce(max(id), 0) FROM entries"


class AnswerContent:
    """The checked content of an answer.

    :ivar keys: keys of the entries in it.
    :ivar entry_id: id of the written entry, or the highest id that it shows.
    :ivar faults: errors found in it.
    """

    __slots__ = ("keys", "entry_id", "faults")

    def __init__(self, keys: list[str], entry_id: int, faults: list[str]):
        self.keys = keys
        self.entry_id = entry_id
        self.faults = faults


class NamedRequest(ABC):
    """A request that a service's file declares.

    :ivar max_staleness_ms: as the service's file declares it.
    :ivar entries: how many entries it adds; 0 for a read.
    """

    __slots__ = ("service", "request", "group", "max_staleness_ms", "entries")

    kind: RequestKind

    def __init__(self, service: str, request: str, group: str, max_staleness_ms: int):
        self.service = service
        self.request = request
        self.group = group
        self.max_staleness_ms = max_staleness_ms
        self.entries = 0

    def build(self, key: str, caller: str) -> CallerRequest:
        """Returns the request that ``caller`` sends."""
        statements = [CallerStatement(*part) for part in self.statements(key, caller)]
        return CallerRequest(self.service, self.request, statements)

    @abstractmethod
    def statements(self, key: str, caller: str) -> list[tuple[str, list]]:
        """Returns SQL and parameters."""

    @abstractmethod
    def read(self, answer: CallerAnswer, key: str, caller: str) -> AnswerContent:
        """Checks the answer of a request that was done and returns its content."""


class Booking(NamedRequest):
    """Adds one entry, or two in one transaction."""

    __slots__ = ()

    kind = RequestKind.write

    def __init__(self, service: str, request: str, group: str, entries: int = 1):
        super().__init__(service, request, group, 0)
        self.entries = entries

    def statements(self, key: str, caller: str) -> list[tuple[str, list]]:
        return [(_INSERT, [name, caller]) for name in entry_keys(key, self.entries)]

    def read(self, answer: CallerAnswer, key: str, caller: str) -> AnswerContent:
        rows = [row for result in answer.results for row in result.rows]
        expected = [[name, caller] for name in entry_keys(key, self.entries)]
        if [row[1:] for row in rows] != expected:
            return AnswerContent([], 0, [f"answer of another request: {rows!r}"])
        return AnswerContent([row[1] for row in rows], rows[0][0], [])


class OwnEntries(NamedRequest):
    """Lists the caller's entries, newest first."""

    __slots__ = ()

    kind = RequestKind.own_read

    def statements(self, key: str, caller: str) -> list[tuple[str, list]]:
        return [(_LIST_OWN, [key, caller])]

    def read(self, answer: CallerAnswer, key: str, caller: str) -> AnswerContent:
        row, faults = _single_row(answer, key)
        return AnswerContent(json.loads(row[1]) if row else [], 0, faults)


class SharedView(NamedRequest):
    """Shows the highest entry id of all callers, as availability and stock views do."""

    __slots__ = ()

    kind = RequestKind.shared_read

    def statements(self, key: str, caller: str) -> list[tuple[str, list]]:
        return [(_SHOW_HIGHEST, [key])]

    def read(self, answer: CallerAnswer, key: str, caller: str) -> AnswerContent:
        row, faults = _single_row(answer, key)
        return AnswerContent([], row[1] if row else 0, faults)


def entry_keys(key: str, entries: int) -> list[str]:
    """Returns the keys of the entries that one booking adds."""
    return [key, *(f"{key}/{number}" for number in range(2, entries + 1))]


def _single_row(answer: CallerAnswer, key: str) -> tuple[list | None, list[str]]:
    rows = [row for result in answer.results for row in result.rows]
    if len(rows) != 1 or rows[0][0] != key:
        return None, [f"answer of another request: {rows!r}"]
    return rows[0], []


class Mix:
    """A workload: requests with their relative frequencies.

    :ivar weights: relative frequency of each request; they need not add up to 1.
    """

    __slots__ = ("requests", "weights")

    def __init__(self, shares: list[tuple[NamedRequest, float]]):
        self.requests = [request for request, _ in shares]
        self.weights = [weight for _, weight in shares]


def ferreira_mix(groups: list[str], order_entries: int = 2) -> Mix:
    """Returns the evening peak load: bookings, orders, the portal's availability."""
    shares: list[tuple[NamedRequest, float]] = []
    for group in groups:
        site = group.removeprefix("hangars-")
        ledger, orders = "hangar-ledger", "crew-orders"
        shares += [
            (Booking(ledger, f"book-{site}", group), 3.0),
            (Booking(orders, f"order-{site}", group, order_entries), 1.0),
            (OwnEntries(ledger, f"bookings-{site}", group, 2000), 3.0),
            (OwnEntries(orders, f"orders-{site}", group, 500), 1.0),
            (SharedView(ledger, f"availability-{site}", group, 2000), 4.0),
        ]
    return Mix(shares)


def single_statement_mix(groups: list[str]) -> Mix:
    """Returns the evening peak load without transactions of several statements.

    The stand-in runs one such transaction at a time, which would limit the throughput
    before its slots do.
    """
    return ferreira_mix(groups, order_entries=1)


def agency_mix(groups: list[str]) -> Mix:
    """Returns the peak load before a tournament: mostly stock views and tracking."""
    shares: list[tuple[NamedRequest, float]] = []
    for group in groups:
        region = group.removeprefix("kit-")
        shares += [
            (Booking("db-kit", f"order-{region}", group), 1.0),
            (OwnEntries("db-kit", f"issued-{region}", group, 3000), 2.0),
            (SharedView("db-kit", f"stock-{region}", group, 5000), 4.0),
            (SharedView("delivery-tracking", f"track-{region}", group, 5000), 3.0),
        ]
    return Mix(shares)

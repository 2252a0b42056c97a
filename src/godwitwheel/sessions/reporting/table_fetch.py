"""Fetches the routing table from control, in chunks and as changes."""

import random

from ...directory.errors import InvalidChange
from ...directory.table_changes import apply_change
from ...directory.table_chunks import CHUNK_BYTES, decode_change, table_path
from ...internal.loop import sleep
from ...internal.signals import ChangeSignal
from ...internal.validation import is_whole_number
from ...observe.events import EventName, record_event
from ...wire.client import Client
from ...wire.errors import WireError
from ...wire.numbers import MAX_NUMBER
from ...wire.status import GONE, NOT_FOUND, PARTIAL, UNAVAILABLE
from ..board import SessionBoard
from .backoff import postponed_pause_s, retry_pause_s
from .members import ControlMembers

CHUNK_TIMEOUT_S = 2.0
# Longest wait for a new version, in seconds; a notification ends it sooner.
IDLE_WAIT_S = 1.0


class TableTransfer:
    """The chunks of one change that have arrived so far.

    :ivar base_version: version of the table to which the change will be applied; 0 for
        a complete table.
    :ivar total: size of the encoded change, in bytes, or ``None`` before the first
        chunk.
    """

    __slots__ = ("base_version", "version", "total", "data")

    def __init__(self, base_version: int, version: int):
        self.base_version = base_version
        self.version = version
        self.total: int | None = None
        self.data = bytearray()

    def next_path(self) -> str:
        """Returns the path of the next chunk."""
        return table_path(self.base_version, self.version, len(self.data))

    def is_complete(self) -> bool:
        """Whether all chunks have arrived."""
        return len(self.data) == self.total

    def add(self, content_range: str, chunk: bytes) -> None:
        """Adds the next chunk.

        :raises InvalidChange: if it does not continue what has arrived.
        """
        offset = len(self.data)
        span, _, total_text = content_range.partition("/")
        if span != f"bytes {offset}-{offset + len(chunk) - 1}" or not chunk:
            raise InvalidChange(f"{len(chunk)} bytes at {offset}, got {content_range}")
        if not is_whole_number(total_text, MAX_NUMBER):
            raise InvalidChange(f"total size: got {total_text[:40]!r}")
        total = int(total_text)
        if self.total not in (None, total):
            raise InvalidChange(f"total size: got {total}, expected {self.total}")
        if len(chunk) != min(CHUNK_BYTES, total - offset):
            raise InvalidChange(f"{len(chunk)} bytes at {offset} of {total}")
        self.total = total
        self.data += chunk


class TableFetcher:
    """Keeps the routing table up to date with the version that control names.

    :ivar advertised: newest version that control has named.
    :ivar transfer: the transfer in progress, or ``None``.
    :ivar address: member from which the transfer's chunks come, or empty.
    :ivar failures: requests that failed in a row.
    :ivar forgets_base: whether the next transfer is of a complete table, because
        members don't know the held one any more.
    :ivar noticed: notified when there is a newer version.
    """

    __slots__ = (
        "board",
        "members",
        "client",
        "rng",
        "advertised",
        "transfer",
        "address",
        "failures",
        "forgets_base",
        "noticed",
    )

    def __init__(
        self,
        board: SessionBoard,
        members: ControlMembers,
        client: Client,
        rng: random.Random,
    ):
        self.board = board
        self.members = members
        self.client = client
        self.rng = rng
        self.advertised = 0
        self.transfer: TableTransfer | None = None
        self.address = ""
        self.failures = 0
        self.forgets_base = False
        self.noticed = ChangeSignal()

    def advertise(self, version: int) -> None:
        """Records the version of the active table, which control named."""
        if version > self.advertised:
            self.advertised = version
            self.noticed.notify()

    def run(self) -> None:
        """Fetches new tables until the process stops."""
        while True:
            if self.is_current():
                self.noticed.wait(IDLE_WAIT_S)
            else:
                sleep(self.step())

    def is_current(self) -> bool:
        """Whether the held table is the newest that control has named."""
        return self.board.view.table.version >= self.advertised

    def step(self) -> float:
        """Fetches the next chunk, and applies the change if it is complete.

        :returns: the pause before the next step, in seconds.
        """
        if self.transfer is None:
            self.transfer = self._begin()
        now = self.board.clock.now()
        if not self.address:
            self.address = self._choose_member(now)
        try:
            status, headers, chunk = self.client.fetch(
                self.address, self.transfer.next_path(), CHUNK_TIMEOUT_S
            )
        except WireError as error:
            return self._retry_elsewhere(str(error))
        if status == PARTIAL:
            return self._add(headers.get("content-range", ""), chunk)
        if status == UNAVAILABLE:
            return postponed_pause_s(self.rng)
        if status == GONE:
            self.forgets_base = True
            self.transfer = None
        elif status == NOT_FOUND and self.transfer.version != self.advertised:
            self.transfer = None
        return self._retry_elsewhere(f"status {status}")

    def _choose_member(self, now: float) -> str:
        """Returns the member to ask for the next chunk.

        The leader has the version that it named, while another member may not have
        applied it yet. What does not fit into one chunk is left to the others.
        """
        if self.transfer.data:
            return self.members.random_address(now)
        return self.members.next_address(now)

    def _begin(self) -> TableTransfer:
        base_version = 0 if self.forgets_base else self.board.view.table.version
        return TableTransfer(base_version, self.advertised)

    def _add(self, content_range: str, chunk: bytes) -> float:
        transfer = self.transfer
        try:
            transfer.add(content_range, chunk)
            if not transfer.is_complete():
                self.failures = 0
                if self.address == self.members.leader:
                    self.address = ""
                return 0.0
            self._apply(transfer)
        except InvalidChange as error:
            self.transfer = None
            return self._retry_elsewhere(str(error))
        self.transfer = None
        self.address = ""
        self.failures = 0
        return 0.0

    def _apply(self, transfer: TableTransfer) -> None:
        change = decode_change(bytes(transfer.data))
        table = apply_change(self.board.view.table, change)
        if table is None or table.version != transfer.version:
            raise InvalidChange(
                f"change from {change.base_version} to {change.table.version}, "
                f"expected {transfer.base_version} to {transfer.version}"
            )
        self.forgets_base = False
        if self.board.apply_table(table):
            record_event(
                EventName.table_in_force,
                version=table.version,
                base=transfer.base_version,
                bytes=transfer.total,
            )

    def _retry_elsewhere(self, reason: str) -> float:
        """Leaves the member that failed; returns the pause, in seconds."""
        self.failures += 1
        record_event(
            EventName.table_fetch_failed,
            address=self.address,
            version=self.advertised,
            reason=reason,
        )
        now = self.board.clock.now()
        self.address = self.members.random_address(now, excluded=self.address)
        return retry_pause_s(self.failures, self.rng)

"""Judges requests without an answer, by what disturbed the system meanwhile."""

import time

from godwitwheel.wire.errors import WireError
from godwitwheel.wire.streams import StreamTimeout

from .fleet_processes import FleetProcesses
from .promises import Promises

# The system may still recover from a fault for so long after it has ended.
RECOVERY_S = 6.0
# A stop that was asked for must not cut off a request for so long.
GRACEFUL_S = 7.0


class Calm:
    """Knows since when nothing but planned work has disturbed the system.

    :ivar unplanned: how many faults hold that are no planned work.
    :ivar since: when the last of them ended.
    """

    __slots__ = ("fleet", "promises", "unplanned", "since")

    def __init__(self, fleet: FleetProcesses, promises: Promises):
        self.fleet = fleet
        self.promises = promises
        self.unplanned = 0
        self.since = time.monotonic()

    def begin_fault(self) -> None:
        """Notes that an unplanned fault begins."""
        self.unplanned += 1

    def end_fault(self) -> None:
        """Notes that one has ended."""
        self.unplanned -= 1
        self.since = time.monotonic()

    def note_unanswered(
        self, host: str, request_id: str, sent_at: float, error: WireError
    ) -> None:
        """Judges a request whose connection ended or stayed silent."""
        if self.unplanned or sent_at - self.since < RECOVERY_S:
            return
        if isinstance(error, StreamTimeout):
            self.promises.broke("HELD", f"{request_id}: no answer from {host}")
            return
        stopped_at = self.fleet.graceful_at.get(host)
        if stopped_at is not None and time.monotonic() - stopped_at < GRACEFUL_S:
            self.promises.broke("LOST", f"{request_id}: cut off by a stop of {host}")

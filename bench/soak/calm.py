"""Checks requests without an answer that no unplanned fault can explain."""

import time

from godwitwheel.wire.errors import WireError
from godwitwheel.wire.streams import StreamTimeout

from .fleet_processes import FleetProcesses
from .promises import PromiseChecker

# A request sent within this time after an unplanned fault may stay unanswered, since
# the system may still be recovering.
RECOVERY_TIME_S = 6.0
# A connection lost within this time after a requested stop of its host is attributed
# to the stop, which must not interrupt requests.
STOP_TIME_S = 7.0


class FaultTracker:
    """Tracks unplanned faults, which excuse requests that get no answer.

    Planned work of an operator (a requested stop, a change of the routing table)
    excuses none.

    :ivar active_unplanned: number of unplanned faults that are active.
    :ivar last_ended_at: when the last of them ended, or the start of the run.
    """

    __slots__ = ("fleet", "promises", "active_unplanned", "last_ended_at")

    def __init__(self, fleet: FleetProcesses, promises: PromiseChecker):
        self.fleet = fleet
        self.promises = promises
        self.active_unplanned = 0
        self.last_ended_at = time.monotonic()

    def begin_fault(self) -> None:
        """Records the start of an unplanned fault."""
        self.active_unplanned += 1

    def end_fault(self) -> None:
        """Records the end of an unplanned fault."""
        self.active_unplanned -= 1
        self.last_ended_at = time.monotonic()

    def check_unanswered(
        self, host: str, request_id: str, sent_at: float, error: WireError
    ) -> None:
        """Checks a request whose connection ended or whose answer timed out."""
        if self.active_unplanned or sent_at - self.last_ended_at < RECOVERY_TIME_S:
            return
        if isinstance(error, StreamTimeout):
            self.promises.report_violation(
                "HELD", f"{request_id}: no answer from {host}"
            )
            return
        requested_at = self.fleet.stop_requested_at.get(host)
        if requested_at is not None and time.monotonic() - requested_at < STOP_TIME_S:
            self.promises.report_violation(
                "LOST", f"{request_id}: interrupted by a stop of {host}"
            )

"""Pull replication from the primary, with a configurable lag."""

import time

from godwitwheel.internal.loop import Task, sleep, spawn
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import WireError
from godwitwheel.wire.target import Follow, ProblemCode, Role

from .errors import TargetRefusal
from .log import LogEntry, LogPage, PullLog
from .state import TargetState

PULL_WAIT_MS = 500
PULL_TIMEOUT_S = 2.0
FOLLOW_TIMEOUT_S = 0.5
RETRY_S = 0.05
LAG_POLL_S = 0.02


class Replication:
    """Pulls the primary's log and applies it to the target.

    :ivar primary_address: address to pull from; empty at a primary.
    """

    __slots__ = ("state", "client", "primary_address", "task")

    def __init__(self, state: TargetState, client: Client):
        self.state = state
        self.client = client
        self.primary_address = ""
        self.task: Task | None = None

    def start(self, primary_address: str) -> None:
        """Pulls from ``primary_address`` until stopped."""
        self.stop()
        self.primary_address = primary_address
        self.task = spawn(self._pull_forever, primary_address)

    def stop(self) -> None:
        """Stops pulling; what was received but not applied is dropped."""
        if self.task is not None:
            self.task.kill()
        self.task = None
        self.primary_address = ""

    def promote(self, term: int) -> None:
        """Stops pulling and becomes primary of ``term``."""
        self.state.promote(term)
        self.stop()

    def follow(self, order: Follow) -> None:
        """Drops a diverged tail of the log, then replicates from another primary.

        :raises TargetRefusal: if the order is of an older term, or the primary is
            not reachable under that term.
        """
        state = self.state
        if order.term < state.term:
            raise TargetRefusal(ProblemCode.stale_term, f"term is {state.term}")
        if order.term == state.term and state.role is Role.primary and order.term:
            raise TargetRefusal(ProblemCode.bad_request, "primary of this term")
        if order.term == state.term and order.primary_address == self.primary_address:
            return
        previous_primary = self.primary_address
        # The log must not grow while the new primary compares it with its own log.
        self.stop()
        try:
            page = self._first_page(order)
        except TargetRefusal:
            if previous_primary:
                self.start(previous_primary)
            raise
        state.follow(order.term, page)
        self.start(order.primary_address)

    def _first_page(self, order: Follow) -> LogPage:
        try:
            page = self._pull(order.primary_address, 0, FOLLOW_TIMEOUT_S)
        except WireError as error:
            raise TargetRefusal(ProblemCode.bad_request, str(error), 503) from error
        if not page.is_primary or page.term != order.term:
            message = f"{order.primary_id} is at term {page.term}"
            raise TargetRefusal(ProblemCode.bad_request, message, 503)
        if order.term < self.state.term:
            raise TargetRefusal(ProblemCode.stale_term, f"term is {self.state.term}")
        return page

    def _pull(self, address: str, wait_ms: int, timeout_s: float) -> LogPage:
        pull = PullLog(self.state.log.runs(), wait_ms)
        return self.client.call(address, "/bench/log", pull, LogPage, timeout_s)

    def _pull_forever(self, address: str) -> None:
        while True:
            try:
                page = self._pull(address, PULL_WAIT_MS, PULL_TIMEOUT_S)
            except WireError:
                sleep(RETRY_S)
                continue
            if not self._is_current(page):
                sleep(RETRY_S)
                continue
            self._apply_when_due(page.entries)

    def _is_current(self, page: LogPage) -> bool:
        state = self.state
        same_term = page.is_primary and page.term == state.term
        return same_term and page.common == state.log.position()

    def _apply_when_due(self, entries: list[LogEntry]) -> None:
        remaining = entries
        while remaining:
            horizon = time.monotonic() - self.state.lag_s
            due = [entry for entry in remaining if entry.made_at <= horizon]
            if due:
                self.state.apply(due)
                remaining = remaining[len(due) :]
            else:
                remaining_s = remaining[0].made_at - horizon
                sleep(min(remaining_s, LAG_POLL_S))

"""Wires up the process that owns the connections to targets."""

import contextlib
import random

from ...internal.clock import BootClock
from ...internal.loop import running_task, sleep
from ...internal.requests import StopRequest
from ...internal.run_id import new_run_id
from ...observe.events import EventName, record_event, record_failure
from ...observe.health import observe_routes
from ...wire.client import Client
from ...wire.server import Server
from ..board import SessionBoard
from ..connections.connection import Connector
from ..context import SessionContext
from ..events import StatementLog
from ..metrics import SessionMetrics
from ..reporting.isolation import is_isolated, primary_usable_at
from ..reporting.members import ControlMembers
from ..reporting.reporting import Reporter
from ..reporting.sampler import Sampler
from .owner import Owner

# Time that control needs to assign the services to other owners after this one has
# reported that it is leaving.
HANDOVER_S = 1.0
HANDOVER_POLL_S = 0.05
# Longest request of a proxy: JSON writes a character of a statement, or of the values
# of its session, as up to six bytes.
MAX_REQUEST_BYTES = 1 << 26


class OwnerSettings:
    """Settings of an owner process.

    :ivar listen: address for requests of proxies.
    :ivar seeds: addresses at which control may be found.
    :ivar grace_period_s: time from the request to stop until the process is killed.
    """

    __slots__ = ("process_id", "data_centre", "listen", "seeds", "grace_period_s")

    def __init__(
        self,
        process_id: str,
        data_centre: str,
        listen: str,
        seeds: list[str],
        grace_period_s: float,
    ):
        self.process_id = process_id
        self.data_centre = data_centre
        self.listen = listen
        self.seeds = seeds
        self.grace_period_s = grace_period_s


class OwnerProcess:
    """One running owner process.

    :ivar members: addresses of control; the seeds may be replaced while it runs.
    :ivar reporter: ``None`` until the process runs.
    """

    __slots__ = (
        "settings",
        "clock",
        "board",
        "context",
        "members",
        "owner",
        "reporter",
    )

    def __init__(self, settings: OwnerSettings, connector: Connector):
        self.settings = settings
        self.clock = BootClock()
        self.board = SessionBoard(
            self.clock,
            connector,
            settings.data_centre,
            settings.process_id,
            serves_callers=False,
        )
        metrics = SessionMetrics(settings.process_id)
        self.context = SessionContext(self.board, StatementLog(), metrics)
        self.members = ControlMembers(settings.seeds, random.Random())
        self.reporter: Reporter | None = None
        self.owner = Owner(self.context, new_run_id(), self.is_isolated)

    def is_isolated(self) -> bool:
        """Whether this owner reaches neither control nor most of its primaries."""
        if self.reporter is None:
            return False
        answered_at = self.reporter.answered_at
        confirmations = [
            primary_usable_at(self.board, service, answered_at)
            for service in self.board.view.table.services
            if self.board.owns(service)
        ]
        return is_isolated(
            answered_at,
            self.reporter.is_control_unreachable,
            confirmations,
            self.clock.now(),
        )

    def run(self, stop: StopRequest) -> None:
        """Serves until the process is asked to stop."""
        settings = self.settings
        routes = {
            **self.owner.routes(),
            **observe_routes(self.context.metrics, lambda: True),
        }
        with contextlib.ExitStack() as stack:
            client = stack.enter_context(Client())
            reporter = self.reporter = Reporter(
                self.board,
                self.members,
                client,
                settings.process_id,
                settings.listen,
            )
            server = Server(routes, record_failure, max_body_bytes=MAX_REQUEST_BYTES)
            stack.enter_context(server.listening(settings.listen))
            for task in (
                reporter.run,
                reporter.tables.run,
                Sampler(self.context).run,
                self.owner.run_expiry,
            ):
                stack.enter_context(running_task(task, record_failure))
            stop.wait()
            self._stop(reporter)

    def _stop(self, reporter: Reporter) -> None:
        """Hands the services over to other owners and waits for open transactions."""
        record_event(EventName.process_stopping, transactions=len(self.owner.open))
        reporter.leaving = True
        reporter.report()
        deadline = self.clock.now() + self.settings.grace_period_s / 2
        handed_over_at = self.clock.now() + HANDOVER_S
        while self.clock.now() < deadline:
            sleep(HANDOVER_POLL_S)
            if not self.owner.open and self.clock.now() >= handed_over_at:
                return

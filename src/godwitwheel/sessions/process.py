"""The session proxy's process: creates its parts and connects them."""

import contextlib
import math
import random
from collections.abc import Callable

from ..internal.clock import BootClock
from ..internal.loop import running_task, sleep
from ..internal.requests import StopRequest
from ..internal.run_id import new_run_id
from ..observe.events import EventName, record_event, record_failure
from ..observe.health import observe_routes
from ..wire.client import Client
from ..wire.server import Response, Server
from ..wire.streams import Stream, StreamServer
from .board import SessionBoard
from .connections.connection import Connector
from .context import SessionContext
from .events import StatementLog
from .http_api import HttpSessions
from .metrics import SessionMetrics
from .owning.owner_calls import OwnerCalls
from .owning.owner_watch import OwnerWatch
from .owning.remote import RemoteRunner
from .reporting.isolation import Isolation, primary_usable_at
from .reporting.members import ControlMembers
from .reporting.reporting import Reporter
from .reporting.sampler import Sampler
from .running.runner import RunnerSelector
from .serving import CallerLink, SessionServer

# The load balancer checks readiness once a second and removes a proxy after two failed
# checks.
READINESS_PROPAGATION_S = 2.3
# Part of the grace period that is reserved for the process's own exit, in seconds.
EXIT_MARGIN_S = 0.7
# Interval of the checks for isolation, in seconds: while something is not answered, and
# otherwise.
ISOLATION_POLL_S = 0.1
IDLE_ISOLATION_POLL_S = 0.25


class SessionProxySettings:
    """The settings of a session proxy.

    :ivar listen: address for callers.
    :ivar readiness_listen: address for the load balancer's readiness checks.
    :ivar internal_listen: address for metrics, and for sessions over HTTP.
    :ivar readiness_path: path of the load balancer's readiness checks.
    :ivar seeds: addresses of control members to start with.
    :ivar grace_period_s: time from the request to stop until the process is killed.
    """

    __slots__ = (
        "proxy_id",
        "data_centre",
        "listen",
        "readiness_listen",
        "internal_listen",
        "readiness_path",
        "seeds",
        "grace_period_s",
    )

    def __init__(
        self,
        proxy_id: str,
        data_centre: str,
        listen: str,
        readiness_listen: str,
        internal_listen: str,
        readiness_path: str,
        seeds: list[str],
        grace_period_s: float,
    ):
        self.proxy_id = proxy_id
        self.data_centre = data_centre
        self.listen = listen
        self.readiness_listen = readiness_listen
        self.internal_listen = internal_listen
        self.readiness_path = readiness_path
        self.seeds = seeds
        self.grace_period_s = grace_period_s


class SessionProxy:
    """One running session proxy.

    :ivar members: addresses of control members; its seeds may be replaced.
    """

    __slots__ = (
        "settings",
        "clock",
        "board",
        "context",
        "members",
        "runners",
        "server",
        "http_sessions",
        "isolation",
        "stopping",
    )

    def __init__(self, settings: SessionProxySettings, connector: Connector):
        self.settings = settings
        self.clock = BootClock()
        self.board = SessionBoard(self.clock, connector, settings.data_centre)
        metrics = SessionMetrics(settings.proxy_id)
        self.context = SessionContext(self.board, StatementLog(), metrics)
        self.members = ControlMembers(settings.seeds, random.Random())
        self.runners = RunnerSelector(self.context)
        self.server = SessionServer(self.context, self.runners)
        self.http_sessions = HttpSessions(self.context, self.runners, new_run_id())
        self.isolation = Isolation()
        self.stopping = False

    def is_ready(self) -> bool:
        """Whether the proxy accepts new callers."""
        board = self.board
        if self.stopping or board.view.table.version == 0 or board.lacks_targets():
            return False
        return not self.isolation.is_isolated

    def watch_isolation(self, reporter: Reporter, owners: OwnerWatch) -> None:
        """Updates the isolation, and ends idle sessions while the proxy is isolated.

        Their callers then reconnect to other proxies.
        """
        while True:
            is_suspicious = (
                reporter.is_control_unreachable
                or self.isolation.is_isolated
                or owners.has_suspects
            )
            sleep(ISOLATION_POLL_S if is_suspicious else IDLE_ISOLATION_POLL_S)
            now = self.clock.now()
            owners.check(reporter, now)
            confirmations = [
                self._last_reachable_at(service, reporter, owners, now)
                for service in self.board.view.table.services
            ]
            changed = self.isolation.update(
                reporter.answered_at,
                reporter.is_control_unreachable,
                confirmations,
                now,
            )
            if changed:
                record_event(
                    EventName.isolation_changed, isolated=self.isolation.is_isolated
                )
            if self.isolation.should_end_sessions(now):
                self.server.end_idle()

    def _last_reachable_at(
        self, service: str, reporter: Reporter, owners: OwnerWatch, now: float
    ) -> float:
        """Returns when a service was last known to be reachable."""
        if service in self.board.view.owners:
            return now if owners.is_reachable(service, now) else -math.inf
        return primary_usable_at(self.board, service, reporter.answered_at)

    def run(self, stop: StopRequest, make_link: Callable[[Stream], CallerLink]) -> None:
        """Serves until the process is asked to stop.

        :param make_link: makes a link of the callers' protocol from a connection.
        """
        settings = self.settings

        def serve(stream: Stream) -> None:
            self.server.serve(make_link(stream))

        def ready(request) -> Response:
            is_ready = self.is_ready()
            return Response({"ready": is_ready}, 200 if is_ready else 503)

        routes = {
            ("GET", settings.readiness_path): ready,
            **observe_routes(self.context.metrics, self.is_ready),
        }
        with contextlib.ExitStack() as stack:
            client = stack.enter_context(Client())
            calls = OwnerCalls(self.context, client, settings.proxy_id)
            self.runners.remote = RemoteRunner(calls)
            reporter = Reporter(self.board, self.members, client, settings.proxy_id)
            sampler = Sampler(self.context)
            served = {
                settings.readiness_listen: routes,
                settings.internal_listen: {**routes, **self.http_sessions.routes()},
            }
            for address, table in served.items():
                server = Server(table, record_failure)
                stack.enter_context(server.listening(address))
            callers = StreamServer(serve, record_failure)
            stack.enter_context(callers.listening(settings.listen))
            stack.enter_context(running_task(reporter.run, record_failure))
            stack.enter_context(running_task(reporter.tables.run, record_failure))
            stack.enter_context(running_task(sampler.run, record_failure))
            watch_callers = self.server.watch_callers
            stack.enter_context(running_task(watch_callers, record_failure))
            expiry = self.http_sessions.run_expiry
            stack.enter_context(running_task(expiry, record_failure))

            def watch() -> None:
                self.watch_isolation(reporter, OwnerWatch(calls))

            stack.enter_context(running_task(watch, record_failure))
            stop.wait()
            self._stop(callers, reporter)

    def _stop(self, callers: StreamServer, reporter: Reporter) -> None:
        """Drains the sessions, so that statements in flight are not interrupted."""
        started_at = self.clock.now()
        self.stopping = True
        record_event(
            EventName.process_stopping, sessions=len(self.server.open_sessions)
        )
        sleep(min(READINESS_PROPAGATION_S, self.settings.grace_period_s / 3))
        callers.stop_accepting()
        self.http_sessions.is_draining = True
        grace_s = self.settings.grace_period_s
        transactions_until = started_at + max(grace_s / 2, READINESS_PROPAGATION_S)
        self.server.drain(self.clock, transactions_until)
        self.server.expire_transactions()
        self.server.drain(self.clock, started_at + grace_s - EXIT_MARGIN_S)
        reporter.leaving = True
        reporter.report()

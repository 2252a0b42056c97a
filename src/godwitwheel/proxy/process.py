"""Runs a proxy: builds its parts, serves, and drains requests before it stops."""

import contextlib
import random
import secrets
import signal
from collections.abc import Callable, Iterator

from ..blackboard import Blackboard, ProxyIdentity
from ..internal.clock import BootClock, Clock
from ..internal.loop import Event, running_task, sleep
from ..observe.events import EventName, record_event, record_failure, record_start
from ..observe.health import observe_routes
from ..observe.log import process_log
from ..observe.metrics import ProcessMetrics
from ..targets.http_target import HttpTargetAdmin, HttpTargetConnection
from ..wire.client import Client
from ..wire.server import Server
from .announce_api import AnnounceApi
from .caller_api import CallerApi
from .claim_link import ClaimLink
from .context import ProxyContext
from .control_client import ControlClient
from .control_link import ControlLink
from .keyed import KeyedWrites
from .metrics import ProxyMetrics
from .pools import TargetPools
from .positions import PositionTracker
from .probing import Prober
from .reads import ReadExecutor
from .settings import ProxySettings
from .writes import WriteExecutor

INCARNATION_BITS = 48
STATE_METRICS_INTERVAL_S = 0.5
STOP_CHECK_INTERVAL_S = 0.05
DRAIN_POLL_INTERVAL_S = 0.02
IDLE_BEFORE_STOP_S = 0.2
FLUSH_TIMEOUT_S = 2.0


class Proxy:
    """The parts of one proxy, wired together."""

    __slots__ = ("settings", "context", "link", "prober", "claims", "api", "server")

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        client: Client,
        pools: TargetPools,
        process_metrics: ProcessMetrics,
    ):
        self.settings = settings
        self.context = ProxyContext(
            pools.blackboard,
            clock,
            pools,
            ProxyMetrics(process_metrics),
            random.Random(),
        )
        control = ControlClient(settings.control, pools.blackboard, clock, client)
        self.link = ControlLink(self.context, control, settings.heartbeat_interval_s)
        positions = PositionTracker(self.context, HttpTargetAdmin(client))
        self.prober = Prober(positions, settings.probe_interval_s)
        self.claims = ClaimLink(self.context, control)
        writes = WriteExecutor(self.context, positions)
        self.api = CallerApi(
            self.context,
            ReadExecutor(self.context, positions),
            writes,
            KeyedWrites(self.context, self.claims, writes),
        )
        self.server = self._server(process_metrics)

    def is_ready(self) -> bool:
        """Whether a load balancer may send requests to this proxy."""
        board = self.context.blackboard
        is_configured = board.view.version > 0 and board.configuration.revision > 0
        return is_configured and not board.draining

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the background tasks and serves inside the block."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.prober)
            tasks = (
                self.link.run_heartbeats,
                self.link.run_watch,
                self.link.run_lease_check,
                self.claims.run_recorder,
                self.prober.run,
                self._run_state_metrics,
            )
            for task in tasks:
                stack.enter_context(running_task(task, record_failure))
            stack.enter_context(self.server.listening(self.settings.listen))
            yield

    def drain(self) -> bool:
        """Accepts no new connection and waits for the requests in flight.

        :returns: whether all of them were answered within the limit.
        """
        board = self.context.blackboard
        clock = self.context.clock
        board.draining = True
        self.server.stop_accepting()
        drain_deadline = clock.now() + self.settings.drain_limit_s
        idle_since = clock.now()
        while clock.now() < drain_deadline:
            if self.api.in_flight:
                idle_since = clock.now()
            elif clock.now() - idle_since >= IDLE_BEFORE_STOP_S:
                return True
            sleep(DRAIN_POLL_INTERVAL_S)
        return not self.api.in_flight

    def _server(self, process_metrics: ProcessMetrics) -> Server:
        announce = AnnounceApi(self.context.blackboard, self.link)
        routes = {
            ("POST", "/v1/request"): self.api.handle,
            ("POST", "/v1/announce"): announce.handle,
            **observe_routes(process_metrics, self.is_ready),
        }
        return Server(routes, record_failure)

    def _run_state_metrics(self) -> None:
        context = self.context
        while True:
            remaining_s = context.blackboard.lease.expires_at - context.clock.now()
            context.metrics.record_state(remaining_s, context.pools.by_target)
            sleep(STATE_METRICS_INTERVAL_S)


def run_proxy(settings: ProxySettings) -> int:
    """Runs a proxy until it receives SIGTERM or SIGINT.

    :returns: the exit status; 1 if requests were still in flight at the limit.
    """
    clock = BootClock()
    identity = ProxyIdentity(
        settings.proxy_id,
        secrets.randbits(INCARNATION_BITS),
        settings.data_centre,
        settings.advertise,
    )
    log = process_log(
        settings.log_file, settings.proxy_id, "proxy", settings.data_centre
    )
    blackboard = Blackboard(identity)
    pools = TargetPools(blackboard, HttpTargetConnection, clock)
    with log, stop_signals() as wait_for_stop, Client() as client, pools:
        metrics = ProcessMetrics(settings.proxy_id, "proxy")
        proxy = Proxy(settings, clock, client, pools, metrics)
        return _serve(proxy, wait_for_stop)


def _serve(proxy: Proxy, wait_for_stop: Callable[[], None]) -> int:
    with proxy.running():
        record_start(address=proxy.server.address)
        wait_for_stop()
        record_event(EventName.process_stopping, in_flight=proxy.api.in_flight)
        is_drained = proxy.drain()
        proxy.claims.flush(FLUSH_TIMEOUT_S)
    proxy.link.release_lease()
    record_event(EventName.process_stopped, drained=is_drained)
    return 0 if is_drained else 1


@contextlib.contextmanager
def stop_signals() -> Iterator[Callable[[], None]]:
    """Yields a function that waits for SIGTERM or SIGINT."""
    stop = Event()

    def request_stop(*args: object) -> None:
        if not stop.ready():
            stop.send()

    def wait_for_stop() -> None:
        # A signal does not wake the loop by itself.
        while not stop.ready():
            sleep(STOP_CHECK_INTERVAL_S)

    names = (signal.SIGTERM, signal.SIGINT)
    before = {name: signal.signal(name, request_stop) for name in names}
    try:
        yield wait_for_stop
    finally:
        for name, handler in before.items():
            signal.signal(name, handler)

"""A stopping proxy answers every request that was sent to it."""

import contextlib

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions import admission
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.pools import TargetPools
from godwitwheel.proxy.process import Proxy
from godwitwheel.proxy.settings import ProxySettings
from godwitwheel.targets.base import TargetConnection
from godwitwheel.wire.caller import CallerRequest, CallerStatement
from godwitwheel.wire.client import Client, HttpConnection
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import ClusterView, GroupPhase, GroupView, TargetRecord
from godwitwheel.wire.errors import NoReply, NotSent
from godwitwheel.wire.server import Server
from godwitwheel.wire.service import Access, Configuration, RequestRule, Service
from godwitwheel.wire.target import Role, SessionOpened, StatementReply
from tests.common.fake_control import FakeControl
from tests.common.processes import free_port, wait_until

CALLERS = 20
STATEMENT_S = 0.02
BODY = encode(CallerRequest("s", "r", [CallerStatement("x")]))
CONFIGURATION = Configuration(
    1, "", {"s": Service("s", {"r": RequestRule("bays", Access.read)})}
)
VIEW = ClusterView(
    1,
    {"bays": GroupView("bays", 1, GroupPhase.serving, "t0")},
    {"t0": TargetRecord("t0", "bays", "dc", "127.0.0.1:1", 2, 50)},
    "00" * 32,
)


class SlowConnection(TargetConnection):
    """Takes ``STATEMENT_S`` for each statement."""

    def open(self, timeout_s):
        return SessionOpened(1, Role.primary)

    def run(self, sql, parameters, read_only, timeout_s):
        sleep(STATEMENT_S)
        return StatementReply(1, 1, 1)

    def begin(self, read_only, timeout_s):
        raise NotImplementedError

    commit = rollback = begin

    def close(self):
        pass

    def is_reusable(self):
        return True


@pytest.fixture
def proxy(monkeypatch):
    # A stall of the machine must not count as time that requests have queued: those
    # that have queued for too long are refused, whether the proxy stops or not.
    monkeypatch.setattr(admission, "MAX_QUEUE_WAIT_S", 10.0)
    clock = BootClock()
    board = Blackboard(ProxyIdentity("p0", 1, "dc", "127.0.0.1:2"))
    control = FakeControl(VIEW, CONFIGURATION)
    control.quotas = {"t0": CALLERS}
    with contextlib.ExitStack() as stack:
        server = Server(control.routes(), print).listening("127.0.0.1:0")
        address = stack.enter_context(server).address
        settings = ProxySettings("p0", "dc", f"127.0.0.1:{free_port()}", [address])
        client = stack.enter_context(Client())
        pools = TargetPools(board, lambda name, _: SlowConnection(name), clock)
        stack.enter_context(pools)
        proxy = Proxy(settings, clock, client, pools, ProcessMetrics("p0", "proxy"))
        with proxy.running():
            wait_until(lambda: sleep(0.01) or proxy.is_ready(), "readiness")
            yield proxy


def call_until_closed(address: str, statuses: list[int], losses: list[str]) -> None:
    """Sends one request after the other until the proxy closes the connection."""
    connection = HttpConnection(address)
    try:
        connection.connect(1.0)
    except NotSent:
        return
    while connection.is_usable():
        try:
            status, _ = connection.exchange("POST", "/v1/request", BODY, 10.0)
        except NoReply as error:
            losses.append(str(error))
            return
        statuses.append(status)


def test_stop_answers_all_requests_in_flight_and_takes_no_new_connection(proxy):
    statuses: list[int] = []
    losses: list[str] = []
    address = proxy.server.address
    callers = [
        spawn(call_until_closed, address, statuses, losses) for _ in range(CALLERS)
    ]
    wait_until(lambda: sleep(0.01) or len(statuses) >= 3 * CALLERS, "some answers")
    assert proxy.drain()
    assert proxy.api.in_flight == 0
    assert not proxy.is_ready()
    for caller in callers:
        caller.wait()
    assert losses == []
    assert set(statuses) == {200}
    with pytest.raises(NotSent):
        HttpConnection(address).connect(1.0)

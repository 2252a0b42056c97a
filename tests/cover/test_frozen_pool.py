"""A proxy whose lease expired opens no connection in place of a closed one."""

import pytest

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions.quotas import QuotaTable
from godwitwheel.internal.clock import BootClock, ManualClock
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.pools import TargetPools
from godwitwheel.proxy.process import Proxy
from godwitwheel.proxy.settings import ProxySettings
from godwitwheel.targets.errors import Overloaded
from godwitwheel.targets.http_target import HttpTargetConnection
from godwitwheel.targets.pool import ConnectionPool
from godwitwheel.wire.client import Client
from godwitwheel.wire.control import (
    ClusterView,
    Heartbeat,
    HeartbeatReply,
    TargetRecord,
)
from godwitwheel.wire.service import Access
from tests.common.fake_database import PairedConnection

LEASE_MS = 600


@pytest.fixture
def pool():
    clock = BootClock()
    sessions = []
    pool = ConnectionPool("t0", lambda: PairedConnection(sessions), clock, linger_s=0.0)
    pool.set_quota(1)
    yield pool
    pool.close()


def use_connection(pool):
    with pool.connection("s", Access.read, pool.clock.now() + 1.0) as connection:
        return connection


def test_a_frozen_pool_still_uses_its_open_connections(pool):
    first = use_connection(pool)
    pool.is_frozen = True
    assert use_connection(pool) is first


def test_a_frozen_pool_does_not_replace_a_closed_connection(pool):
    use_connection(pool).close()
    pool.is_frozen = True
    with pytest.raises(Overloaded):
        use_connection(pool)
    pool.is_frozen = False
    use_connection(pool)


def test_targets_of_other_data_centres_are_frozen_without_a_lease():
    settings = ProxySettings("p1", "melilla", "127.0.0.1:1", ["127.0.0.1:2"])
    board = Blackboard(ProxyIdentity("p1", 1, "melilla", "127.0.0.1:1"))
    clock = ManualClock(100.0)
    targets = {
        "near": TargetRecord("near", "g", "melilla", "127.0.0.1:3", 1, 9),
        "far": TargetRecord("far", "g", "laguna", "127.0.0.1:4", 1, 9),
    }
    view = ClusterView(version=2, targets=targets)
    quotas = {"near": 3, "far": 3}
    leased = HeartbeatReply(LEASE_MS, 2, 1, view, None, quotas)
    with TargetPools(board, HttpTargetConnection, clock) as pools, Client() as client:
        metrics = ProcessMetrics("p1", "proxy")
        link = Proxy(settings, clock, client, pools, metrics).link
        link.apply_reply(leased, clock.now())
        near, far = pools.of("near"), pools.of("far")
        clock.advance(LEASE_MS / 1000)
        link.check_lease()
        assert far.is_frozen and not near.is_frozen
        link.apply_reply(leased, clock.now())
        assert not far.is_frozen


def test_a_near_target_is_read_in_isolation_also_before_it_has_a_quota():
    # Control gives a target's connections away only once the target's own counts have
    # shown for 1 s who holds them. A data centre that is isolated before that can't
    # read its own replica for as long as it is isolated.
    table = QuotaTable(earlier_leases_expire_at=0.0)
    clock = ManualClock(100.0)
    targets = {"near": TargetRecord("near", "g", "melilla", "127.0.0.1:3", 1, 9)}
    table.set_caps({"near": 9}, clock.now())
    table.record_heartbeat(Heartbeat("p1", 1, "melilla", "", 1, 1), clock.now())
    for _ in range(9):
        clock.advance(0.1)
        table.record_open_count("near", 0, clock.now())
        table.record_heartbeat(Heartbeat("p1", 1, "melilla", "", 1, 1), clock.now())
    quotas = table.quotas(("p1", 1), clock.now())
    settings = ProxySettings("p1", "melilla", "127.0.0.1:1", ["127.0.0.1:2"])
    board = Blackboard(ProxyIdentity("p1", 1, "melilla", "127.0.0.1:1"))
    view = ClusterView(version=2, targets=targets)
    sessions = []
    pools = TargetPools(board, lambda *_: PairedConnection(sessions), clock)
    with pools, Client() as client:
        link = Proxy(settings, clock, client, pools, ProcessMetrics("p1", "proxy")).link
        leased = HeartbeatReply(LEASE_MS, 2, 1, view, None, quotas)
        link.apply_reply(leased, clock.now())
        clock.advance(LEASE_MS / 1000)
        link.check_lease()
        use_connection(pools.of("near"))

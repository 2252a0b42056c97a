"""What accounts that share a target's connections get of them, step by step."""

import pytest

from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.connections.counts import PoolCounts
from godwitwheel.sessions.connections.pool import FULL_PAUSE_S, TargetPool
from godwitwheel.sessions.context import SessionContext
from godwitwheel.sessions.errors import PoolExhausted
from godwitwheel.sessions.metrics import SessionMetrics
from godwitwheel.sessions.queueing.choosing import choose_reader
from godwitwheel.sessions.reporting.sampler import LOWEST_PRIORITY, Sampler
from godwitwheel.sessions.statements import Position
from tests.common.fake_sessions import SERVICE, FakeGroup
from tests.common.pools import TARGET, ScriptedTarget

LIMIT = 8
TIMEOUT_S = 600.0


class SharedPool:
    """A pool, and the connections that were acquired from it in order."""

    def __init__(self, is_prompt=True):
        self.clock = ManualClock(100.0)
        self.target = ScriptedTarget(is_prompt)
        self.counts = PoolCounts()
        self.pool = TargetPool(TARGET, self.target, self.clock, LIMIT, self.counts)
        self.served = []

    def ask(self, account, priority=1):
        task = spawn(self.acquire, account, priority)
        sleep(0)
        return task

    def acquire(self, account, priority):
        self.served.append(self.pool.acquire(account, {}, priority, TIMEOUT_S))

    def take(self, account, count=1):
        return [self.pool.acquire(account, {}, 1, TIMEOUT_S) for _ in range(count)]

    def accounts_served(self):
        for _ in range(4):
            sleep(0)
        return [pooled.account for pooled in self.served]

    def accounts_opening(self):
        for _ in range(4):
            sleep(0)
        return [opening.account for opening in self.target.openings]


def test_a_released_connection_goes_to_the_account_with_the_fewest_in_use():
    shared = SharedPool()
    held = [*shared.take("a", 4), *shared.take("b", 2), *shared.take("c", 1)]
    for account in ("b", "d", "c"):
        shared.ask(account)
    shared.ask("e", priority=0)
    for pooled in held[:3]:
        shared.pool.release(pooled)
    assert shared.accounts_served() == ["e", "d", "c"]
    assert (shared.counts.evicted, shared.counts.waits) == (3, 4)


def test_few_connections_are_opened_at_once_beside_statements():
    """Each opening occupies one of two to five slots of the target for 12 ms."""
    shared = SharedPool()
    shared.take("a")
    shared.target.is_prompt = False
    for account in ("b", "c", "d", "e"):
        shared.ask(account)
    assert shared.accounts_opening() == ["b", "c"]
    shared.ask(NO_ACCOUNT, LOWEST_PRIORITY)
    assert shared.accounts_opening() == ["b", "c", NO_ACCOUNT]
    shared.target.openings[2].finish("opened")
    shared.target.openings[0].finish("failed")
    assert shared.accounts_opening() == ["c", "d"]


def test_an_account_idle_in_transactions_leaves_connections_to_others():
    shared = SharedPool()
    for _ in range(LIMIT + 2):
        shared.ask("idle")
    assert shared.accounts_served() == ["idle"] * (LIMIT - LIMIT // 4)
    shared.ask("other")
    assert shared.accounts_served()[-1] == "other"


def test_a_probe_gets_a_connection_while_accounts_use_all_they_may():
    """The primary would look lost if its probe got none."""
    shared = SharedPool()
    for account in ("a", "b"):
        shared.take(account, LIMIT // 2 - 1)
    shared.take("c")
    shared.ask("c")
    shared.ask(NO_ACCOUNT, LOWEST_PRIORITY)
    assert shared.accounts_served() == [NO_ACCOUNT]


def test_an_account_gets_a_connection_of_others_once_the_target_has_refused_one():
    """Accounts that had connections first would otherwise keep all that it accepts."""
    shared = SharedPool()
    for pooled in shared.take("a", 2):
        shared.pool.release(pooled)
    shared.target.is_prompt = False
    shared.ask("b")
    shared.target.openings[0].finish("refused")
    assert shared.accounts_opening() == []
    assert len(shared.target.open) == 1
    shared.clock.advance(FULL_PAUSE_S)
    shared.pool.release(*shared.take("a"))
    assert shared.accounts_opening() == ["b"]


def test_a_target_that_refuses_the_connection_for_probes_is_refused():
    """A proxy that reported its primary as not proven would cause a promotion."""
    shared = SharedPool()
    shared.take("a")
    shared.target.is_prompt = False
    probe = shared.ask(NO_ACCOUNT, LOWEST_PRIORITY)
    shared.target.openings[0].finish("refused")
    shared.accounts_opening()
    assert shared.pool.is_refused(shared.clock.now())
    probe.kill()


def test_a_closed_pool_refuses_those_that_wait():
    shared = SharedPool()
    for account in ("a", "c"):
        shared.take(account, LIMIT // 2 - 1)
    shared.take("d")
    refused = []

    def wait():
        with pytest.raises(PoolExhausted):
            shared.pool.acquire("b", {}, 1, TIMEOUT_S)
        refused.append("b")

    for _ in range(2):
        spawn(wait)
    sleep(0)
    shared.pool.close()
    shared.accounts_served()
    assert refused == ["b", "b"]


def test_probes_keep_their_connection_while_accounts_replace_each_other():
    """Opening one for each probe would take a slot of the primary for 12 ms."""
    group = FakeGroup(max_connections=8)
    primary = group.board.view.targets["t1"]
    sampler = Sampler(group.context)
    assert sampler.probe(primary)
    pool = group.board.pool(primary)
    for number in range(20):
        group.clock.advance(0.15)
        pool.release(pool.acquire(f"account-{number}", {}, 1, TIMEOUT_S))
        assert sampler.probe(primary)
    assert group.targets["t1"].opened == 21
    assert pool.counts.evicted > 0


def test_an_accounts_reads_go_where_it_has_an_idle_connection():
    group = FakeGroup()
    board = group.board
    pool = board.pool(board.view.targets["t3"])
    pooled = pool.acquire("a", {}, 1, TIMEOUT_S)

    def chosen(account):
        floor, now = Position(1, 0), group.clock.now()
        return choose_reader(board, SERVICE, account, set(), floor, now).target_id

    assert chosen("a") == chosen("b") == chosen(NO_ACCOUNT) != "t3"
    pool.release(pooled)
    assert chosen("a") == "t3"
    assert chosen("b") == chosen(NO_ACCOUNT) != "t3"
    board.status("t3").latency_s = 0.05
    assert chosen("a") != "t3"


def test_the_metrics_count_what_the_pools_did():
    group = FakeGroup()
    metrics = SessionMetrics("p1")
    SessionContext(group.board, group.context.log, metrics)
    pool = group.board.pool(group.board.view.targets["t1"])
    pool.release(pool.acquire("a", {}, 1, TIMEOUT_S))
    lines = metrics.render().decode().splitlines()
    values = {line.split("{")[0]: line.split()[-1] for line in lines}
    assert values["godwitwheel_session_connections_opened_total"] == "1"
    assert values["godwitwheel_session_connections_evicted_total"] == "0"
    assert values["godwitwheel_session_connection_waits_total"] == "0"

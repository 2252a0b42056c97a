"""Without client accounts, the pool and the choice of a target are as before them."""

import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.connections.counts import PoolCounts
from godwitwheel.sessions.connections.pool import TargetPool
from godwitwheel.sessions.errors import SessionsError
from godwitwheel.sessions.queueing.choosing import choose_reader
from godwitwheel.sessions.statements import Position
from tests.common.fake_sessions import SERVICE, FakeGroup
from tests.common.plain_pool import PlainPool
from tests.common.pools import TARGET, ScriptedTarget

TURNS_OF_THE_LOOP = 8
TIMEOUT_S = 600.0
LIMIT = 3

choices = st.integers(0, 3)
values = st.sampled_from([{}, {"a": "1"}, {"a": "2"}, {"a": "1", "b": "1"}])
asks = st.tuples(st.just("ask"), st.sampled_from([0, 1, 1, 1, 2, 99]), values)
# Several steps in a row between two turns of the loop let a request come between the
# release of a connection and the request that was woken for it.
steps = st.lists(
    st.one_of(
        asks,
        asks,
        st.tuples(st.just("release"), choices, st.booleans()),
        st.tuples(st.just("release"), choices, st.just(False)),
        st.tuples(st.just("finish"), choices, st.just("opened")),
        st.tuples(
            st.just("finish"), choices, st.sampled_from(["opened", "failed", "refused"])
        ),
        st.tuples(st.just("break_idle"), choices),
        st.tuples(st.just("wait"), st.sampled_from([0.1, 0.6])),
        st.tuples(st.just("set_limit"), st.integers(1, LIMIT + 1)),
        st.just(("drop_idle",)),
        st.just(("settle",)),
        st.just(("settle",)),
    ),
    max_size=60,
)


class PoolHarness:
    """A pool whose requests, releases and openings follow a script.

    :ivar log: what each request got, in order.
    """

    def __init__(self, make_pool):
        self.clock = ManualClock(100.0)
        self.target = ScriptedTarget()
        self.pool = make_pool(TARGET, self.target, self.clock, LIMIT)
        self.held = []
        self.log = []
        self.tasks = []

    def do(self, name, *arguments):
        getattr(self, name)(*arguments)

    def ask(self, priority, values):
        self.tasks.append(spawn(self.acquire, len(self.tasks), priority, values))

    def acquire(self, number, priority, values):
        try:
            pooled = self.pool.acquire(NO_ACCOUNT, values, priority, TIMEOUT_S)
        except SessionsError as error:
            self.log.append((number, type(error).__name__))
            return
        pooled.connection_state.values = dict(values)
        self.held.append(pooled)
        self.log.append((number, pooled.connection.number))

    def release(self, choice, is_broken):
        if self.held:
            pooled = self.held.pop(choice % len(self.held))
            pooled.is_broken = is_broken
            self.pool.release(pooled)

    def finish(self, choice, outcome):
        openings = [each for each in self.target.openings if not each.event.ready()]
        if openings:
            openings[choice % len(openings)].finish(outcome)

    def break_idle(self, choice):
        if self.pool.idle:
            self.pool.idle[choice % len(self.pool.idle)].connection.is_broken = True

    def wait(self, seconds):
        self.clock.advance(seconds)

    def set_limit(self, limit):
        self.pool.limit = limit

    def drop_idle(self):
        self.pool.drop_idle()

    def settle(self):
        for _ in range(TURNS_OF_THE_LOOP):
            sleep(0)

    def end(self):
        for task in self.tasks:
            task.kill()

    def state(self):
        pool = self.pool
        idle = [pooled.connection.number for pooled in pool.idle]
        is_refused = pool.is_refused(self.clock.now())
        return (self.log, pool.open_count, idle, len(pool.waiters), is_refused)


def make_pool(*arguments):
    return TargetPool(*arguments, PoolCounts())


@settings(max_examples=400)
@given(steps)
def test_without_accounts_the_pool_makes_the_same_choices_in_the_same_order(script):
    with contextlib.ExitStack() as stack:
        before, after = PoolHarness(PlainPool), PoolHarness(make_pool)
        stack.callback(before.end)
        stack.callback(after.end)
        for step in script:
            before.do(*step)
            after.do(*step)
            assert after.state() == before.state()
        before.settle()
        assert after.state() == before.state()


def expected_before(board, target):
    """Returns the expected time of a read as it was before there were accounts."""
    status = board.status(target.target_id)
    is_primary = board.known_primary(SERVICE).target_id == target.target_id
    waiting = status.in_flight + is_primary
    wait_s = (status.latency_s or 0.01) * (1 + waiting / target.slots)
    return wait_s + 0.004 * (target.data_centre != board.data_centre)


@given(
    st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 9)), min_size=3, max_size=3),
    st.sets(st.sampled_from(["t1", "t2", "t3"])),
)
def test_without_accounts_the_choice_of_a_reader_ignores_idle_connections(
    loads, connected
):
    group = FakeGroup()
    board = group.board
    for target, (latency_s, in_flight) in zip(
        board.targets_of(SERVICE), loads, strict=True
    ):
        status = board.status(target.target_id)
        status.latency_s, status.in_flight = latency_s, in_flight
        if target.target_id in connected:
            pool = board.pool(target)
            pool.release(pool.acquire(NO_ACCOUNT, {}, 1, 1.0))
    floor = Position(1, 0)
    chosen = choose_reader(board, SERVICE, NO_ACCOUNT, set(), floor, group.clock.now())
    targets = board.targets_of(SERVICE)
    assert chosen is min(targets, key=lambda each: expected_before(board, each))

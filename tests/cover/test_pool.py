"""The connection pool under late, repeated and lost replies and others' replies."""

import contextlib

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.targets.errors import (
    MayHaveRun,
    Overloaded,
    Refused,
    TargetError,
    Unreachable,
)
from godwitwheel.targets.pool import ConnectionPool
from godwitwheel.wire.service import Access
from tests.common.fake_database import FakeSession, PairedConnection
from tests.common.processes import wait_until

DEADLINE_S = 60.0
TURNS_OF_THE_LOOP = 12
REPLIES = ["answer", "answer", "answer", "refuse", "repeat"]
quotas = st.none() | st.integers(0, 4)


class PoolMachine(RuleBasedStateMachine):
    """Whatever the target does, each piece of work gets its own answer or none."""

    def __init__(self):
        super().__init__()
        self.clock = BootClock()
        self.sessions: list[FakeSession] = []
        self.pool = ConnectionPool(
            "t0", lambda: PairedConnection(self.sessions), self.clock, linger_s=0.0
        )
        self.tasks = {}
        self.wrong: list[str] = []
        self.allowed = 0
        self.next_owner = 0
        self.set_quota(2)

    def settle(self) -> None:
        for _ in range(TURNS_OF_THE_LOOP):
            sleep(0)

    @rule(quota=st.integers(0, 4))
    def set_quota(self, quota):
        self.pool.set_quota(quota)
        self.allowed = max(quota, min(self.allowed, self.pool.held()))
        self.settle()

    @rule(
        access=st.sampled_from(Access),
        service=st.sampled_from(["a", "b"]),
        is_transaction=st.booleans(),
    )
    def submit(self, access, service, is_transaction):
        self.next_owner += 1
        owner = f"w{self.next_owner}"
        work = self.run_transaction if is_transaction else self.run_statement
        self.tasks[owner] = spawn(self.carry_out, owner, service, access, work)
        self.settle()

    def carry_out(self, owner, service, access, work) -> None:
        deadline = self.clock.now() + DEADLINE_S
        try:
            with self.pool.connection(service, access, deadline) as connection:
                work(owner, connection)
        except Refused as error:
            if error.message not in ("", owner):
                self.wrong.append(f"{owner} got the refusal of {error.message}")
        except TargetError:
            pass
        finally:
            del self.tasks[owner]

    def run_statement(self, owner, connection) -> None:
        reply = connection.run(owner, [], False, DEADLINE_S)
        if reply.rows != [[owner]]:
            self.wrong.append(f"{owner} got {reply.rows}")

    def run_transaction(self, owner, connection) -> None:
        connection.begin(False, DEADLINE_S)
        self.run_statement(owner, connection)
        self.run_statement(owner, connection)
        connection.commit(DEADLINE_S)

    @rule(choice=st.integers(0, 5), action=st.sampled_from(REPLIES), then_quota=quotas)
    def reply(self, choice, action, then_quota):
        """Answers, or repeats an earlier answer, which may then come too late."""
        waiting = [session for session in self.sessions if session.waiting]
        if waiting:
            getattr(waiting[choice % len(waiting)], action)()
            sleep(0)
            if then_quota is not None:
                self.set_quota(then_quota)
            self.settle()

    @rule(choice=st.integers(0, 5), action=st.sampled_from(["repeat", "hang_up"]))
    def disturb(self, choice, action):
        """Sends what nobody asked for, or ends a connection."""
        still_open = [session for session in self.sessions if session.is_open]
        if still_open:
            getattr(still_open[choice % len(still_open)], action)()
            self.settle()

    @rule(choice=st.integers(0, 5))
    def give_up(self, choice):
        """Ends a piece of work where it waits, as a deadline does."""
        if self.tasks:
            owners = list(self.tasks)
            self.tasks[owners[choice % len(owners)]].kill()
            self.settle()

    @invariant()
    def answers_belong_to_their_work(self):
        assert not self.wrong
        assert not [session.mixed for session in self.sessions if session.mixed]

    @invariant()
    def stays_within_the_quota(self):
        open_now = sum(session.is_open for session in self.sessions)
        self.allowed = max(self.pool.admission.quota, min(self.allowed, open_now))
        assert open_now <= self.allowed
        assert self.pool.held() - self.pool.lingering == open_now

    @invariant()
    def nobody_waits_beside_a_free_connection(self):
        assert not (
            self.pool.idle and self.pool.events and self.pool.admission.quota > 1
        )

    def teardown(self):
        for task in list(self.tasks.values()):
            task.kill()
        self.settle()
        assert self.pool.admission.busy() == 0
        self.pool.close()
        assert not [session for session in self.sessions if session.is_open]


TestPool = PoolMachine.TestCase
TestPool.settings = settings(max_examples=150, stateful_step_count=40)


def test_counts_a_connection_closed_during_a_statement_while_it_may_run():
    """Its statement may still run; the target counts the connection until it ends."""
    sessions: list[FakeSession] = []
    pool = ConnectionPool("t0", lambda: PairedConnection(sessions), BootClock())
    pool.set_quota(1)
    first = spawn(run_once, pool)
    for _ in range(TURNS_OF_THE_LOOP):
        sleep(0)
    first.kill()
    second = spawn(run_once, pool)
    for _ in range(TURNS_OF_THE_LOOP):
        sleep(0)
    assert (len(sessions), sessions[0].is_open, pool.held()) == (1, False, 1)
    second.kill()


def run_once(pool) -> None:
    deadline = pool.clock.now() + DEADLINE_S
    with pool.connection("a", Access.read, deadline) as connection:
        connection.run("w", [], False, DEADLINE_S)


class UnansweredConnection:
    """A connection to a target that does not reply."""

    def __init__(self, opened):
        opened.append(self)

    def open(self, timeout_s):
        raise MayHaveRun("no reply in time")

    def close(self):
        pass


def test_counts_an_unanswered_opening_until_the_target_answers_again():
    opened, answered_at, clock = [], [0.0], BootClock()
    pool = ConnectionPool(
        "t0",
        lambda: UnansweredConnection(opened),
        clock,
        linger_s=0.001,
        answered_at=lambda: answered_at[0],
    )
    pool.set_quota(2)
    for _ in range(5):
        with contextlib.suppress(Unreachable, Overloaded):  # noqa: SIM117
            with pool.connection("a", Access.write, clock.now() + 0.1):
                raise AssertionError("no connection may be acquired")
    assert (len(opened), pool.held()) == (2, 2)
    answered_at[0] = clock.now()
    wait_until(
        lambda: sleep(0.001) or not pool.held(), "the connections are no longer counted"
    )

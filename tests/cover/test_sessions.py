"""Sessions on pooled connections: consistency, transactions, correct refusals."""

import msgspec
import pytest

from godwitwheel.directory.records import NO_ACCOUNT, LeavingAge, ServicePolicy
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.connections.limits import (
    STALE_CONNECTIONS_S,
    proxy_pool_limit,
)
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.sessions.statements import ErrorCode, TransactionState
from godwitwheel.wire.service import Access
from tests.common.fake_sessions import (
    SERVICE,
    FakeGroup,
    begin,
    commit,
    execute,
    prepare,
    read,
    rollback,
    set_value,
    write,
)


@pytest.fixture
def group(monkeypatch):
    """A group whose statements wait in simulated time."""
    made = FakeGroup()
    for module in ("single_run", "transaction", "opening"):
        monkeypatch.setattr(
            f"godwitwheel.sessions.running.{module}.sleep", made.clock.advance
        )
    return made


def sample(group):
    Sampler(group.context).probe(group.board.view.targets[group.primary.target_id])


def test_a_write_runs_once_at_the_primary(group):
    answer = group.session("primary").execute(write("w1"))
    assert answer.signature == "sig-w1"
    assert [run.request_id for run in group.primary.ran] == ["w1"]


def test_a_write_without_an_answer_is_in_doubt_and_not_sent_again(group):
    group.primary.lost_answers = 1
    answer = group.session("primary").execute(write("w1"))
    assert answer.error is ErrorCode.in_doubt
    assert [run.request_id for run in group.runs()] == ["w1"]


def test_a_write_at_a_busy_target_is_retried(group):
    group.primary.busy_answers = 2
    assert group.session("primary").execute(write("w1")).error is None
    assert [run.request_id for run in group.runs()] == ["w1"]


def test_a_read_without_an_answer_is_retried(group):
    sample(group)
    group.replicate_all()
    for target in group.targets.values():
        target.lost_answers = 1
    answer = group.session("bounded_staleness").execute(read("r1"))
    assert answer.signature == "sig-r1"


def test_a_read_at_an_unresponsive_target_is_answered_by_another_in_time(group):
    """A network partition leaves connections open without answers.

    The read must try another target early enough to meet its latency objective.
    """
    sample(group)
    group.replicate_all()
    session = group.session("read_your_writes")
    session.execute(read("r1"))
    (used,) = [t for t in group.targets.values() if t.ran]
    used.is_unresponsive = True
    started_at = group.clock.now()
    answer = session.execute(read("r2"))
    assert answer.signature == "sig-r2"
    objective_s = 0.2
    assert group.clock.now() - started_at <= objective_s


def test_a_primary_read_never_runs_at_a_former_primary(group):
    session = group.session("primary")
    session.execute(write("w1"))
    group.replicate_all()
    group.promote("t2")
    group.commit("w2")
    answer = session.execute(read("r1"))
    assert answer.error is not None
    assert group.targets["t1"].ran[-1].request_id == "w1"


def test_the_sampler_finds_a_new_primary(group):
    sample(group)
    group.promote("t3")
    sampler = Sampler(group.context)
    for target in group.board.targets_of(SERVICE):
        sampler.probe(target)
    assert group.board.known_primary(SERVICE).target_id == "t3"


def test_a_session_reads_its_own_write_before_replicas_have_it(group):
    sample(group)
    session = group.session("read_your_writes")
    session.execute(write("w1"))
    answer = session.execute(read("r1"))
    assert b"w1" in answer.rows[0]


def test_a_bounded_read_reflects_commits_older_than_its_bound(group):
    session = group.session("bounded_staleness")
    session.execute(write("w1"))
    sample(group)
    group.clock.advance(1.6)
    sample(group)
    assert b"w1" in session.execute(read("r1")).rows[0]


@pytest.mark.parametrize("database", ["bounded_staleness", "read_your_writes"])
def test_a_read_only_transaction_reflects_commits_older_than_its_bound(group, database):
    """Its replica must hold the floor when it begins, or another target is tried."""
    sample(group)
    group.session("primary").execute(write("w1"))
    group.clock.advance(1.6)
    sample(group)
    session = group.session(database)
    session.execute(begin("-", read_only=True))
    assert b"w1" in session.execute(read("r1")).rows[0]
    assert session.execute(commit("c1")).error is None


def test_a_bounded_read_may_miss_newer_commits(group):
    sample(group)
    group.clock.advance(0.1)
    group.commit("w1")
    answer = group.session("bounded_staleness").execute(read("r1"))
    assert answer.error is None
    assert group.primary.ran == []


def test_a_replica_that_is_known_to_lag_is_not_tried_for_a_while(group):
    """Each attempt at a replica that lags costs a network round trip and a turn."""
    sample(group)
    session = group.session("read_your_writes")
    session.execute(write("w1"))
    group.clock.advance(0.001)
    session.execute(read("r1"))
    for name in ("t2", "t3"):
        group.targets[name].asked = 0
    for number in range(2, 6):
        group.clock.advance(0.001)
        session.execute(read(f"r{number}"))
    assert group.targets["t2"].asked == group.targets["t3"].asked == 0
    group.replicate_all()
    group.clock.advance(1.0)
    sample(group)
    session.execute(read("r9"))
    assert group.targets["t2"].asked + group.targets["t3"].asked == 1


def test_without_a_recent_position_a_read_goes_to_the_primary(group):
    sample(group)
    group.clock.advance(5.0)
    group.session("bounded_staleness").execute(read("r1"))
    assert [run.request_id for run in group.primary.ran] == ["r1"]


def test_without_a_primary_a_stale_read_is_refused_as_lagging(group):
    sample(group)
    group.clock.advance(5.0)
    group.primary.refuses = True
    group.board.pools["t1"].drop_idle()
    answer = group.session("bounded_staleness").execute(read("r1"))
    assert answer.error is ErrorCode.lagging
    assert group.runs() == []


def test_statements_of_a_transaction_share_a_connection(group):
    first, second = group.session("primary"), group.session("primary")
    first.execute(begin("-"))
    second.execute(begin("-"))
    first.execute(write("a1"))
    second.execute(write("b1"))
    first.execute(write("a2"))
    second.execute(write("b2"))
    assert first.execute(commit("a3")).signature == "sig-a3"
    assert second.execute(commit("b3")).signature == "sig-b3"
    by_id = {run.request_id: run for run in group.primary.ran}
    assert by_id["a1"].transaction == by_id["a2"].transaction != 0
    assert by_id["b1"].transaction == by_id["b2"].transaction != 0
    assert by_id["a1"].transaction != by_id["b1"].transaction


def test_a_transaction_that_lost_its_connection_is_rolled_back(group):
    session = group.session("primary")
    session.execute(begin("-"))
    session.execute(write("w1"))
    group.primary.lost_answers = 1
    answer = session.execute(write("w2"))
    assert answer.error is ErrorCode.aborted
    assert answer.state is TransactionState.failed
    assert session.execute(read("r1")).error is ErrorCode.malformed
    ended = session.execute(commit("c1"))
    assert ended.error is ErrorCode.aborted
    assert ended.state is TransactionState.idle
    assert group.primary.log == []


def test_a_commit_without_an_answer_is_in_doubt(group):
    session = group.session("primary")
    session.execute(begin("-"))
    session.execute(write("w1"))
    group.primary.lost_answers = 1
    assert session.execute(commit("c1")).error is ErrorCode.in_doubt


def test_nothing_of_a_transaction_runs_while_it_is_being_ended(group):
    """At a stop another task rolls it back, and waits for the target meanwhile."""
    session = group.session("primary")
    session.execute(begin("-"))
    session.execute(write("w1"))
    (connection,) = group.primary.connections
    answers = []

    def exchange(commands, timeout_s):
        answers.append(session.execute(write("w2")))
        return type(connection).exchange(connection, commands, timeout_s)

    connection.exchange = exchange
    session.expire()
    assert answers[0].error is ErrorCode.malformed
    assert [run.request_id for run in group.runs()] == ["w1"]


def test_a_disconnect_of_the_caller_rolls_back(group):
    with group.session("primary") as session:
        session.execute(begin("-"))
        session.execute(write("w1"))
    group.session("primary").execute(read("r1"))
    assert group.primary.log == []
    assert group.primary.opened == 1


def test_an_empty_transaction_commits_at_a_target(group):
    session = group.session("primary")
    session.execute(begin("-"))
    assert session.execute(commit("c1")).signature == "sig-c1"


def test_an_empty_transaction_rolls_back_without_a_target(group):
    session = group.session("primary")
    session.execute(begin("-"))
    answer = session.execute(rollback("-"))
    assert answer.error is None
    assert answer.state is TransactionState.idle
    assert group.primary.opened == 0


def test_values_and_prepared_statements_stay_with_their_session(group):
    first, second = group.session("primary"), group.session("primary")
    first.execute(set_value("tz", "utc"))
    first.execute(prepare("s1", Access.read, "q1"))
    second.execute(set_value("lang", "es"))
    second.execute(prepare("s1", Access.write, "q2"))
    for number in range(3):
        first.execute(execute(f"a{number}", "s1"))
        second.execute(execute(f"b{number}", "s1"))
    for run in group.runs():
        if run.request_id.startswith("a"):
            assert run.values == {"tz": "utc"}
            assert run.shape == (Access.read, "q1")
        else:
            assert run.values == {"lang": "es"}
            assert run.shape == (Access.write, "q2")
    assert group.primary.opened == 1


def test_a_refused_begin_does_not_cost_the_connection(group):
    sampler = Sampler(group.context)
    replica = group.board.view.targets["t2"]
    for _ in range(5):
        sampler.probe(replica)
    assert group.targets["t2"].opened == 1


def test_a_leaving_primary_gets_no_new_work_after_its_grace_period(group):
    """Its replacement may be delayed until after it has stopped."""
    session = group.session("primary")
    group.board.leaving_grace_s = 6.0
    entries = dict(group.board.view.targets)
    entries["t1"] = msgspec.structs.replace(entries["t1"], leaving=True)
    group.board.apply_view(
        msgspec.structs.replace(group.board.view, version=2, targets=entries)
    )
    age = LeavingAge(entries["t1"].incarnation(), 0)
    group.board.leaving.learn([age], group.clock.now())
    group.clock.advance(5.0)
    assert session.execute(write("w1")).error is None
    group.clock.advance(1.5)
    assert session.execute(write("w2")).error is ErrorCode.overloaded
    session.execute(begin("-"))
    assert session.execute(read("r1")).error is ErrorCode.overloaded
    assert [run.request_id for run in group.runs()] == ["w1"]


def test_a_pool_waits_for_its_connection_if_the_target_is_full(group):
    """The process's predecessor may hold the rest of the target's connections."""
    group.primary.max_connections = 1
    busy = group.session("primary")
    busy.execute(begin("-"))
    busy.execute(write("w1"))
    pool = group.board.pools["t1"]
    answers = []
    task = spawn(lambda: answers.append(pool.acquire(NO_ACCOUNT, {}, 0, 5.0)))
    sleep()
    assert answers == []
    busy.execute(commit("c1"))
    task.wait()
    assert len(answers) == 1
    assert group.primary.opened == 1


def test_a_statement_without_a_route_is_refused(group):
    answer = group.session("nowhere").execute(read("r1"))
    assert answer.error is ErrorCode.unknown_database


@pytest.mark.parametrize(
    ("cap", "proxies", "at_start", "usual"),
    [(16, 6, 1, 2), (41, 7, 2, 5), (16, 3, 2, 4)],
)
def test_a_proxy_that_has_just_started_leaves_connections_to_others(
    cap, proxies, at_start, usual
):
    # After a loss of power targets still count the connections of before. Proxies that
    # connect first would otherwise take all that are left.
    policy = ServicePolicy(SERVICE, cap)
    assert proxy_pool_limit(policy, proxies, 0.0) == at_start
    assert proxy_pool_limit(policy, proxies, STALE_CONNECTIONS_S) == usual


def test_a_pool_may_open_its_usual_number_once_lost_connections_are_dropped():
    group = FakeGroup(max_connections=16)
    group.board.proxies = 6
    pool = group.board.pool(group.board.view.targets["t1"])
    assert pool.limit == 1
    group.clock.advance(STALE_CONNECTIONS_S)
    group.board.apply_limits()
    assert pool.limit == 2

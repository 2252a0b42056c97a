"""How sessions use the detection of outliers: choices, retries, log and metrics."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.decisions.outliers import Stage
from godwitwheel.decisions.retry_budget import RETRY_WINDOW_S, WindowedRetryBudget
from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.observe.events import EventName
from godwitwheel.sessions.board import MIN_FAILED_RETRIES
from godwitwheel.sessions.queueing.choosing import (
    choose_primary,
    choose_reader,
    expected_wait_s,
)
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.sessions.statements import Answer, ErrorCode, Position
from tests.common.fake_sessions import (
    SERVICE,
    FakeConnection,
    FakeGroup,
    begin,
    commit,
    read,
    write,
)

BOUNDED = "bounded_staleness"


class EventList:
    """A log of sessions that keeps the lines."""

    def __init__(self):
        self.lines = []

    def record(self, event, now, routine=False, **fields):
        self.lines.append((event, fields))

    def fields_of(self, event):
        return [fields for each, fields in self.lines if each is event]


@pytest.fixture
def group(monkeypatch):
    """A group whose targets answer statements with the errors in ``group.errors``."""
    made = FakeGroup()
    made.errors = {}
    made.context.log = EventList()
    for module in ("single_run", "transaction", "opening"):
        monkeypatch.setattr(
            f"godwitwheel.sessions.running.{module}.sleep", made.clock.advance
        )
    run = FakeConnection._run

    def run_or_fail(connection, command):
        error = made.errors.get(connection.target.target_id)
        if error is None:
            made.clock.advance(0.005)
            return run(connection, command)
        connection.target.asked += 1
        return Answer(error=error)

    monkeypatch.setattr(FakeConnection, "_run", run_or_fail)
    sample(made)
    made.replicate_all()
    return made


def sample(group):
    Sampler(group.context).probe(group.board.view.targets[group.primary.target_id])


def stage_of(group, target_id):
    tracker = group.board.outliers(SERVICE).trackers[target_id]
    return tracker.stage(group.clock.now())


def serve(group, seconds, preferred=None):
    """Runs reads that may run anywhere, and some at the primary.

    :param preferred: target that is expected to answer soonest.
    :returns: the answers to the former.
    """
    session = group.session(BOUNDED)
    ends_at = group.clock.now() + seconds
    answers = []
    while group.clock.now() < ends_at:
        sample(group)
        if preferred is not None:
            for target in group.targets:
                group.board.status(target).latency_s = 0.5
            group.board.status(preferred).latency_s = 0.0001
        answers.append(session.execute(read(f"r{len(answers)}")))
        group.session("primary").execute(read(f"p{len(answers)}"))
        group.clock.advance(0.02)
    return answers


def eject(group, target_id, error=ErrorCode.failed):
    """Lets a target fail until it is ejected, with all reads going there first."""
    group.errors[target_id] = error
    for _ in range(40):
        serve(group, 0.05, target_id)
        if stage_of(group, target_id) is Stage.ejected:
            return
    raise AssertionError(f"{target_id} was not ejected")


@given(st.data())
def test_without_outliers_choices_depend_on_the_expected_time_alone(data):
    """A target that fails or is slow like the others must change no choice."""
    group = FakeGroup()
    session = group.session(BOUNDED)
    sample(group)
    for _ in range(data.draw(st.integers(0, 8))):
        session.execute(read("r"))
    for target_id in group.targets:
        status = group.board.status(target_id)
        status.latency_s = data.draw(st.sampled_from([0.0, 0.003, 0.02, 0.3]))
        status.in_flight = data.draw(st.integers(0, 6))
    excluded = data.draw(st.sets(st.sampled_from(["t1", "t2"])))
    now = group.clock.now()
    chosen = choose_reader(
        group.board, SERVICE, NO_ACCOUNT, excluded, Position(1, 0), now
    )
    candidates = [
        target
        for target in group.board.targets_of(SERVICE)
        if target.target_id not in excluded
    ]
    assert chosen is min(
        candidates,
        key=lambda target: expected_wait_s(group.board, target, NO_ACCOUNT),
    )


@pytest.mark.parametrize("error", [ErrorCode.failed, ErrorCode.overloaded])
def test_a_failing_replica_gets_no_reads_and_readers_get_answers(group, error):
    eject(group, "t2", error)
    asked = group.targets["t2"].asked
    answers = serve(group, 0.5)
    assert {answer.error for answer in answers} == {None}
    assert group.targets["t2"].asked == asked


def test_a_mended_replica_is_tried_and_gets_reads_again(group):
    eject(group, "t2")
    group.errors.clear()
    serve(group, 2.0)
    assert stage_of(group, "t2") is Stage.active
    (restored,) = group.context.log.fields_of(EventName.target_restored)
    assert restored["target_id"] == "t2"
    assert group.board.status("t2").latency_s == pytest.approx(0.005, rel=0.2)


def test_an_ejection_is_logged_with_its_evidence_and_counted(group):
    eject(group, "t2")
    (ejected,) = group.context.log.fields_of(EventName.target_ejected)
    assert ejected["target_id"] == "t2"
    assert ejected["reason"] == "failing"
    assert not ejected["is_primary"]
    assert ejected["failure_rate"] >= 3 * ejected["others_failure_rate"]
    assert ejected["ejected_ms"] == 1000
    labels = {"target": "t2", "reason": "failing"}
    assert group.context.metrics.ejections.get(labels) == 1


def test_an_outlying_primary_still_gets_writes_and_reads_that_need_it(group):
    eject(group, "t1")
    group.errors.clear()
    now = group.clock.now()
    assert choose_primary(group.board, SERVICE, now).target_id == "t1"
    asked = group.targets["t1"].asked
    assert group.session("primary").execute(write("w1")).error is None
    assert group.session("primary").execute(read("p")).error is None
    assert group.targets["t1"].asked == asked + 2
    group.board.status("t1").latency_s = 0.0001
    reader = choose_reader(group.board, SERVICE, NO_ACCOUNT, set(), Position(1, 0), now)
    assert reader.target_id != "t1"


def test_a_read_that_no_replica_can_run_goes_to_an_outlying_primary(group):
    eject(group, "t1")
    group.errors.clear()
    now = group.clock.now()
    reader = choose_reader(
        group.board, SERVICE, NO_ACCOUNT, {"t2", "t3"}, Position(1, 0), now
    )
    assert reader.target_id == "t1"


def test_transactions_that_only_read_avoid_an_ejected_replica(group):
    eject(group, "t2")
    asked = group.targets["t2"].asked
    session = group.session(BOUNDED)
    for number in range(5):
        sample(group)
        session.execute(begin("-", read_only=True))
        assert session.execute(read(f"x{number}")).error is None
        assert session.execute(commit(f"c{number}")).error is None
    assert group.targets["t2"].asked == asked


def test_connections_that_are_reset_eject_a_replica(group):
    serve(group, 1.0)
    group.targets["t2"].lost_answers = 1000
    serve(group, 1.5, "t2")
    assert group.context.log.fields_of(EventName.target_ejected)


@pytest.mark.parametrize("error", [ErrorCode.lagging, ErrorCode.read_only])
def test_refusals_that_say_nothing_about_health_eject_no_replica(group, error):
    group.errors["t2"] = error
    serve(group, 3.0, "t2")
    assert group.targets["t2"].asked > 20
    assert group.context.log.fields_of(EventName.target_ejected) == []


def test_probes_are_not_counted(group):
    """Only a primary begins a probe's transaction, and probes run no statement."""
    for _ in range(100):
        for target in group.board.targets_of(SERVICE):
            Sampler(group.context).probe(target)
        group.clock.advance(0.01)
    assert group.board.outliers(SERVICE).trackers == {}


def test_an_exchange_that_is_killed_does_not_count_as_in_flight(group, monkeypatch):
    def killed(connection, commands, timeout_s):
        raise KeyboardInterrupt

    session = group.session("primary")
    session.execute(read("r1"))
    with monkeypatch.context() as patch:
        patch.setattr(FakeConnection, "exchange", killed)
        with pytest.raises(KeyboardInterrupt):
            session.execute(read("r2"))
    assert group.board.outliers(SERVICE).trackers["t1"].in_flight == 0


def test_retries_after_failed_answers_are_bounded(group):
    """Statements that fail everywhere would else run at every target."""
    group.errors = dict.fromkeys(group.targets, ErrorCode.failed)
    session = group.session(BOUNDED)
    started_at = group.clock.now()
    statements = 0
    while group.clock.now() < started_at + 0.9 * RETRY_WINDOW_S:
        sample(group)
        assert session.execute(read("r")).error is ErrorCode.failed
        statements += 1
        group.clock.advance(0.005)
    asked = sum(target.asked for target in group.targets.values())
    # Each retried read ends at the primary after at most two retries in the budget.
    assert asked - statements <= 2 * max(MIN_FAILED_RETRIES, 0.2 * statements)
    assert group.context.metrics.retries_withheld.get({}) > 0


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.5)), max_size=60),
    st.integers(1, 4),
)
def test_the_retry_budget_holds_in_every_window(steps, min_retries):
    """Its oracle counts the statements and retries of the last second anew."""
    budget = WindowedRetryBudget(0.2, min_retries)
    statements, retries = [], []
    now = 0.0
    for is_retry, wait_s in steps:
        now += wait_s
        begins_at = now - RETRY_WINDOW_S
        if not is_retry:
            budget.record_statement(now)
            statements.append(now)
            continue
        recent = sum(at > begins_at for at in statements)
        used = sum(at > begins_at for at in retries)
        is_allowed = used < max(min_retries, int(0.2 * recent))
        assert budget.spend(now) == is_allowed
        if is_allowed:
            retries.append(now)

"""Statements that the owner of the connections runs for a proxy."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.directory.records import NO_ACCOUNT, DirectoryView, OwnerEntry
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.internal.sentinel import Refusal
from godwitwheel.internal.signals import ChangeSignal
from godwitwheel.sessions.context import SessionState
from godwitwheel.sessions.owning.owner import EXPIRY_SLACK_S, Owner
from godwitwheel.sessions.owning.owner_calls import NEW_OWNER_WAIT_S, OwnerCalls
from godwitwheel.sessions.owning.owner_messages import RunReply, answer_of, reply_with
from godwitwheel.sessions.owning.owner_silence import (
    PROBE_ANSWER_S,
    UNRESPONSIVE_AFTER_S,
)
from godwitwheel.sessions.owning.remote import RemoteRunner
from godwitwheel.sessions.queueing.turns import TurnRequest
from godwitwheel.sessions.reporting.reporting import Reporter
from godwitwheel.sessions.running import single_run
from godwitwheel.sessions.running.attempts import NoConnection, acquire_connection
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.session import Session
from godwitwheel.sessions.statements import Answer, ErrorCode, TransactionState
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.errors import NoReply, NotSent
from godwitwheel.wire.server import Request
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

OWNERS = {SERVICE: OwnerEntry("owner-1", "10.0.0.9:7441")}


class DirectClient:
    """Passes requests to the owner, with faults that the test injects.

    :ivar fail_before: whether the owner can't be reached.
    :ivar fail_after: whether the owner's answers are lost.
    """

    def __init__(self, owner):
        self.owner = owner
        self.fail_before = False
        self.fail_after = False

    def exchange(self, address, method, path, body, timeout_s):
        if self.fail_before:
            raise NotSent("refused")
        handler = self.owner.routes()[(method, path)]
        response = handler(Request(method, path, body, {}))
        if self.fail_after:
            raise NoReply("lost")
        return response.status, response.body


class Deployment:
    """An owner on a fake group, and a proxy that has no connections."""

    def __init__(self, monkeypatch):
        self.targets = FakeGroup()
        self.targets.board.process_id = "owner-1"
        self.name_owners(self.targets)
        self.owner = Owner(self.targets.context, "run1")
        self.front = FakeGroup()
        self.front.clock = self.front.board.clock = self.targets.clock
        self.name_owners(self.front)
        self.client = DirectClient(self.owner)
        calls = OwnerCalls(self.front.context, self.client, "front-1")
        self.runners = RunnerSelector(self.front.context, RemoteRunner(calls))
        for module in ("single_run", "transaction", "opening"):
            monkeypatch.setattr(
                f"godwitwheel.sessions.running.{module}.sleep",
                self.targets.clock.advance,
            )
        for module in ("owner_calls", "remote"):
            monkeypatch.setattr(
                f"godwitwheel.sessions.owning.{module}.spawn",
                lambda function, *args: function(*args),
            )
        monkeypatch.setattr(
            ChangeSignal, "wait", lambda signal, seconds: self.wait(seconds)
        )

    def wait(self, seconds):
        self.targets.clock.advance(seconds)

    def name_owners(self, group):
        view = msgspec.structs.replace(group.board.view, version=9, owners=OWNERS)
        group.board.apply_view(view)

    def session(self, database="primary"):
        state = SessionState("s1", database)
        return Session(self.front.context, self.runners, state)


@pytest.fixture
def deployment(monkeypatch):
    return Deployment(monkeypatch)


def test_a_statement_runs_on_the_owners_connections(deployment):
    answer = deployment.session().execute(write("w1"))
    assert answer.signature == "sig-w1"
    assert [run.request_id for run in deployment.targets.runs()] == ["w1"]
    assert deployment.front.runs() == []


def test_values_and_prepared_statements_are_sent_along(deployment):
    session = deployment.session()
    session.execute(set_value("tz", "utc"))
    session.execute(prepare("s1", Access.write, "q1"))
    session.execute(execute("e1", "s1"))
    (run,) = deployment.targets.runs()
    assert run.values == {"tz": "utc"}
    assert run.shape == (Access.write, "q1")


def test_a_session_sees_its_own_write_through_any_statement(deployment):
    session = deployment.session("read_your_writes")
    session.execute(write("w1"))
    for number in range(4):
        assert b"w1" in session.execute(read(f"r{number}")).rows[0]


def test_a_transaction_keeps_its_connection(deployment):
    first, second = deployment.session(), deployment.session()
    for session, name in ((first, "a"), (second, "b")):
        session.execute(begin("-"))
        session.execute(write(f"{name}1"))
    for session, name in ((first, "a"), (second, "b")):
        session.execute(write(f"{name}2"))
        assert session.execute(commit(f"{name}3")).signature == f"sig-{name}3"
    by_id = {run.request_id: run.transaction for run in deployment.targets.runs()}
    assert by_id["a1"] == by_id["a2"] != by_id["b1"] == by_id["b2"]
    assert deployment.owner.open == {}


def test_a_rollback_ends_the_owners_transaction(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    assert session.execute(rollback("-")).error is None
    assert deployment.owner.open == {}
    assert deployment.targets.primary.log == []


def test_a_write_whose_answer_is_lost_is_in_doubt(deployment):
    deployment.client.fail_after = True
    answer = deployment.session().execute(write("w1"))
    assert answer.error is ErrorCode.in_doubt
    assert [run.request_id for run in deployment.targets.runs()] == ["w1"]


@pytest.mark.parametrize("make", [write, read])
def test_a_statement_waits_for_the_first_view_of_an_owner_that_has_just_started(
    deployment, make, monkeypatch
):
    # Callers that are refused meanwhile use up their retries.
    board = deployment.targets.board
    view = board.view
    board.view = DirectoryView()
    board.known_primaries.clear()
    started_at = board.clock.now()

    def receive_view_after_a_while(seconds):
        board.clock.advance(seconds)
        if board.clock.now() - started_at > 0.05:
            board.apply_view(view)

    monkeypatch.setattr(single_run, "sleep", receive_view_after_a_while)
    assert deployment.session().execute(make("s1")).error is None


OTHER_OWNERS = {SERVICE: OwnerEntry("owner-2", "10.0.0.10:7441")}


def apply_owners(group, version, owners):
    view = msgspec.structs.replace(group.board.view, version=version, owners=owners)
    group.board.apply_view(view)


def move_service_away(deployment):
    """Another process owns the service, and the proxy doesn't know it yet.

    The other process is the same one here under another id.
    """
    apply_owners(deployment.targets, 10, OTHER_OWNERS)


def learn_the_new_owner(deployment):
    """The proxy learns the new owner, as soon as it waits for one."""

    def wait(seconds):
        deployment.targets.clock.advance(seconds / 10)
        deployment.targets.board.process_id = "owner-2"
        apply_owners(deployment.front, 10, OTHER_OWNERS)

    deployment.wait = wait


@pytest.mark.parametrize("make", [write, read])
def test_a_statement_at_a_former_owner_runs_at_the_new_one(deployment, make):
    move_service_away(deployment)
    learn_the_new_owner(deployment)
    assert deployment.session().execute(make("s1")).signature == "sig-s1"
    assert [run.request_id for run in deployment.targets.runs()] == ["s1"]


def test_a_transaction_that_begins_at_a_former_owner_runs_at_the_new_one(deployment):
    move_service_away(deployment)
    learn_the_new_owner(deployment)
    session = deployment.session()
    session.execute(begin("-"))
    assert session.execute(write("w1")).signature == "sig-w1"
    assert session.execute(commit("c1")).signature == "sig-c1"


def test_a_transaction_that_is_open_at_a_former_owner_ends_there(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    move_service_away(deployment)
    assert session.execute(write("w2")).error is None
    assert session.execute(commit("c1")).signature == "sig-c1"


def test_a_proxy_asks_control_at_once_for_the_successor_of_a_former_owner(deployment):
    """Its next report in a large fleet is due in up to 2 s."""
    move_service_away(deployment)
    woken = spawn(deployment.front.board.changed.event.wait)
    sleep()
    started_at = deployment.targets.clock.now()
    answer = deployment.session().execute(write("w1"))
    sleep()
    assert woken.dead
    assert answer.error is ErrorCode.overloaded
    assert deployment.targets.runs() == []
    assert deployment.targets.clock.now() - started_at <= 2 * NEW_OWNER_WAIT_S


@pytest.mark.parametrize("make", [write, read])
def test_a_statement_waits_until_a_new_owner_knows_that_it_is_one(deployment, make):
    owners = deployment.targets.board.view.owners
    deployment.targets.board.view = msgspec.structs.replace(
        deployment.targets.board.view, version=8, owners=OTHER_OWNERS
    )

    def wait(seconds):
        deployment.targets.clock.advance(seconds / 10)
        apply_owners(deployment.targets, 9, owners)

    deployment.wait = wait
    assert deployment.session().execute(make("s1")).signature == "sig-s1"


def test_a_statement_is_refused_in_time_if_an_owner_gets_no_view(deployment):
    board = deployment.targets.board
    board.view = DirectoryView()
    board.known_primaries.clear()
    started_at = board.clock.now()
    assert deployment.session().execute(write("w1")).error is ErrorCode.overloaded
    assert board.clock.now() - started_at <= 0.2


def test_a_write_to_an_unreachable_owner_is_refused(deployment):
    deployment.client.fail_before = True
    answer = deployment.session().execute(write("w1"))
    assert answer.error is ErrorCode.overloaded
    assert deployment.targets.runs() == []


def test_a_statement_of_a_transaction_that_is_lost_aborts_it(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    deployment.client.fail_after = True
    answer = session.execute(write("w2"))
    assert answer.error is ErrorCode.aborted
    assert answer.state is TransactionState.failed
    deployment.client.fail_after = False
    assert session.execute(commit("c1")).error is ErrorCode.aborted
    assert deployment.targets.primary.log == []


def test_a_commit_whose_answer_is_lost_is_in_doubt(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    deployment.client.fail_after = True
    assert session.execute(commit("c1")).error is ErrorCode.in_doubt


def test_a_restarted_owner_knows_no_earlier_transaction(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    deployment.client.owner = Owner(deployment.targets.context, "run2")
    assert session.execute(commit("c1")).error is ErrorCode.aborted


def test_an_idle_transaction_of_a_crashed_proxy_expires(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    idle_s = deployment.targets.board.view.table.limits.transaction_idle_ms / 1000
    deployment.owner.expire(deployment.targets.clock.now() + idle_s)
    assert len(deployment.owner.open) == 1
    later = deployment.targets.clock.now() + idle_s + EXPIRY_SLACK_S + 0.1
    deployment.owner.expire(later)
    assert deployment.owner.open == {}
    assert deployment.targets.primary.log == []


def open_transaction(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    session.execute(write("w1"))
    (handle,) = deployment.owner.open
    return session, handle


def take_all_turns(deployment):
    """Takes every turn at the primary, until the returned stack is closed."""
    board = deployment.targets.board
    limiter = board.limiter(board.view.targets["t1"])
    stack = contextlib.ExitStack()
    for _ in range(limiter.queue.limit):
        request = TurnRequest("other", NO_ACCOUNT, 0, board.clock.now() + 1.0)
        stack.enter_context(limiter.turn(request))
    return stack


def test_a_queued_statement_does_not_run_once_its_transaction_ended(
    deployment,
):
    """The proxy no longer waits for it.

    The connection may be in use by another transaction by then.
    """
    session, handle = open_transaction(deployment)
    turns = take_all_turns(deployment)
    answers = []
    task = spawn(lambda: answers.append(session.execute(write("w2"))))
    sleep()
    deployment.owner.end(handle)
    turns.close()
    task.wait()
    assert answers[0].error is ErrorCode.aborted
    assert [run.request_id for run in deployment.targets.runs()] == ["w1"]
    assert deployment.owner.open == {}
    assert deployment.targets.primary.log == []


def test_a_concurrent_statement_of_a_transaction_is_refused(deployment):
    session, handle = open_transaction(deployment)
    turns = take_all_turns(deployment)
    task = spawn(session.execute, write("w2"))
    sleep()
    late = deployment.session()
    late.execute(begin("-"))
    late.transaction.handle = handle
    late.transaction.owner = OWNERS[SERVICE]
    assert late.execute(write("w3")).error is ErrorCode.aborted
    turns.close()
    assert task.wait().error is None
    assert [run.request_id for run in deployment.targets.runs()] == ["w1", "w2"]


def test_an_owner_leaves_connections_for_its_successor(deployment):
    """A paused owner keeps its connections open until it resumes."""
    limit = deployment.targets.board.pool_limit(SERVICE)
    policy = deployment.targets.board.view.table.services[SERVICE]
    assert limit < policy.max_connections
    assert policy.max_connections - limit >= policy.max_connections // 3


def test_callers_of_an_unresponsive_owner_are_refused_at_once(deployment):
    calls = deployment.runners.remote.calls
    owner = OWNERS[SERVICE]
    now = deployment.targets.clock.now()
    calls.breakers.record_call(owner, now)
    assert not calls.breakers.should_fail_fast(owner, now + 0.1)
    calls.breakers.record_probe(owner, now + 0.2)
    assert not calls.breakers.should_fail_fast(owner, now + 0.3)
    deployment.targets.clock.advance(UNRESPONSIVE_AFTER_S)
    answer = deployment.session().execute(write("w1"))
    assert answer.error is ErrorCode.overloaded
    assert deployment.targets.runs() == []


def test_no_statement_is_tried_at_an_unresponsive_owner_until_a_probe_is_answered(
    deployment,
):
    """At a proxy with few callers most statements were such trials, and timed out."""
    breakers = deployment.runners.remote.calls.breakers
    owner = OWNERS[SERVICE]
    now = deployment.targets.clock.now()
    breakers.record_call(owner, now)
    breakers.record_probe(owner, now + 0.3)
    for after_s in (0.4, 0.5, 1.0, 5.0):
        assert breakers.should_fail_fast(owner, now + after_s)
    breakers.record_answer(owner, now + 5.1)
    assert not breakers.should_fail_fast(owner, now + 5.2)


def test_a_slow_statement_alone_does_not_make_its_owner_unresponsive(deployment):
    breakers = deployment.runners.remote.calls.breakers
    owner = OWNERS[SERVICE]
    now = deployment.targets.clock.now()
    breakers.record_call(owner, now)
    assert not breakers.should_fail_fast(owner, now + 2.0)
    breakers.record_probe(owner, now + 2.0)
    assert not breakers.should_fail_fast(owner, now + 2.0 + PROBE_ANSWER_S / 2)


def test_a_proxy_without_ownership_drops_its_connections(deployment):
    group = FakeGroup()
    group.session("primary").execute(write("w1"))
    assert len(group.primary.connections) == 1
    deployment.name_owners(group)
    assert group.primary.connections == []
    assert not group.board.uses_targets(SERVICE)


def start_a_large_fleet(deployment):
    """Control knows many proxies and an owner, and has assigned no service yet."""
    board = deployment.front.board
    view = msgspec.structs.replace(board.view, version=10, owners={})
    board.proxies = 80
    board.owners = 1
    board.apply_view(view)
    return board


def test_no_proxy_connects_to_targets_before_control_has_assigned_owners(deployment):
    board = start_a_large_fleet(deployment)
    assert not board.uses_targets(SERVICE)
    answer = deployment.session().execute(read("r1"))
    assert answer.error is ErrorCode.overloaded
    assert all(target.opened == 0 for target in deployment.front.targets.values())


def test_a_write_and_a_transaction_before_an_owner_is_assigned_are_refused(deployment):
    start_a_large_fleet(deployment)
    session = deployment.session()
    assert session.execute(write("w1")).error is ErrorCode.overloaded
    session.execute(begin("b1"))
    assert session.execute(write("w2")).error is ErrorCode.aborted


def test_a_statement_that_waits_when_an_owner_takes_over_opens_no_connection():
    """It would take one of the connections that the owner counts on."""
    group = FakeGroup()
    entry = group.board.view.targets["t1"]
    view = msgspec.structs.replace(group.board.view, version=9, owners=OWNERS)
    group.board.apply_view(view)
    state = SessionState("s1", "primary")
    pooled = acquire_connection(group.context, entry, state, 0, 1.0)
    assert pooled == Refusal(NoConnection.not_owner)
    assert pooled.detail == "the owner is owner-1"
    assert group.targets["t1"].opened == 0
    assert group.board.pools == {}


def test_proxies_use_their_own_connections_if_no_process_can_be_an_owner(deployment):
    board = start_a_large_fleet(deployment)
    board.owners = 0
    assert board.uses_targets(SERVICE)


def test_a_target_that_is_full_is_not_taken_for_unreachable(deployment):
    front = deployment.front
    board = start_a_large_fleet(deployment)
    board.owners = 0
    for target in front.targets.values():
        target.max_connections = 0
    deployment.session().execute(read("r1"))
    assert board.pools["t1"].is_refused(board.clock.now())
    assert board.status("t1").failing_since is None
    reporter = Reporter(board, None, None, "front-1")
    board.known_primary(SERVICE).search_started_at = 0.0
    assert reporter.build().primaries == []


@given(st.lists(st.binary()))
def test_rows_reach_the_proxy_byte_for_byte(rows):
    reply = reply_with(Answer(rows), "", None)
    assert answer_of(decode(encode(reply), RunReply)).rows == rows

"""Statements whose caller has left before they got a turn at the target."""

import pytest

from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.context import SessionState
from godwitwheel.sessions.queueing.gate import CALLER_LEFT
from godwitwheel.sessions.serving import OpenSession, SessionServer
from godwitwheel.sessions.statements import ErrorCode
from tests.common.fake_sessions import FakeConnection, begin, commit, read, write
from tests.cover.test_owner import Deployment, open_transaction, take_all_turns


@pytest.fixture
def deployment(monkeypatch):
    return Deployment(monkeypatch)


def run_queued(session, statement):
    """Starts a statement that waits for a turn."""
    task = spawn(session.execute, statement)
    sleep()
    return task


def limiter_of(deployment):
    board = deployment.targets.board
    return board.limiter(board.view.targets["t1"])


def run_ids(deployment):
    return [run.request_id for run in deployment.targets.runs()]


@pytest.mark.parametrize("statement", (read("s1"), write("s1")))
def test_a_queued_statement_is_withdrawn_when_its_caller_leaves(deployment, statement):
    """Guards the target against work whose answer nobody reads."""
    session = deployment.session()
    with take_all_turns(deployment):
        task = run_queued(session, statement)
        session.state.presence.leave()
        answer = task.wait()
        limiter = limiter_of(deployment)
        assert limiter.queue.waiting == []
        assert limiter.events == {}
        assert len(limiter.queue.running) == limiter.queue.limit
    assert answer.error is ErrorCode.overloaded
    assert CALLER_LEFT in answer.detail
    assert run_ids(deployment) == []
    assert deployment.owner.callers == {}


def test_the_statements_behind_a_withdrawn_one_get_their_turns(deployment):
    leaving, staying = deployment.session(), deployment.session()
    staying.state.session_id = "s2"
    with take_all_turns(deployment):
        tasks = [run_queued(leaving, write("w1")), run_queued(staying, write("w2"))]
        leaving.state.presence.leave()
        sleep()
    assert tasks[1].wait().error is None
    assert run_ids(deployment) == ["w2"]
    assert limiter_of(deployment).queue.running == set()


def test_the_first_statement_of_a_transaction_is_withdrawn(deployment):
    session = deployment.session()
    session.execute(begin("-"))
    with take_all_turns(deployment):
        task = run_queued(session, write("w1"))
        session.state.presence.leave()
        assert CALLER_LEFT in task.wait().detail
    session.close()
    assert run_ids(deployment) == []
    assert deployment.owner.open == {}


def test_a_write_that_was_sent_is_carried_to_its_end(deployment, monkeypatch):
    """Guards against a write that is taken for withdrawn although it has run."""
    session = deployment.session()
    exchange = FakeConnection.exchange

    def exchange_after_leaving(*args):
        session.state.presence.leave()
        return exchange(*args)

    monkeypatch.setattr(FakeConnection, "exchange", exchange_after_leaving)
    answer = session.execute(write("w1"))
    assert (answer.error, answer.signature) == (None, "sig-w1")
    assert [each.request_id for each in deployment.targets.primary.log] == ["w1"]


def test_a_queued_commit_is_not_withdrawn(deployment):
    """Guards against losing the work of a transaction that its caller committed."""
    session, _ = open_transaction(deployment)
    turns = take_all_turns(deployment)
    task = run_queued(session, commit("c1"))
    session.state.presence.leave()
    sleep()
    turns.close()
    assert task.wait().error is None
    assert [each.request_id for each in deployment.targets.primary.log] == ["w1"]


def test_a_lost_withdrawal_leaves_the_statement_queued(deployment):
    """Guards against a session that fails because the owner can't be told."""
    session = deployment.session()
    with take_all_turns(deployment):
        task = run_queued(session, read("r1"))
        deployment.client.fail_before = True
        session.state.presence.leave()
        deployment.client.fail_before = False
        sleep()
        assert limiter_of(deployment).queue.waiting_count == 1
    assert task.wait().error is None


def test_an_unknown_statement_is_not_withdrawn(deployment):
    """The statement may have ended before the request to withdraw it arrives."""
    deployment.owner.withdraw("front-1/s1")
    assert deployment.session().execute(read("r1")).error is None


class FakeLink:
    """A caller's link that has ended."""

    def has_ended(self):
        return True


def test_only_callers_whose_statement_is_served_are_watched(deployment):
    """An idle session reads its link itself."""
    server = SessionServer(deployment.front.context, deployment.runners)
    idle, busy = (OpenSession(FakeLink(), deployment.session()) for _ in range(2))
    busy.is_busy = True
    server.open_sessions = {idle, busy}
    server.withdraw_abandoned()
    assert busy.session.state.presence.has_left
    assert not idle.session.state.presence.has_left


def test_a_session_without_a_statement_can_be_left():
    presence = SessionState("s1", "primary").presence
    presence.leave()
    presence.leave()
    assert presence.has_left

"""The stand-in target implements the target interface."""

import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.standin.interface import TargetInterface, TargetProtocol
from bench.standin.log import LogEntry, ReplicationLog
from bench.standin.replication import Replication
from bench.standin.settings import TargetSettings
from bench.standin.state import TargetState
from godwitwheel.internal.loop import sleep
from godwitwheel.wire.client import Client, HttpConnection
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.server import Server
from godwitwheel.wire.target import (
    Follow,
    ProblemCode,
    Promote,
    Role,
    SessionOpened,
    Statement,
    StatementReply,
    StepReply,
    TargetProblem,
    TargetStatus,
    TransactionStep,
)

INSERT = "INSERT INTO bays (name) VALUES (?)"


class RunningTarget:
    """A stand-in served by this process."""

    def __init__(self, name: str, folder: Path, stack: contextlib.ExitStack, **flags):
        settings = TargetSettings(name, "g1", "dc", "127.0.0.1:0", folder, **flags)
        folder.mkdir()
        self.client = stack.enter_context(Client())
        self.state = TargetState(settings)
        self.replication = Replication(self.state, self.client)
        routes = TargetInterface(self.state, self.replication).routes()
        server = Server(routes, print, TargetProtocol)
        self.address = stack.enter_context(server.listening("127.0.0.1:0")).address
        stack.callback(self.replication.stop)

    def call(self, path, message):
        return self.client.call(self.address, path, message, TargetStatus, 5.0)

    def names(self):
        connection = self.state.database.connection
        return [row[0] for row in connection.execute("SELECT name FROM bays")]


class Session:
    """A caller's database connection."""

    def __init__(self, target: RunningTarget):
        self.connection = HttpConnection(target.address)
        self.connection.connect(5.0)

    def post(self, path, message, reply):
        body = b"" if message is None else encode(message)
        status, answer = self.connection.exchange("POST", path, body, 5.0)
        return decode(answer, reply if status == 200 else TargetProblem)

    def open(self):
        return self.post("/v1/session", None, SessionOpened)

    def run(self, sql, *parameters, read_only=False):
        statement = Statement(1, sql, list(parameters), read_only)
        return self.post("/v1/statement", statement, StatementReply)

    def step(self, path, read_only=False):
        return self.post(path, TransactionStep(1, read_only), StepReply)


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def primary(stack, tmp_path):
    target = RunningTarget("t1", tmp_path / "t1", stack, role=Role.primary)
    target.call("/v1/promote", Promote(term=1))
    session = Session(target)
    session.open()
    session.run("CREATE TABLE bays (name TEXT PRIMARY KEY)")
    return target


def wait_for_position(target, position):
    for _ in range(500):
        if target.state.log.position() >= position:
            return
        sleep(0.01)
    raise AssertionError(f"position is {target.state.log.position()}")


def test_transaction_is_isolated_and_ends_with_its_connection(primary):
    writer, reader = Session(primary), Session(primary)
    writer.open()
    reader.open()
    writer.step("/v1/begin")
    writer.run(INSERT, "bay 1")
    assert reader.run("SELECT name FROM bays", read_only=True).rows == []
    writer.connection.close()
    third = Session(primary)
    third.open()
    third.step("/v1/begin")
    third.run(INSERT, "bay 2")
    assert third.step("/v1/commit").position == 2
    assert reader.run("SELECT name FROM bays", read_only=True).rows == [["bay 2"]]


def test_refusals_say_that_nothing_ran(primary):
    session = Session(primary)
    assert session.run(INSERT, "x").code is ProblemCode.no_session
    session.open()
    session.run(INSERT, "x")
    failed = session.run(INSERT, "x")
    assert (failed.code, failed.ran) == (ProblemCode.statement_failed, False)
    assert session.run(INSERT, "y", read_only=True).code is ProblemCode.statement_failed
    assert primary.state.log.position() == 2


def test_refuses_connections_over_the_cap(stack, tmp_path):
    target = RunningTarget("t1", tmp_path / "t1", stack, connection_cap=1)
    first, second = Session(target), Session(target)
    first.open()
    assert second.open().code is ProblemCode.too_many_connections
    first.connection.close()
    sleep(0.05)
    assert isinstance(second.open(), SessionOpened)


def test_replaced_primary_drops_its_diverged_tail(primary, stack, tmp_path):
    replica = RunningTarget("t2", tmp_path / "t2", stack)
    replica.call("/v1/follow", Follow(1, "t1", primary.address))
    old = Session(primary)
    old.open()
    old.run(INSERT, "shared")
    wait_for_position(replica, 2)
    replica.call("/v1/promote", Promote(term=2))
    new = Session(replica)
    new.open()
    old.run(INSERT, "lost")
    new.run(INSERT, "kept")
    status = primary.call("/v1/follow", Follow(2, "t2", replica.address))
    assert (status.role, status.term, status.term_start) == (Role.replica, 2, 2)
    assert status.position >= 2
    wait_for_position(primary, 3)
    assert primary.names() == ["shared", "kept"]
    assert old.run(INSERT, "late").code is ProblemCode.no_session


@given(st.lists(st.sampled_from([1, 1, 2, 3])), st.lists(st.sampled_from([1, 1, 2, 4])))
def test_common_prefix_is_where_terms_agree(own_terms, other_terms):
    logs = []
    for terms in (sorted(own_terms), sorted(other_terms)):
        entries = [LogEntry(term, i, 0.0, []) for i, term in enumerate(terms, 1)]
        logs.append(ReplicationLog(entries))
    own, other = logs
    expected = 0
    for mine, theirs in zip(own.entries, other.entries, strict=False):
        if mine.term != theirs.term:
            break
        expected += 1
    assert own.common_prefix(other.runs()) == expected

"""Sessions over loopback, and callers that violate the protocol."""

import contextlib

import eliot
import msgspec
import pytest

from fleet import callers
from fleet.callers import LineCallerLink
from godwitwheel.directory.records import DirectoryView
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import Event, sleep
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.serving import (
    FIRST_VIEW_WAIT_S,
    OpenSession,
    SessionServer,
)
from godwitwheel.wire.streams import StreamClosed, StreamServer, open_stream
from tests.common.fake_sessions import FakeGroup, KeyedGroup
from tests.common.framing import MessageReader

TIMEOUT_S = 5.0


class Caller:
    """A connection to the session server under test."""

    def __init__(self, address):
        self.stream = open_stream(address, TIMEOUT_S)
        self.reader = MessageReader(self.stream)

    def send(self, *lines):
        text = "".join(f"{line}\r\n" for line in lines)
        self.stream.write(text.encode(), TIMEOUT_S)

    def line(self):
        return self.reader.read(TIMEOUT_S)

    def query(self, request_id, text):
        self.send(f"QUERY {request_id} {text}")
        lines = [self.line()]
        while not lines[-1].startswith("READY"):
            lines.append(self.line())
        return lines

    def is_closed(self):
        with contextlib.suppress(StreamClosed):
            while True:
                self.line()
        return True


def raise_error(error):
    raise error


@pytest.fixture
def served():
    """A session server on a fake group; yields a function that connects."""
    group = FakeGroup()
    server = SessionServer(group.context, RunnerSelector(group.context))
    errors = []
    listener = StreamServer(lambda s: server.serve(LineCallerLink(s)), errors.append)
    with listener.listening("127.0.0.1:0") as listening:

        def connect(database="primary"):
            caller = Caller(listening.address)
            if database:
                caller.send(f"START {database} u3f1")
            return caller

        connect.group = group
        connect.server = server
        yield connect
    assert errors == []


def test_a_session_of_a_starting_process_waits_for_the_first_routing_table():
    # Callers that are refused at once use up their retries before there is a leader.
    group = FakeGroup()
    view = group.board.view
    group.board.view = DirectoryView()
    server = SessionServer(group.context, RunnerSelector(group.context))
    server.context.board.clock = BootClock()
    listener = StreamServer(lambda s: server.serve(LineCallerLink(s)), raise_error)
    with listener.listening("127.0.0.1:0") as listening:
        caller = Caller(listening.address)
        caller.send("START primary u3f1")
        sleep(FIRST_VIEW_WAIT_S / 5)
        assert not caller.stream.has_input()
        group.board.apply_view(view)
        assert caller.line() == "READY I -"
        late = Caller(listening.address)
        group.board.view = DirectoryView()
        late.send("START primary u3f1")
        assert late.line().startswith("ERROR")


def test_a_session_runs_every_kind_of_statement(served):
    caller = served()
    assert caller.line() == "READY I -"
    assert caller.query("a", "SET tz utc") == ["COMPLETE -", "READY I -"]
    assert caller.query("b", "PREPARE s1 WRITE q") == ["COMPLETE -", "READY I -"]
    assert caller.query("c", "BEGIN") == ["COMPLETE -", "READY T -"]
    assert caller.query("d", "EXECUTE s1 1a4 data")[-2] == "COMPLETE sig-d"
    assert caller.query("e", "COMMIT")[0] == "COMPLETE sig-e"
    assert caller.query("f", "READ 1a4")[0] == "DATAROW d"
    assert caller.query("g", "DEALLOCATE s1") == ["COMPLETE -", "READY I -"]
    assert caller.query("h", "EXECUTE s1 1a4 x")[0].startswith("ERROR NOSTMT")
    caller.send("TERMINATE")
    assert caller.is_closed()


def test_an_unknown_database_is_refused_and_closed(served):
    caller = served("nowhere")
    assert caller.line() == "ERROR NODB nowhere"
    assert caller.is_closed()


def test_a_key_opens_the_session_of_its_account():
    group = KeyedGroup()
    server = SessionServer(group.context, RunnerSelector(group.context))
    listener = StreamServer(lambda s: server.serve(LineCallerLink(s)), raise_error)
    with listener.listening("127.0.0.1:0") as listening:
        caller = Caller(listening.address)
        caller.send("START primary k3")
        assert caller.line() == "READY I -"
        assert caller.query("a", "WRITE x y")[-2] == "COMPLETE sig-a"
        stranger = Caller(listening.address)
        stranger.send("START primary k9")
        assert stranger.line().startswith("ERROR NOAUTH")
        assert stranger.is_closed()
    assert group.accounts_told() == ["school"]


def test_a_malformed_statement_leaves_the_session_open(served):
    caller = served()
    caller.line()
    assert caller.query("a", "DROP everything")[0].startswith("ERROR MALFORMED")
    assert caller.query("b", "READ 1a4")[-2] == "COMPLETE sig-b"


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n",
        b"START\r\n",
        b"\r\n",
        b"START \xff\xfe\r\n",
        b"GET / HTTP/1.1\r\n",
    ],
)
def test_a_malformed_start_ends_the_connection(served, data):
    caller = served(database=None)
    caller.stream.write(data, TIMEOUT_S)
    assert caller.line().startswith("ERROR MALFORMED")
    assert caller.is_closed()
    assert served().line() == "READY I -"


@pytest.mark.parametrize(
    "data", [b"NONSENSE x\r\n", b"QUERY a\r\n", b"QUERY\r\n", b"QUERY a \xff\r\n"]
)
def test_a_malformed_message_ends_the_session(served, data):
    caller = served()
    caller.line()
    caller.stream.write(data, TIMEOUT_S)
    assert caller.line().startswith("ERROR MALFORMED")
    assert caller.is_closed()
    assert served().line() == "READY I -"


@pytest.fixture
def recorded():
    """Events recorded while the test runs."""
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


@pytest.mark.parametrize("data", [b"NONSENSE x\r\n", b"QUERY a \xff\r\n"])
def test_a_protocol_violation_is_logged_once(served, recorded, data):
    served.group.context.log.notable.per_s = 100
    caller = served()
    caller.line()
    caller.stream.write(data, TIMEOUT_S)
    assert caller.is_closed()
    lines = [m for m in recorded if m.get("message_type") == "caller_dropped"]
    assert len(lines) == 1
    assert lines[0]["reason"]


def test_an_oversized_line_ends_the_session(served):
    caller = served()
    caller.line()
    with contextlib.suppress(StreamClosed):
        caller.stream.write(b"QUERY a READ " + b"x" * (1 << 20) + b"\r\n", TIMEOUT_S)
    with contextlib.suppress(StreamClosed):
        assert caller.line().startswith("ERROR MALFORMED")
    assert served().line() == "READY I -"


def test_a_caller_that_ends_lines_with_lf_alone_is_answered(served, monkeypatch):
    # It waited without an answer, since nothing that it sent was a whole message.
    monkeypatch.setattr(callers, "MESSAGE_TIMEOUT_S", 0.1)
    caller = served()
    caller.line()
    caller.stream.write(b"QUERY a WRITE 1a4 x\n", TIMEOUT_S)
    assert caller.line().startswith("ERROR MALFORMED not run: got no CR LF")
    assert caller.is_closed()
    assert served.group.runs() == []


def test_a_start_that_ends_with_lf_alone_is_answered():
    group = FakeGroup()
    view = group.board.view
    limits = msgspec.structs.replace(view.table.limits, start_timeout_ms=100)
    table = msgspec.structs.replace(view.table, limits=limits)
    group.board.apply_view(msgspec.structs.replace(view, version=9, table=table))
    server = SessionServer(group.context, RunnerSelector(group.context))
    listener = StreamServer(lambda s: server.serve(LineCallerLink(s)), raise_error)
    with listener.listening("127.0.0.1:0") as listening:
        caller = Caller(listening.address)
        caller.stream.write(b"START primary u3f1\n", TIMEOUT_S)
        assert caller.line().startswith("ERROR MALFORMED not run: got no CR LF")
        assert caller.is_closed()
        silent = Caller(listening.address)
        assert silent.is_closed()


def test_a_message_that_is_slow_within_the_limit_is_served(served, monkeypatch):
    monkeypatch.setattr(callers, "MESSAGE_TIMEOUT_S", 2.0)
    caller = served()
    caller.line()
    sleep(0.1)
    for piece in (b"QUERY a WR", b"ITE 1a4 x\n\r", b"\n"):
        caller.stream.write(piece, TIMEOUT_S)
        sleep(0.1)
    assert caller.line() == "DATAROW a"


def test_a_transaction_fails_and_its_caller_is_answered_if_a_message_does_not_end(
    served, monkeypatch
):
    monkeypatch.setattr(callers, "MESSAGE_TIMEOUT_S", 0.1)
    view = served.group.board.view
    limits = msgspec.structs.replace(view.table.limits, transaction_idle_ms=100)
    table = msgspec.structs.replace(view.table, limits=limits)
    served.group.board.apply_view(msgspec.structs.replace(view, version=9, table=table))
    caller = served()
    caller.line()
    caller.query("a", "BEGIN")
    caller.query("b", "WRITE 1a4 x")
    caller.stream.write(b"QUERY c COMMIT\n", TIMEOUT_S)
    assert caller.line().startswith("ERROR MALFORMED not run: got no CR LF")
    assert caller.is_closed()
    assert served.group.primary.log == []


def test_an_incomplete_line_runs_nothing(served):
    caller = served()
    caller.line()
    caller.stream.write(b"QUERY a WRITE 1a4 da", TIMEOUT_S)
    caller.stream.close()
    second = served()
    second.line()
    second.query("b", "READ 1a4")
    assert [run.request_id for run in served.group.runs()] == ["b"]


def test_a_transaction_is_rolled_back_if_its_caller_disconnects(served):
    caller = served()
    caller.line()
    caller.query("a", "BEGIN")
    caller.query("b", "WRITE 1a4 x")
    caller.stream.close()
    second = served()
    second.line()
    assert second.query("c", "READ 1a4")[0] == "DATAROW "


def test_a_statement_that_arrives_while_its_session_is_ended_does_not_run(served):
    """It ran, and its answer could not be sent, although the stop was planned."""
    caller = served()
    caller.line()
    (record,) = served.server.open_sessions
    record.is_ended = True
    caller.send("QUERY a WRITE 1a4 x")
    assert caller.is_closed()
    assert served.group.runs() == []


def test_at_shutdown_idle_sessions_end_and_busy_ones_after_their_transaction(served):
    idle, busy = served(), served()
    idle.line()
    busy.line()
    busy.query("a", "BEGIN")
    busy.query("b", "WRITE 1a4 x")
    served.server.is_draining = True
    served.server.end_idle()
    assert idle.is_closed()
    assert busy.query("c", "COMMIT")[0] == "COMPLETE sig-c"
    assert busy.is_closed()


class SlowSession:
    """A session whose idle transaction takes long to be rolled back.

    :ivar rolled_back: sent when it is.
    """

    def __init__(self):
        self.transaction = object()
        self.rolled_back = Event()

    def expire(self):
        self.rolled_back.wait()


class NoLink:
    """A connection that only ends."""

    def end(self):
        pass


def test_a_slow_rollback_holds_up_no_other_session_of_a_process_that_stops():
    """The process had to be killed while it rolled back one after the other."""
    context = FakeGroup().context
    server = SessionServer(context, RunnerSelector(context))
    records = [OpenSession(NoLink(), SlowSession()) for _ in range(3)]
    server.open_sessions.update(records)
    server.expire_transactions()
    sleep()
    for record in records[1:]:
        record.session.rolled_back.send()
    for _ in range(3):
        sleep()
    assert [record.is_ended for record in records] == [False, True, True]
    records[0].session.rolled_back.send()

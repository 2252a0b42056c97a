"""Texts on their whole way: from a caller to a target, and rows back."""

import contextlib

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fleet.callers import LineCallerLink
from fleet.targets import LineConnector
from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.serving import SessionServer
from godwitwheel.wire.streams import StreamServer, open_stream
from tests.common.fake_sessions import FakeGroup
from tests.common.framing import MessageReader, Reply, read_reply
from tests.common.line_target import EchoTarget
from tests.common.texts import field_texts, field_words

TIMEOUT_S = 5.0
NOTE = "bay 4\nQUERY intruder WRITE bay-7 taken"


class Caller:
    """A session of a caller that frames its messages itself."""

    def __init__(self, address, database="primary"):
        self.stream = open_stream(address, TIMEOUT_S)
        self.reader = MessageReader(self.stream)
        self.send(f"START {database} -")
        assert self.reader.read(TIMEOUT_S) == "READY I -"

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stream.close()

    def send(self, message):
        self.stream.write(f"{message}\r\n".encode(), TIMEOUT_S)

    def query(self, request_id, text) -> Reply:
        self.send(f"QUERY {request_id} {text}")
        return read_reply(self.reader, TIMEOUT_S)


class Way:
    """A proxy between callers and one target, the primary.

    :ivar target: the target; what it recorded is cleared by :meth:`open`.
    """

    def __init__(self, target, address):
        self.target = target
        self.address = address

    def open(self, database="primary"):
        self.target.queries.clear()
        self.target.ran.clear()
        self.target.refusals.clear()
        return Caller(self.address, database)


@contextlib.contextmanager
def running_way():
    group = FakeGroup()
    group.board.connector = LineConnector()
    with contextlib.ExitStack() as stack:
        target = stack.enter_context(EchoTarget().running())
        view = group.view(2)
        entry = msgspec.structs.replace(view.targets["t1"], address=target.address)
        group.board.apply_view(msgspec.structs.replace(view, targets={"t1": entry}))
        server = SessionServer(group.context, RunnerSelector(group.context))
        errors = []
        listener = StreamServer(
            lambda stream: server.serve(LineCallerLink(stream)), errors.append
        )
        listening = stack.enter_context(listener.listening("127.0.0.1:0"))
        yield Way(target, listening.address)
    assert errors == []


@pytest.fixture(scope="module")
def way():
    with running_way() as running:
        yield running


def test_a_line_feed_in_data_does_not_end_the_statement(way):
    # The rest of the data was run as a statement that no caller had sent.
    with way.open() as caller:
        reply = caller.query("note", f"WRITE bay-4 {NOTE}")
    assert way.target.ran == [("note", f"WRITE bay-4 {NOTE}")]
    assert reply.rows == [f"WRITE bay-4 {NOTE}"]


@given(field_words(), field_texts())
@example("bay-4", NOTE)
def test_a_write_runs_with_its_text_and_its_row_comes_back(way, item, data):
    text = f"WRITE {item} {data}"
    with way.open() as caller:
        reply = caller.query("w", text)
    assert way.target.ran == [("w", text)]
    assert (reply.error, reply.rows) == ("", [text])


@given(field_texts().filter(bool), st.sampled_from([c.value for c in Consistency]))
def test_a_read_runs_with_its_text_and_its_row_comes_back(way, item, database):
    with way.open(database) as caller:
        reply = caller.query("r", f"READ {item}")
    assert way.target.ran == [("r", f"READ {item}")]
    assert (reply.error, reply.rows) == ("", [f"READ {item}"])


@given(field_words(), field_texts(), field_texts(), field_texts())
def test_values_and_prepared_statements_arrive_unchanged(
    way, name, value, shape, arguments
):
    with way.open() as caller:
        assert caller.query("a", f"SET {name} {value}").error == ""
        assert caller.query("b", f"PREPARE {name} WRITE {shape}").error == ""
        reply = caller.query("c", f"EXECUTE {name} {arguments}")
    own = [text for request_id, text in way.target.queries if request_id == "-"]
    ((request_id, text),) = way.target.ran
    _, own_name, ran_arguments = text.split(" ", 2)
    assert (request_id, ran_arguments, reply.rows) == ("c", arguments, [text])
    prepared = [each for each in own if each.startswith("PREPARE ")]
    assert prepared in ([], [f"PREPARE {own_name} WRITE {shape}"])
    values = [each for each in own if each.startswith("SET ")]
    assert values in ([], [f"SET {name} {value}"])


@given(field_texts(), field_texts())
def test_a_transaction_runs_its_texts_and_commits_them(way, first, second):
    texts = [f"WRITE a {first}", f"WRITE b {second}"]
    with way.open() as caller:
        assert caller.query("a", "BEGIN").state == "T"
        rows = [caller.query(f"w{i}", text).rows for i, text in enumerate(texts)]
        assert caller.query("z", "COMMIT").detail == "sig-z"
    assert rows == [[text] for text in texts]
    assert way.target.ran == [("w0", texts[0]), ("w1", texts[1]), ("z", "COMMIT")]


@given(field_texts(), st.lists(st.sampled_from(["BUSY", "READONLY", ""]), max_size=2))
def test_a_read_that_is_tried_again_keeps_its_text(way, item, refusals):
    text = f"READ x{item}"
    with way.open() as caller:
        way.target.refusals.extend(refusals)
        reply = caller.query("r", text)
    sent = [sent for request_id, sent in way.target.queries if request_id != "-"]
    assert sent == [text] * len(sent)
    assert reply.error or reply.rows == [text]


@given(field_texts(), st.sampled_from(["BUSY", "", "FAILED"]))
def test_a_write_whose_attempt_fails_runs_once_or_not_at_all(way, data, refusal):
    text = f"WRITE x {data}"
    with way.open() as caller:
        way.target.refusals.append(refusal)
        reply = caller.query("w", text)
    assert [sent for sent in way.target.queries if sent[0] != "-"] == [("w", text)] * (
        2 if refusal == "BUSY" else 1
    )
    assert reply.error == {"BUSY": "", "": "INDOUBT", "FAILED": "FAILED"}[refusal]


@given(field_texts())
def test_the_text_of_a_targets_error_reaches_the_caller_unchanged(way, data):
    with way.open() as caller:
        way.target.refusals.append("FAILED")
        reply = caller.query("w", f"WRITE x {data}")
    assert (reply.error, reply.detail) == ("FAILED", f"WRITE x {data}")


@given(field_texts(), field_texts())
def test_a_session_that_ends_in_a_message_runs_only_whole_ones(way, data, cut):
    with way.open() as caller:
        caller.query("w", f"WRITE x {data}")
        caller.stream.write(f"QUERY cut WRITE x {cut}".encode(), TIMEOUT_S)
    with Caller(way.address) as second:
        second.query("r", "READ x")
    assert [run[0] for run in way.target.ran] == ["w", "r"]

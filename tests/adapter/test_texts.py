"""Texts on their whole way: from a caller to a target, and rows back."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from godwitwheel.directory.records import Consistency
from tests.common.line_proxy import TIMEOUT_S, LineCaller, running_proxy
from tests.common.texts import field_texts, field_words

NOTE = "bay 4\nQUERY intruder WRITE bay-7 taken"


@pytest.fixture(scope="module", params=[False, True], ids=["direct", "owner"])
def proxy(request):
    with running_proxy(request.param) as running:
        yield running


def test_a_line_feed_in_data_does_not_end_the_statement(proxy):
    # The rest of the data was run as a statement that no caller had sent.
    with proxy.open() as caller:
        reply = caller.query("note", f"WRITE bay-4 {NOTE}")
    assert proxy.target.ran == [("note", f"WRITE bay-4 {NOTE}")]
    assert reply.rows == [f"WRITE bay-4 {NOTE}"]


@given(field_words(), field_texts())
@example("bay-4", NOTE)
def test_a_write_runs_with_its_text_and_its_row_comes_back(proxy, item, data):
    text = f"WRITE {item} {data}"
    with proxy.open() as caller:
        reply = caller.query("w", text)
    assert proxy.target.ran == [("w", text)]
    assert (reply.error, reply.rows) == ("", [text])


@given(field_texts().filter(bool), st.sampled_from([c.value for c in Consistency]))
def test_a_read_runs_with_its_text_and_its_row_comes_back(proxy, item, database):
    with proxy.open(database) as caller:
        reply = caller.query("r", f"READ {item}")
    assert proxy.target.ran == [("r", f"READ {item}")]
    assert (reply.error, reply.rows) == ("", [f"READ {item}"])


@given(field_words(), field_texts(), field_texts(), field_texts())
def test_values_and_prepared_statements_arrive_unchanged(
    proxy, name, value, shape, arguments
):
    with proxy.open() as caller:
        assert caller.query("a", f"SET {name} {value}").error == ""
        assert caller.query("b", f"PREPARE {name} WRITE {shape}").error == ""
        reply = caller.query("c", f"EXECUTE {name} {arguments}")
    own = [text for request_id, text in proxy.target.queries if request_id == "-"]
    ((request_id, text),) = proxy.target.ran
    _, own_name, ran_arguments = text.split(" ", 2)
    assert (request_id, ran_arguments, reply.rows) == ("c", arguments, [text])
    prepared = [each for each in own if each.startswith("PREPARE ")]
    assert prepared in ([], [f"PREPARE {own_name} WRITE {shape}"])
    values = [each for each in own if each.startswith("SET ")]
    assert values in ([], [f"SET {name} {value}"])


@given(field_texts(), field_texts())
def test_a_transaction_runs_its_texts_and_commits_them(proxy, first, second):
    texts = [f"WRITE a {first}", f"WRITE b {second}"]
    with proxy.open() as caller:
        assert caller.query("a", "BEGIN").state == "T"
        rows = [caller.query(f"w{i}", text).rows for i, text in enumerate(texts)]
        assert caller.query("z", "COMMIT").detail == "sig-z"
    assert rows == [[text] for text in texts]
    assert proxy.target.ran == [("w0", texts[0]), ("w1", texts[1]), ("z", "COMMIT")]


@given(field_texts(), st.lists(st.sampled_from(["BUSY", "READONLY", ""]), max_size=2))
def test_a_read_that_is_tried_again_keeps_its_text(proxy, item, refusals):
    text = f"READ x{item}"
    with proxy.open() as caller:
        proxy.target.refusals.extend(refusals)
        reply = caller.query("r", text)
    sent = [sent for request_id, sent in proxy.target.queries if request_id != "-"]
    assert sent == [text] * len(sent)
    assert reply.error or reply.rows == [text]


@given(field_texts(), st.sampled_from(["BUSY", "", "FAILED"]))
def test_a_write_whose_attempt_fails_runs_once_or_not_at_all(proxy, data, refusal):
    text = f"WRITE x {data}"
    with proxy.open() as caller:
        proxy.target.refusals.append(refusal)
        reply = caller.query("w", text)
    assert [sent for sent in proxy.target.queries if sent[0] != "-"] == [
        ("w", text)
    ] * (2 if refusal == "BUSY" else 1)
    assert reply.error == {"BUSY": "", "": "INDOUBT", "FAILED": "FAILED"}[refusal]


@given(field_texts())
def test_the_text_of_a_targets_error_reaches_the_caller_unchanged(proxy, data):
    with proxy.open() as caller:
        proxy.target.refusals.append("FAILED")
        reply = caller.query("w", f"WRITE x {data}")
    assert (reply.error, reply.detail) == ("FAILED", f"WRITE x {data}")


@given(field_texts(), field_texts())
def test_a_session_that_ends_in_a_message_runs_only_whole_ones(proxy, data, cut):
    with proxy.open() as caller:
        caller.query("w", f"WRITE x {data}")
        caller.stream.write(f"QUERY cut WRITE x {cut}".encode(), TIMEOUT_S)
    with LineCaller(proxy.address).start() as second:
        second.query("r", "READ x")
    assert [run[0] for run in proxy.target.ran] == ["w", "r"]

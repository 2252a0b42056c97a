"""The line protocol: what callers may send, what targets answer."""

import contextlib

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fleet.lines import (
    MAX_MESSAGE_BYTES,
    ProtocolViolation,
    UnsendableField,
    check_statement,
    format_answer,
    format_command,
    format_position,
    parse_position,
    parse_statement,
)
from godwitwheel.sessions.connections.connection import (
    Begin,
    Discard,
    PauseReceiving,
    Prepare,
    ResumeReceiving,
    Run,
    SetValue,
    StepDown,
)
from godwitwheel.sessions.statements import (
    Answer,
    ErrorCode,
    Position,
    Statement,
    StatementKind,
    TransactionState,
)
from godwitwheel.wire.service import Access
from tests.common.texts import field_texts

WORDS = ["READ", "WRITE", "SET", "PREPARE", "EXECUTE", "PREPARE a READ", "DEALLOCATE"]


@pytest.mark.parametrize(
    "text, kind",
    [
        ("BEGIN", StatementKind.begin),
        ("BEGIN READ", StatementKind.begin),
        ("COMMIT", StatementKind.commit),
        ("ROLLBACK", StatementKind.rollback),
        ("READ 1a4", StatementKind.read),
        ("WRITE 1a4 data with blanks", StatementKind.write),
        ("SET tz utc", StatementKind.set_value),
        ("PREPARE s1 WRITE q2c", StatementKind.prepare),
        ("EXECUTE s1 1a4 xkqpwnzd", StatementKind.execute),
        ("DEALLOCATE s1", StatementKind.deallocate),
    ],
)
def test_statements_keep_their_text(text, kind):
    statement = parse_statement("id", text)
    assert statement.kind is kind
    assert statement.text == text


@pytest.mark.parametrize(
    "text",
    [
        "BEGIN WRITE",
        "COMMIT now",
        "READ",
        "WRITE 1a4",
        "SET tz",
        "SET  utc",
        "PREPARE s1 q2c",
        "PREPARE s1 DELETE q2c",
        "EXECUTE s1",
        "DEALLOCATE",
        "AFTER 3.1 READ 1a4",
        "STATUS",
        "DISCARD",
        "STEPDOWN 9",
        "begin",
        "",
    ],
)
def test_statements_that_callers_may_not_send_are_refused(text):
    with pytest.raises(ProtocolViolation):
        parse_statement("id", text)


@given(field_texts(40))
def test_any_text_is_a_statement_or_a_violation(text):
    with contextlib.suppress(ProtocolViolation):
        assert parse_statement("id", text).text == text


MANY_DIGITS = "9" * 5000


@pytest.mark.parametrize(
    "text",
    [
        "3",
        "3.",
        ".4",
        "a.b",
        "3.4.5",
        "3.x",
        "²3.1",
        f"3.{MANY_DIGITS}",
        f"{MANY_DIGITS}.3",
    ],
)
def test_malformed_positions_are_refused(text):
    with pytest.raises(ProtocolViolation):
        parse_position(text)


def test_positions_are_parsed_and_formatted():
    assert parse_position("3.1207") == Position(3, 1207)
    assert parse_position("-") is None
    assert format_position(Position(3, 1207)) == "3.1207"


def test_commands_of_the_proxy_itself_carry_no_id():
    assert format_command(Begin()) == "QUERY - BEGIN\r\n"
    after = Begin(read_only=True, floor=Position(2, 5))
    assert format_command(after) == "QUERY - AFTER 2.5 BEGIN READ\r\n"
    assert format_command(SetValue("tz", "utc")) == "QUERY - SET tz utc\r\n"
    assert format_command(Discard()) == "QUERY - DISCARD\r\n"
    assert format_command(PauseReceiving(4)) == "QUERY - PAUSE 4\r\n"
    assert format_command(ResumeReceiving()) == "QUERY - RESUME\r\n"
    assert format_command(StepDown(4)) == "QUERY - STEPDOWN 4\r\n"
    prepare = Prepare("g0", Access.write, "q2c")
    assert format_command(prepare) == "QUERY - PREPARE g0 WRITE q2c\r\n"


def test_a_statement_runs_under_its_id_with_its_text():
    read = parse_statement("5c0e", "READ 1a4")
    line = format_command(Run(read, Position(3, 1207)))
    assert line == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"


def test_only_the_name_of_a_prepared_statement_changes():
    execute = parse_statement("5c0e", "EXECUTE s1 1a4 some data")
    line = format_command(Run(execute, prepared_name="g7"))
    assert line == "QUERY 5c0e EXECUTE g7 1a4 some data\r\n"


def test_answers_are_formatted_with_error_and_state():
    done = Answer([b"row"], "7.1f3", position=Position(3, 9))
    assert format_answer(done) == b"DATAROW row\r\nCOMPLETE 7.1f3\r\nREADY I 3.9\r\n"
    refused = Answer(
        error=ErrorCode.overloaded,
        detail="not run,\r\nretry",
        state=TransactionState.failed,
    )
    expected = b"ERROR BUSY not run,  retry\r\nREADY E -\r\n"
    assert format_answer(refused) == expected


@pytest.mark.parametrize(
    "command",
    [
        Prepare("g 0", Access.write, "q2c"),
        Prepare("g0", Access.write, "q2c\r\nQUERY x STEPDOWN 9"),
        SetValue("time zone", "utc"),
        SetValue("", "utc"),
        SetValue("tz", "utc\r\nQUERY x WRITE 1a4 y"),
        Run(Statement(StatementKind.read, "a b", "READ 1a4")),
        Run(Statement(StatementKind.read, "a\r\nQUERY", "READ 1a4")),
        Run(Statement(StatementKind.write, "a", "WRITE 1a4 x\r\nQUERY b STATUS")),
        Run(
            Statement(
                StatementKind.execute, "a", "", arguments="1a4\r\nQUERY b STATUS"
            ),
            prepared_name="g0",
        ),
    ],
)
def test_a_command_that_would_be_read_as_another_one_is_not_formatted(command):
    with pytest.raises(UnsendableField):
        format_command(command)


@pytest.mark.parametrize(
    "statement",
    [
        Statement(StatementKind.read, "a", "WRITE 1a4 x"),
        Statement(StatementKind.read, "a", "STEPDOWN 9"),
        Statement(StatementKind.write, "a", ""),
        Statement(StatementKind.write, "a", "AFTER 1.1 WRITE 1a4 x"),
        Statement(StatementKind.write, "a b", "WRITE 1a4 x"),
        Statement(StatementKind.commit, "a WRITE 1a4 x", "COMMIT"),
        Statement(StatementKind.execute, "a", "", arguments="x\r\nQUERY b STATUS"),
        Statement(StatementKind.set_value, "a", "", name="a b", value="c"),
        Statement(StatementKind.set_value, "a", "", name="", value="c"),
        Statement(StatementKind.prepare, "a", "", shape="q\r\nQUERY b STATUS"),
    ],
)
def test_a_statement_that_targets_would_read_as_another_one_is_refused(statement):
    with pytest.raises((ProtocolViolation, UnsendableField)):
        check_statement(statement)


@example("SET  utc")
@given(st.builds("{} {}".format, st.sampled_from(WORDS), field_texts(40)))
def test_every_statement_that_callers_may_send_can_be_sent_to_targets(text):
    with contextlib.suppress(ProtocolViolation):
        check_statement(parse_statement("id", text))


def test_a_commit_is_sent_as_one_whatever_its_text():
    # One that came over HTTP had an empty text, which targets can't read.
    commit = Run(Statement(StatementKind.commit, "id", ""))
    assert format_command(commit) == "QUERY id COMMIT\r\n"


def test_a_row_with_a_line_end_is_not_sent():
    with pytest.raises(UnsendableField):
        format_answer(Answer([b"a\r\nCOMPLETE sig"]))


@given(st.integers(MAX_MESSAGE_BYTES - 40, MAX_MESSAGE_BYTES))
def test_an_error_is_shortened_to_the_longest_message(characters):
    detail = "\u00e9" * (characters // 2)
    line = format_answer(Answer(error=ErrorCode.failed, detail=detail)).split(b"\r\n")[
        0
    ]
    assert len(line) <= MAX_MESSAGE_BYTES
    assert f"ERROR FAILED {detail}".startswith(line.decode())

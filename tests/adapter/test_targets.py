"""Connections to targets over loopback."""

import contextlib

import pytest

from fleet.lines import parse_statement
from fleet.targets import LineConnector
from godwitwheel.directory.records import NO_ACCOUNT, TargetEntry
from godwitwheel.internal.loop import sleep
from godwitwheel.sessions.connections.connection import Begin, Rollback, Run
from godwitwheel.sessions.errors import (
    ConnectFailed,
    ConnectionLost,
    SessionsError,
    TooManyConnections,
)
from godwitwheel.sessions.statements import (
    Answer,
    ErrorCode,
    Position,
    TransactionState,
)
from godwitwheel.wire.errors import WireError
from tests.common.framing import MessageReader
from tests.common.line_target import LineTarget

TIMEOUT_S = 5.0


def entry(target):
    return TargetEntry("i-1", "huvo11a", target.address, "dc-1", 2, 0)


def connect(target):
    return LineConnector().connect(entry(target), NO_ACCOUNT, TIMEOUT_S)


def test_a_connection_names_service_and_target():
    with LineTarget(lambda text: None).running() as target:
        connect(target).close()
        assert target.start_lines == ["START huvo11a godwitwheel i-1"]


def test_a_connection_is_started_in_the_name_of_its_account():
    with LineTarget(lambda text: None).running() as target:
        LineConnector().connect(entry(target), "bode960", TIMEOUT_S).close()
        assert target.start_lines == ["START huvo11a bode960 i-1"]


def test_pipelined_commands_are_answered_in_order():
    replies = {
        "BEGIN": b"COMPLETE -\r\nREADY T 3.4\r\n",
        "READ x": b"DATAROW a\r\nDATAROW b\r\nCOMPLETE sig\r\nREADY T 3.4\r\n",
        "ROLLBACK": b"COMPLETE -\r\nREADY I 3.4\r\n",
    }
    with LineTarget(replies.__getitem__).running() as target:
        connection = connect(target)
        run = Run(parse_statement("5c0e", "READ x"))
        begun, answer, ended = connection.exchange(
            [Begin(), run, Rollback()], TIMEOUT_S
        )
        assert begun.state is TransactionState.open
        assert answer.rows == [b"a", b"b"]
        assert answer.signature == "sig"
        assert ended.position == Position(3, 4)
        assert connection.is_usable()
        assert target.queries == [("-", "BEGIN"), ("5c0e", "READ x"), ("-", "ROLLBACK")]


def test_an_error_is_decoded():
    reply = b"ERROR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n"
    with LineTarget(lambda text: reply).running() as target:
        (answer,) = connect(target).exchange([Begin()], TIMEOUT_S)
        assert answer.error is ErrorCode.read_only
        assert answer.detail == "i-7f3a91c2"
        assert answer.state is TransactionState.failed


def test_an_unknown_error_does_not_count_as_not_run():
    reply = b"ERROR SOMETHING new\r\nREADY I -\r\n"
    with LineTarget(lambda text: reply).running() as target:
        (answer,) = connect(target).exchange([Begin()], TIMEOUT_S)
        assert answer.error is ErrorCode.failed
        assert not answer.was_not_run()


@pytest.mark.parametrize(
    "reply",
    [None, b"DATAROW cut", b"NONSENSE x\r\n", b"READY Q -\r\n", b"\xff\xfe\r\n"],
)
def test_an_incomplete_or_malformed_reply_closes_the_connection(reply):
    with LineTarget(lambda text: reply).running() as target:
        connection = connect(target)
        with pytest.raises(ConnectionLost) as lost:
            connection.exchange([Begin()], 0.3)
        assert lost.value.answers == []
        assert not connection.is_usable()


def test_a_missing_answer_counts_as_a_timeout():
    with LineTarget(lambda text: b"").running() as target:
        with pytest.raises(ConnectionLost) as lost:
            connect(target).exchange([Begin()], 0.1)
        assert lost.value.timed_out


def test_an_answer_that_comes_in_slow_lines_counts_as_a_timeout():
    """The limit holds for the whole answer, not for each of its lines."""

    class SlowTarget(LineTarget):
        def serve(self, stream):
            reader = MessageReader(stream)
            reader.read(TIMEOUT_S)
            stream.write(self.start_reply, TIMEOUT_S)
            reader.read(TIMEOUT_S)
            with contextlib.suppress(WireError):
                for _ in range(20):
                    stream.write(b"DATAROW x\r\n", TIMEOUT_S)
                    sleep(0.05)

    with SlowTarget(lambda text: None).running() as target:
        with pytest.raises(ConnectionLost) as lost:
            connect(target).exchange([Begin()], 0.2)
        assert lost.value.timed_out


def test_refusals_of_a_new_connection_are_distinguished():
    target = LineTarget(lambda text: None)
    with target.running():
        target.start_reply = b"ERROR TOOMANY 16\r\n"
        with pytest.raises(TooManyConnections):
            connect(target)
        target.start_reply = b"ERROR WRONGNODE i-2\r\n"
        with pytest.raises(ConnectFailed) as failed:
            connect(target)
        assert failed.value.refused


def test_an_address_without_a_listener_refuses():
    with LineTarget(lambda text: None).running() as target:
        stopped = entry(target)
    with pytest.raises(ConnectFailed):
        LineConnector().connect(stopped, NO_ACCOUNT, 1.0)


def test_an_unread_byte_makes_a_connection_unusable():
    extra = b"COMPLETE -\r\nREADY I -\r\nERROR BUSY late\r\n"
    with LineTarget(lambda text: extra).running() as target:
        connection = connect(target)
        connection.exchange([Begin()], TIMEOUT_S)
        assert not connection.is_usable()


def test_status_is_decoded():
    answer = Answer([b"replica 3 3.1209 0 12 2 17"])
    status = LineConnector().read_status(answer)
    assert not status.is_primary
    assert status.term == 3
    assert status.received == Position(3, 1209)


@pytest.mark.parametrize("rows", [[], [b"replica"], [b"replica x 3.1 0"], [b"\xff"]])
def test_a_malformed_status_is_an_error(rows):
    with pytest.raises(SessionsError):
        LineConnector().read_status(Answer(rows))

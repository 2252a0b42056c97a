"""Callers that disconnect while a statement of theirs is queued, over loopback."""

import contextlib

import msgspec
import pytest

from fleet.callers import LineCallerLink
from godwitwheel.directory.records import NO_ACCOUNT, OwnerEntry
from godwitwheel.internal.loop import running_task, sleep
from godwitwheel.sessions.queueing.turns import TurnRequest
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.serving import SessionServer
from godwitwheel.wire.streams import StreamServer, open_stream
from tests.common.fake_sessions import SERVICE, FakeGroup
from tests.common.framing import MessageReader

TIMEOUT_S = 5.0
WAIT_STEPS = 500
# Longer than any test, so that only the caller's departure ends a wait for a turn.
STATEMENT_TIMEOUT_MS = 60_000
QUERY = b"QUERY w1 WRITE 1a4 data\r\n"


@pytest.fixture
def busy():
    """A server whose target has no turn left; yields its address and limiter."""
    group = FakeGroup()
    board = group.board
    board.process_id = "owner-1"
    replace = msgspec.structs.replace
    route = replace(
        board.view.table.routes["primary"],
        statement_timeout_ms=STATEMENT_TIMEOUT_MS,
        latency_objective_ms=STATEMENT_TIMEOUT_MS,
    )
    table = replace(board.view.table, routes={"primary": route})
    owners = {SERVICE: OwnerEntry("owner-1", "10.0.0.9:7441")}
    board.apply_view(replace(board.view, version=9, table=table, owners=owners))
    limiter = board.limiter(board.view.targets["t1"])
    server = SessionServer(group.context, RunnerSelector(group.context))
    errors = []
    listener = StreamServer(lambda s: server.serve(LineCallerLink(s)), errors.append)
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(listener.listening("127.0.0.1:0"))
        stack.enter_context(running_task(server.watch_callers, errors.append))
        for _ in range(limiter.queue.limit):
            deadline = group.clock.now() + 1.0
            request = TurnRequest("other", NO_ACCOUNT, 0, deadline)
            stack.enter_context(limiter.turn(request))
        yield listening.address, limiter
    assert errors == []


def open_session(address):
    stream = open_stream(address, TIMEOUT_S)
    stream.write(b"START primary -\r\n", TIMEOUT_S)
    assert MessageReader(stream).read(TIMEOUT_S) == "READY I -"
    return stream


def wait_until(condition):
    for _ in range(WAIT_STEPS):
        if condition():
            return
        sleep(0.002)
    raise AssertionError("still not true")


def test_a_caller_that_disconnects_frees_its_place_in_the_queue(busy):
    address, limiter = busy
    caller = open_session(address)
    caller.write(QUERY, TIMEOUT_S)
    wait_until(lambda: limiter.queue.waiting_count == 1)
    caller.close()
    wait_until(lambda: limiter.queue.waiting_count == 0)
    assert len(limiter.queue.running) == limiter.queue.limit


def test_a_caller_that_resets_its_connection_frees_its_place(busy):
    address, limiter = busy
    caller = open_session(address)
    caller.write(QUERY, TIMEOUT_S)
    wait_until(lambda: limiter.queue.waiting_count == 1)
    caller.reset_on_close()
    caller.close()
    wait_until(lambda: limiter.queue.waiting_count == 0)


def test_a_caller_that_stays_keeps_its_place(busy):
    """Guards callers that wait, also one that has sent its next statement already."""
    address, limiter = busy
    quiet, eager = open_session(address), open_session(address)
    quiet.write(QUERY, TIMEOUT_S)
    eager.write(QUERY, TIMEOUT_S)
    wait_until(lambda: limiter.queue.waiting_count == 2)
    eager.write(b"QUERY w2 WRITE 1a4 data\r\n", TIMEOUT_S)
    sleep(0.06)
    assert limiter.queue.waiting_count == 2
    quiet.close()
    eager.close()

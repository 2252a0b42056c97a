"""Probes of owners by a proxy that may be isolated."""

import msgspec
import pytest

from godwitwheel.directory.records import OwnerEntry
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.owning.owner_calls import OwnerCalls, OwnerLost
from godwitwheel.sessions.owning.owner_messages import Ended, RunRequest
from godwitwheel.sessions.owning.owner_silence import (
    ISOLATION_REPORT_S,
    UNRESPONSIVE_AFTER_S,
)
from godwitwheel.sessions.owning.owner_watch import (
    PROBE_INTERVAL_S,
    SUSPECT_AFTER_S,
    OwnerWatch,
)
from godwitwheel.sessions.statements import StatementKind
from godwitwheel.wire.codec import encode
from godwitwheel.wire.errors import NoReply
from tests.common.fake_sessions import SERVICE, FakeGroup

OWNER = OwnerEntry("owner-1", "10.0.0.9:7441")


class Link:
    """A client that answers for the owner, or fails while partitioned from it.

    :ivar reply: what the owner answers.
    :ivar asked: number of requests sent.
    """

    def __init__(self, clock):
        self.clock = clock
        self.is_partitioned = False
        self.reply = b"{}"
        self.asked = 0

    def exchange(self, address, method, path, body, timeout_s):
        self.asked += 1
        if self.is_partitioned:
            raise NoReply("partitioned")
        return 200, self.reply


class FakeReporter:
    is_control_unreachable = False


class Proxy:
    def __init__(self):
        group = FakeGroup()
        self.clock = group.clock
        self.board = group.board
        view = msgspec.structs.replace(
            self.board.view, version=9, owners={SERVICE: OWNER}
        )
        self.board.apply_view(view)
        self.link = Link(self.clock)
        self.calls = OwnerCalls(group.context, self.link, "front-1")
        self.watch = OwnerWatch(self.calls)
        self.reporter = FakeReporter()

    def check(self, after_s=0.0):
        self.clock.advance(after_s)
        self.watch.check(self.reporter, self.clock.now())
        sleep()
        return self.watch.is_reachable(SERVICE, self.clock.now())


@pytest.fixture
def proxy():
    return Proxy()


def test_an_owner_that_is_not_suspected_is_not_probed(proxy):
    assert proxy.check(5.0)
    assert proxy.link.asked == 0


def test_an_owner_that_answers_probes_is_reachable_despite_a_slow_statement(proxy):
    proxy.calls.breakers.record_call(OWNER, proxy.clock.now())
    assert proxy.check(SUSPECT_AFTER_S)
    assert proxy.link.asked == 1
    assert proxy.check(UNRESPONSIVE_AFTER_S)


def test_an_owner_that_answers_nothing_is_unreachable(proxy):
    proxy.link.is_partitioned = True
    proxy.calls.breakers.record_call(OWNER, proxy.clock.now())
    assert proxy.check(SUSPECT_AFTER_S)
    assert not proxy.check(UNRESPONSIVE_AFTER_S)
    proxy.link.is_partitioned = False
    proxy.check(PROBE_INTERVAL_S)
    assert proxy.check()


def test_an_owner_that_is_isolated_itself_is_unreachable_until_it_is_not(proxy):
    # Both are cut off from control: the owner answers, but without a lease it can run
    # nothing at a primary, and callers should go to another data centre.
    proxy.reporter.is_control_unreachable = True
    proxy.link.reply = encode(Ended(is_isolated=True))
    proxy.check()
    assert not proxy.check(PROBE_INTERVAL_S)
    proxy.link.reply = encode(Ended())
    proxy.check(PROBE_INTERVAL_S)
    assert proxy.check()


def test_an_owner_counts_as_isolated_only_for_a_while(proxy):
    # Once control answers this proxy again, the owner is not probed any more.
    proxy.calls.breakers.record_isolation(OWNER, True, proxy.clock.now())
    assert not proxy.check()
    assert proxy.check(2 * ISOLATION_REPORT_S)


class SilentLink(Link):
    """An owner that reads statements and probes, and answers none."""

    def exchange(self, address, method, path, body, timeout_s):
        self.asked += 1
        sleep(timeout_s)
        raise NoReply("no answer in time")


def request_of(kind):
    return RunRequest("front-1/s1", None, kind, "q1", "text", "")


@pytest.mark.parametrize("may_abort", [True, False])
def test_only_calls_that_keep_nothing_end_with_an_unresponsive_owner(proxy, may_abort):
    """They waited for their statement's timeout, long after the owner was given up."""
    proxy.calls.client = SilentLink(proxy.clock)
    errors = []

    def call():
        try:
            proxy.calls.run(OWNER, request_of(StatementKind.read), 0.5, may_abort)
        except OwnerLost as error:
            errors.append(error)

    task = spawn(call)
    sleep()
    proxy.check(SUSPECT_AFTER_S)
    proxy.check(UNRESPONSIVE_AFTER_S)
    sleep()
    assert bool(errors) is may_abort
    task.wait()
    assert [error.was_sent for error in errors] == [True]


def test_owners_are_probed_without_calls_when_control_is_unreachable(proxy):
    proxy.link.is_partitioned = True
    proxy.reporter.is_control_unreachable = True
    assert proxy.check()
    assert proxy.link.asked == 1
    assert not proxy.check(UNRESPONSIVE_AFTER_S)


def test_a_report_is_sent_at_once_when_an_owner_is_suspected(proxy):
    proxy.link.is_partitioned = True
    before = proxy.board.changed.event
    proxy.calls.breakers.record_call(OWNER, proxy.clock.now())
    proxy.check(SUSPECT_AFTER_S)
    assert before.ready()
    again = proxy.board.changed.event
    proxy.check(SUSPECT_AFTER_S)
    assert not again.ready()

"""How long a primary that has announced that it leaves gets new work.

The time counts from the announcement, whichever process starts, restarts or leads in
the meantime.
"""

import random

import pytest

from godwitwheel.directory.commands import SetPrimary
from godwitwheel.directory.records import TargetEntry
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.sentinel import Refusal
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.queueing.choosing import choose_primary
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import Reporter
from tests.common.fake_members import FakeClient, FakeMember, large_table

ADDRESS = "10.0.0.1:7440"
SERVICE = "service-0"
GRACE_S = 5.5


class Proxy:
    """A proxy that reports to the only member."""

    def __init__(self, fleet, name):
        self.board = SessionBoard(fleet.clock, None, "dc-1", name)
        self.board.leaving_grace_s = GRACE_S
        members = ControlMembers([ADDRESS], random.Random(1))
        client = FakeClient({ADDRESS: fleet.member})
        self.reporter = Reporter(self.board, members, client, name)
        self.clock = fleet.clock

    def report(self):
        for _ in range(3):
            assert self.reporter.report()
            while not self.reporter.tables.is_current():
                self.reporter.tables.step()

    def uses(self, target_id):
        """Whether new work goes to a target, as the primary."""
        chosen = choose_primary(self.board, SERVICE, self.clock.now())
        return not isinstance(chosen, Refusal) and chosen.target_id == target_id


class Fleet:
    """Control with one member, and its proxies."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.member = FakeMember(self.clock)
        self.member.publish(large_table(1, routes=4, services=1))
        self.sequence = 0
        self.announce("t1")
        self.announce("t2")
        self.member.member.commit_entry(SetPrimary(SERVICE, "t1"))

    def announce(self, target_id, leaving=False, started_at_ms=10, sequence=None):
        self.sequence += 1
        entry = TargetEntry(
            target_id,
            SERVICE,
            f"10.0.0.2:{target_id[1:]}",
            "dc-1",
            2,
            started_at_ms,
            leaving,
        )
        self.member.member.announce(entry, sequence or self.sequence)

    def restart_control(self):
        self.member.restart(self.clock)

    def elect(self):
        """Lets the member have become leader just now."""
        since = self.clock.now()
        self.member.log.leader_since = lambda: since

    def start_proxy(self, name):
        proxy = Proxy(self, name)
        proxy.report()
        return proxy


@pytest.fixture
def fleet():
    return Fleet()


def test_a_restarted_proxy_begins_no_grace_period_of_its_own(fleet):
    """It gave a leaving primary work for longer than the target serves."""
    staying = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    staying.report()
    fleet.clock.advance(2.0)
    restarted = fleet.start_proxy("p2")
    assert staying.uses("t1") and restarted.uses("t1")
    fleet.clock.advance(GRACE_S - 2.0)
    restarted.report()
    assert not staying.uses("t1")
    assert not restarted.uses("t1")


def test_a_proxy_that_starts_after_the_grace_period_gives_no_work(fleet):
    fleet.announce("t1", leaving=True)
    fleet.clock.advance(GRACE_S)
    assert not fleet.start_proxy("p1").uses("t1")


def test_a_proxy_that_was_cut_off_counts_from_the_announcement(fleet):
    """It would otherwise count from when it hears of the announcement."""
    proxy = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    fleet.clock.advance(4.0)
    proxy.report()
    assert proxy.uses("t1")
    fleet.clock.advance(GRACE_S - 4.0)
    assert not proxy.uses("t1")


def test_control_that_restarts_learns_the_age_from_a_proxy(fleet):
    """A new leader has not received the announcement itself."""
    staying = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    staying.report()
    fleet.clock.advance(2.0)
    fleet.restart_control()
    restarted = fleet.start_proxy("p2")
    # Nobody has told it yet when the target began to leave.
    assert not restarted.uses("t1")
    # The leader asks the first one, whose next report tells it.
    staying.report()
    restarted.report()
    assert staying.uses("t1") and restarted.uses("t1")
    fleet.clock.advance(GRACE_S - 2.0)
    staying.report()
    restarted.report()
    assert not staying.uses("t1")
    assert not restarted.uses("t1")


def test_a_new_leader_asks_again_as_its_first_report_may_have_been_delayed(fleet):
    """It would otherwise count less than the proxy that has told it."""
    staying = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    staying.report()
    fleet.restart_control()
    fleet.elect()
    staying.report()
    delayed = staying.reporter.build()
    assert delayed.leaving_ages
    fleet.clock.advance(0.6)
    fleet.restart_control()
    fleet.elect()
    # It was read 0.6 s after it had been sent.
    fleet.member.member.report(delayed)
    staying.report()
    restarted = fleet.start_proxy("p2")
    fleet.clock.advance(GRACE_S - 0.6)
    assert not staying.uses("t1")
    assert not restarted.uses("t1")


def test_an_announcement_that_a_new_leader_receives_again_is_not_new(fleet):
    fleet.announce("t1", leaving=True)
    fleet.clock.advance(3.0)
    fleet.restart_control()
    fleet.announce("t1", leaving=True)
    assert not fleet.start_proxy("p1").uses("t1")


def test_a_target_that_starts_again_begins_a_grace_period_of_its_own(fleet):
    proxy = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    proxy.report()
    fleet.clock.advance(GRACE_S)
    assert not proxy.uses("t1")
    fleet.announce("t1", started_at_ms=20)
    proxy.report()
    assert proxy.uses("t1")
    fleet.announce("t1", leaving=True, started_at_ms=20)
    proxy.report()
    fleet.clock.advance(GRACE_S - 1.0)
    assert proxy.uses("t1")
    fleet.clock.advance(1.0)
    assert not proxy.uses("t1")


def test_a_late_announcement_does_not_take_back_that_a_target_leaves(fleet):
    """A new leader took it for the newest one, and the next began another period."""
    proxy = fleet.start_proxy("p1")
    late = fleet.sequence
    fleet.announce("t1", leaving=True)
    proxy.report()
    fleet.clock.advance(4.0)
    fleet.restart_control()
    fleet.announce("t1", sequence=late)
    assert fleet.member.state.directory.view.targets["t1"].leaving
    fleet.announce("t1", leaving=True)
    proxy.report()
    fleet.clock.advance(GRACE_S - 4.0)
    proxy.report()
    assert not proxy.uses("t1")


def test_a_leaving_primary_is_used_until_its_replacement_leads(fleet):
    """A proxy that hears of both at once goes on with the target that still leads."""
    proxy = fleet.start_proxy("p1")
    fleet.announce("t1", leaving=True)
    fleet.member.member.commit_entry(SetPrimary(SERVICE, "t2", 1))
    proxy.report()
    proxy.board.known_primary(SERVICE).target_id = "t1"
    assert proxy.uses("t1")
    fleet.clock.advance(GRACE_S)
    assert not proxy.uses("t1")


def test_an_announcement_whose_number_a_new_leader_does_not_know_counts(fleet):
    fleet.announce("t1", leaving=True)
    fleet.restart_control()
    fleet.announce("t2", leaving=True)
    assert fleet.member.state.directory.view.targets["t2"].leaving

"""Reports arrive in time for what control decides by them, in fleets of any size."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.directory.report_timing import (
    DEMAND_MAX_AGE_S,
    MAX_REPORT_AGE_S,
    MAX_RETRY_PAUSE_S,
    NEW_LEADER_GRACE_S,
    OWNER_TIMEOUT_S,
    PRIMARY_LEASE_S,
    PROXY_EXPIRY_S,
    REPORT_INTERVAL_S,
    REPORT_SPACING_S,
    REPORT_TIMEOUT_S,
    idle_interval_s,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import Reporter
from tests.common.fake_members import FakeClient, FakeMember
from tests.common.fleet import ADDRESSES, Fleet

SIZES = [7, 80, 160, 200, 300, 660]
STEADY_S = 10.0


def longest_gap_s(interval_s):
    """Returns the longest time between two reports of which one between them failed."""
    return interval_s + REPORT_SPACING_S + REPORT_TIMEOUT_S + MAX_RETRY_PAUSE_S


def ids(processes):
    return {process.board.process_id for process in processes}


@pytest.mark.parametrize("proxies", SIZES)
def test_no_owner_that_runs_loses_the_services_that_it_is_given(proxies):
    fleet = Fleet(proxies)
    fleet.run(NEW_LEADER_GRACE_S)
    fleet.run_with_decisions(STEADY_S)
    assert fleet.replaced == []


@pytest.mark.parametrize("proxies", SIZES)
def test_owners_without_services_are_known_as_long_as_they_run(proxies):
    fleet = Fleet(proxies)
    fleet.run(STEADY_S / 2)
    leadership = fleet.leader.member.current_leadership()
    for _ in range(40):
        fleet.run(STEADY_S / 40)
        assert leadership.live_owners(fleet.clock.now()).keys() == ids(fleet.owners)


@pytest.mark.parametrize("proxies", SIZES)
def test_a_new_leader_knows_every_owner_before_it_replaces_any(proxies):
    fleet = Fleet(proxies)
    fleet.run_with_decisions(STEADY_S)
    elected_at = fleet.clock.now()
    fleet.leader.log.leader_since = lambda: elected_at
    fleet.run(NEW_LEADER_GRACE_S)
    leadership = fleet.leader.member.current_leadership()
    assert leadership.leader_since == elected_at
    assert leadership.live_owners(fleet.clock.now()).keys() == ids(fleet.owners)


@pytest.mark.parametrize(
    "limit_s", [OWNER_TIMEOUT_S, NEW_LEADER_GRACE_S, DEMAND_MAX_AGE_S, PRIMARY_LEASE_S]
)
def test_one_failed_report_of_a_process_that_wants_targets_has_no_effect(limit_s):
    assert longest_gap_s(REPORT_INTERVAL_S) < limit_s


def test_a_primary_is_assessed_by_two_reports_of_a_process_or_more():
    assert 2 * REPORT_INTERVAL_S < MAX_REPORT_AGE_S


@given(st.integers(1, 100_000))
def test_one_failed_report_of_any_process_does_not_make_it_count_as_lost(proxies):
    assert longest_gap_s(idle_interval_s(proxies, math.inf)) < PROXY_EXPIRY_S


@given(st.integers(1, 100_000), st.floats(0.9, 60.0))
def test_one_failed_report_does_not_end_a_lease_on_keys(proxies, lease_s):
    assert longest_gap_s(idle_interval_s(proxies, lease_s)) < lease_s


class SlowFailures(FakeClient):
    """Takes the whole timeout to notice that a member is silent."""

    def __init__(self, members, clock):
        super().__init__(members)
        self.clock = clock

    def exchange(self, address, method, path, body, timeout_s, headers=None):
        if self.members[address].is_silent:
            self.clock.advance(timeout_s)
        return super().exchange(address, method, path, body, timeout_s, headers)


class Owner:
    """An owner that reports to one of three members.

    :ivar silence_s: longest time between two reports that were answered, in seconds.
    """

    def __init__(self, seed):
        self.clock = ManualClock(100.0)
        self.members = {address: FakeMember(self.clock) for address in ADDRESSES}
        for address, member in self.members.items():
            member.log.leader = ADDRESSES[0]
            member.log.is_leader = address == ADDRESSES[0]
        board = SessionBoard(self.clock, None, "dc-1", "owner", serves_callers=False)
        rng = random.Random(seed)
        client = SlowFailures(self.members, self.clock)
        known = ControlMembers(ADDRESSES, rng)
        self.reporter = Reporter(board, known, client, "owner", "10.0.1.1:1")
        self.reporter.rng = rng
        self.silence_s = 0.0
        self.answered_at = self.clock.now()

    def run(self, duration_s):
        until = self.clock.now() + duration_s
        while self.clock.now() < until:
            sent_at = self.clock.now()
            if self.reporter.report():
                self.silence_s = max(self.silence_s, sent_at - self.answered_at)
                self.answered_at = sent_at
                self.clock.advance(self.reporter.interval_s() + REPORT_SPACING_S)
            else:
                self.clock.advance(self.reporter.retry_pause_s())


@pytest.mark.parametrize("seed", range(10))
def test_an_owner_that_one_report_of_failed_reports_again_in_time(seed):
    """The leader goes on; only the answer to one report did not arrive in time."""
    owner = Owner(seed)
    owner.run(1.0)
    owner.silence_s = 0.0
    leader = owner.members[ADDRESSES[0]]
    leader.is_silent = True
    while not owner.reporter.failures:
        owner.run(0.01)
    leader.is_silent = False
    owner.run(3.0)
    assert 0.0 < owner.silence_s <= OWNER_TIMEOUT_S

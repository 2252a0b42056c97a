"""When a proxy counts as isolated and ends its idle sessions."""

import math
import random

import msgspec

from godwitwheel.sessions.reporting.authority import LeasedAuthority
from godwitwheel.sessions.reporting.isolation import (
    BALANCER_DELAY_S,
    SESSION_END_INTERVAL_S,
    UNREACHABLE_AFTER_S,
    Isolation,
    primary_usable_at,
)
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import INITIAL_SEARCH_S, Reporter
from godwitwheel.sessions.reporting.sampler import Sampler
from tests.common.fake_sessions import SERVICE, FakeGroup

NOW = 100.0
LATE = NOW - UNREACHABLE_AFTER_S - 0.1


def isolated(answered_at, confirmations):
    isolation = Isolation()
    isolation.update(answered_at, True, confirmations, NOW)
    return isolation.is_isolated


def test_a_proxy_that_reaches_control_is_not_isolated():
    assert not isolated(NOW, [LATE, LATE, LATE])


def test_a_proxy_that_reaches_most_primaries_is_not_isolated():
    assert not isolated(LATE, [NOW, NOW, LATE])


def test_a_proxy_that_reaches_neither_is_isolated():
    assert isolated(LATE, [LATE, LATE, NOW])


def test_idle_sessions_are_ended_repeatedly_after_the_balancer_delay():
    isolation = Isolation()
    isolation.update(LATE, True, [LATE], NOW)
    assert not isolation.should_end_sessions(NOW + BALANCER_DELAY_S / 2)
    assert isolation.should_end_sessions(NOW + BALANCER_DELAY_S + 0.1)
    assert not isolation.should_end_sessions(NOW + BALANCER_DELAY_S + 0.2)
    again_at = NOW + BALANCER_DELAY_S + 0.1 + SESSION_END_INTERVAL_S
    assert isolation.should_end_sessions(again_at)
    isolation.update(again_at, False, [again_at], again_at)
    assert not isolation.should_end_sessions(again_at + SESSION_END_INTERVAL_S)


def test_a_proxy_that_reaches_control_again_is_ready_at_once():
    isolation = Isolation()
    isolation.update(LATE, True, [LATE], NOW)
    assert isolation.update(NOW + 1.0, False, [LATE], NOW + 1.0)
    assert not isolation.is_isolated


def test_a_primary_without_a_lease_is_of_no_use_once_control_is_silent():
    # An owner that is cut off from control together with a primary confirms it for as
    # long as they are, but may run nothing there.
    board = FakeGroup().board
    board.known_primary(SERVICE).confirm(NOW)
    assert primary_usable_at(board, SERVICE, NOW - 5.0) == NOW
    board.authority = LeasedAuthority()
    assert primary_usable_at(board, SERVICE, NOW - 5.0) == NOW - 5.0
    assert primary_usable_at(board, SERVICE, None) == -math.inf


def reported_age_ms(reporter):
    (report,) = reporter.build().primaries
    assert not report.is_proven
    return report.proof_age_ms


def test_a_primary_is_not_older_unconfirmed_than_it_is_known():
    # A proxy that came back from a cut had not tried the new primary, but told control
    # that it had been without a confirmation for as long as the cut had lasted.
    group = FakeGroup()
    members = ControlMembers(["10.0.0.9:1"], random.Random(1))
    reporter = Reporter(group.board, members, None, "p1")
    known_primary = group.board.known_primary(SERVICE)
    known_primary.search_started_at = group.clock.now()
    known_primary.confirm(group.clock.now())
    known_primary.confirmed_at = None
    group.clock.advance(4.0)
    assert reported_age_ms(reporter) == 4000
    group.promote("t2")
    group.board.apply_view(group.view(2))
    assert reported_age_ms(reporter) == 0
    group.clock.advance(INITIAL_SEARCH_S)
    assert reported_age_ms(reporter) == round(1000 * INITIAL_SEARCH_S)


def test_a_primary_is_not_searched_before_there_is_a_target():
    # When a fleet started, the proxies had the table for half a second before the first
    # target announced itself. Control took their reports for those of proxies that had
    # tried its primary, and replaced that 34 ms after it had announced itself.
    group = FakeGroup()
    board = group.board
    without_targets = msgspec.structs.replace(group.view(2), targets={}, primaries={})
    board.apply_view(without_targets)
    board.known_primaries.clear()
    sampler = Sampler(group.context)
    members = ControlMembers(["10.0.0.9:1"], random.Random(1))
    reporter = Reporter(board, members, None, "p1")
    group.primary.is_unresponsive = True
    for _ in range(20):
        group.clock.advance(sampler.sample(SERVICE))
        assert reporter.build().primaries == []
    board.apply_view(group.view(3))
    sampler.sample(SERVICE)
    assert reporter.build().primaries == []
    group.clock.advance(INITIAL_SEARCH_S)
    assert reported_age_ms(reporter) == round(1000 * INITIAL_SEARCH_S)

"""Until when a process relies on a primary that a promotion doesn't stop."""

import math

import pytest

from godwitwheel.directory.records import DirectoryView
from godwitwheel.directory.report_timing import PRIMARY_LEASE_S
from godwitwheel.sessions.reporting.authority import (
    DRAIN_TIMEOUT_S,
    LeasedAuthority,
    PlatformFencing,
)

SERVICE = "bookings"


def view(version, primary="t1", fenced=False):
    fences = {SERVICE: ""} if fenced else {}
    return DirectoryView(version, primaries={SERVICE: primary}, fences=fences)


@pytest.fixture
def authority():
    """A process that relies on ``t1`` under a lease from time 10 on."""
    leased = LeasedAuthority()
    leased.apply_view(view(1), 9.0)
    leased.renew(1, 10.0, 10.0)
    return leased


def test_the_primary_of_the_view_is_used_until_the_lease_ends(authority):
    assert authority.may_use(SERVICE, "t1", 10.0)
    assert authority.may_use(SERVICE, "t1", 10.0 + PRIMARY_LEASE_S - 0.01)
    assert not authority.may_use(SERVICE, "t1", 10.0 + PRIMARY_LEASE_S)


def test_no_other_target_is_used(authority):
    assert not authority.may_use(SERVICE, "t2", 10.0)
    assert not authority.accepts(SERVICE, "t2")


def test_a_lease_counts_from_when_the_report_was_sent(authority):
    authority.renew(1, 10.5, 11.0)
    assert authority.expires_at == 10.5 + PRIMARY_LEASE_S


def test_a_lease_for_a_view_that_was_not_applied_is_ignored(authority):
    authority.renew(2, 11.0, 11.0)
    assert authority.expires_at == 10.0 + PRIMARY_LEASE_S


def test_an_answer_after_the_end_of_the_lease_is_not_covered(authority):
    assert authority.covers(SERVICE, "t1", 10.1, 10.2)
    assert not authority.covers(SERVICE, "t1", 10.1, 10.0 + PRIMARY_LEASE_S)


def test_a_statement_sent_before_a_gap_between_leases_is_not_covered(authority):
    late = 10.0 + PRIMARY_LEASE_S + 1.0
    authority.renew(1, late, late)
    assert authority.covers(SERVICE, "t1", late, late + 0.1)
    assert not authority.covers(SERVICE, "t1", 10.1, late + 0.1)


def test_a_fenced_primary_gets_no_statement(authority):
    authority.apply_view(view(2, fenced=True), 10.2)
    assert not authority.may_use(SERVICE, "t1", 10.2)
    assert not authority.accepts(SERVICE, "t1")


def test_an_answer_in_flight_when_the_primary_is_fenced_is_covered(authority):
    with authority.in_flight(SERVICE):
        authority.apply_view(view(2, fenced=True), 10.2)
        assert authority.drained_version(10.2) == 1
        assert authority.covers(SERVICE, "t1", 10.1, 10.21)
    assert authority.drained_version(10.22) == 2


def test_no_answer_is_covered_once_control_may_have_been_told_of_the_drain(authority):
    with authority.in_flight(SERVICE):
        authority.apply_view(view(2, fenced=True), 10.2)
        waited = 10.2 + DRAIN_TIMEOUT_S
        assert authority.drained_version(waited) == 2
        assert not authority.covers(SERVICE, "t1", 10.1, waited)


def test_a_lease_granted_after_the_fence_does_not_cover_the_fenced_primary(authority):
    with authority.in_flight(SERVICE):
        authority.apply_view(view(2, fenced=True), 10.2)
        authority.renew(2, 11.0, 11.0)
        assert not authority.covers(SERVICE, "t1", 10.1, 10.0 + PRIMARY_LEASE_S)


def test_the_end_of_the_last_statement_in_flight_is_reported_at_once():
    calls = []
    authority = LeasedAuthority(lambda: calls.append(None))
    authority.apply_view(view(1), 9.0)
    authority.renew(1, 10.0, 10.0)
    with authority.in_flight(SERVICE):
        authority.apply_view(view(2, fenced=True), 10.2)
        assert calls == []
    assert len(calls) == 1


def test_a_primary_that_is_named_again_covers_only_later_statements(authority):
    authority.apply_view(view(2, fenced=True), 10.2)
    authority.apply_view(view(3, "t2"), 10.3)
    authority.apply_view(view(4, "t1"), 10.4)
    authority.renew(4, 10.4, 10.4)
    assert not authority.covers(SERVICE, "t1", 10.1, 10.5)
    assert authority.covers(SERVICE, "t1", 10.4, 10.5)


def test_a_new_process_relies_on_nothing():
    authority = LeasedAuthority()
    assert not authority.may_use(SERVICE, "t1", 0.0)
    authority.apply_view(view(1), 0.0)
    assert not authority.may_use(SERVICE, "t1", 0.0)
    assert not authority.covers(SERVICE, "t1", 0.0, 0.0)


def test_on_a_platform_that_stops_former_primaries_no_lease_is_needed():
    fencing = PlatformFencing()
    assert not fencing.needs_lease
    assert fencing.may_use(SERVICE, "t1", math.inf)
    assert fencing.covers(SERVICE, "t1", 0.0, math.inf)

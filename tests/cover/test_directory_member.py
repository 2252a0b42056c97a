"""Leases that a directory member grants, and the claims of former primaries."""

import pytest

from godwitwheel.consensus.errors import NotLeader
from godwitwheel.control.errors import NotLeading
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import FencePrimary, SetPrimary
from godwitwheel.directory.member import DirectoryMember
from godwitwheel.directory.records import ProxyReport, TargetEntry
from godwitwheel.internal.clock import ManualClock
from tests.common.control import OneMemberLog

SERVICE = "bookings"


class Member:
    """A member that leads, on a log that commits at once."""

    def __init__(self, grants_leases=True):
        log = OneMemberLog()
        state = ControlState()
        log.state_machine = state
        self.clock = ManualClock(100.0)
        self.directory = state.directory
        self.member = DirectoryMember(log, state, self.clock, grants_leases)

    def report(self, **fields):
        return self.member.report(ProxyReport("p1", "dc-1", 0, **fields))

    def announce(self, target_id, sequence, claims_lead):
        entry = TargetEntry(
            target_id,
            SERVICE,
            f"10.0.0.1:{target_id[1:]}",
            "dc-1",
            2,
            10,
            claims_lead=claims_lead,
        )
        self.member.announce(entry, sequence)

    def may_be_used(self, version):
        """Whether a proxy may still rely on a view before ``version``."""
        leases = self.member.current_leadership().leases
        return not leases.all_proxies_use(version, self.clock.now())


@pytest.fixture
def member():
    running = Member()
    running.report()
    running.clock.advance(10.0)
    return running


def test_a_proxy_that_needs_a_lease_gets_one(member):
    assert member.report(wants_lease=True).grants_lease
    assert not member.report().grants_lease


def test_no_lease_is_granted_where_the_platform_fences():
    assert not Member(grants_leases=False).report(wants_lease=True).grants_lease


def test_a_lease_counts_until_the_proxy_has_drained_or_it_ends(member):
    member.report(wants_lease=True)
    member.member.commit_entry(FencePrimary(SERVICE))
    version = member.directory.view.version
    assert member.may_be_used(version)
    member.report(wants_lease=True, drained_version=version)
    assert not member.may_be_used(version)


def test_a_lease_granted_after_the_fence_is_for_the_view_with_the_fence(member):
    member.member.commit_entry(FencePrimary(SERVICE))
    member.report(wants_lease=True)
    assert not member.may_be_used(member.directory.view.version)


def test_a_member_that_no_quorum_confirms_grants_nothing(member, monkeypatch):
    def refuse(timeout_s):
        raise NotLeader("")

    monkeypatch.setattr(member.member.log, "confirm_leadership", refuse)
    with pytest.raises(NotLeading):
        member.report(wants_lease=True)
    assert not member.may_be_used(member.directory.view.version + 1)


def test_a_former_primary_that_still_claims_the_lead_is_not_believed(member):
    member.announce("t1", 1, claims_lead=True)
    assert member.directory.view.primaries == {SERVICE: "t1"}
    member.member.commit_entry(SetPrimary(SERVICE, "t2", 1))
    member.announce("t1", 2, claims_lead=False)
    member.announce("t1", 3, claims_lead=True)
    assert member.directory.view.primaries == {SERVICE: "t2"}


def test_where_the_platform_fences_a_target_that_claims_the_lead_has_it():
    member = Member(grants_leases=False)
    member.announce("t1", 1, claims_lead=True)
    member.member.commit_entry(SetPrimary(SERVICE, "t2", 1))
    member.announce("t1", 2, claims_lead=False)
    member.announce("t1", 3, claims_lead=True)
    assert member.directory.view.primaries == {SERVICE: "t1"}


def test_replies_tell_how_many_processes_may_own_connections(member):
    assert member.report().owners == 0
    owner = ProxyReport("o1", "dc-1", 0, owner_address="10.0.0.9:1")
    member.member.report(owner)
    assert member.report().owners == 1

"""Processes receive differences of views, and only what they need of a view."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitwheel.directory.assembly import MAX_ASSEMBLIES_PER_S, AssemblyBudget
from godwitwheel.directory.commands import (
    DropEntry,
    FencePrimary,
    PutEntry,
    SetOwners,
    SetPrimary,
)
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.ownership import OWNER_MIN_PROXIES
from godwitwheel.directory.records import (
    DirectoryView,
    OwnerEntry,
    ProxyReply,
    ProxyReport,
    TargetEntry,
    ViewChange,
)
from godwitwheel.directory.view_changes import (
    MAX_PROXY_VIEW_BYTES,
    MAX_RECENT_VIEWS,
    RecentViews,
    ViewChanges,
    apply_view_change,
    view_change,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.reporting.authority import LeasedAuthority
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import Reporter
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.errors import NoReply
from tests.common.fake_members import FakeClient, FakeMember, large_table
from tests.common.fake_sessions import SERVICE, FakeGroup

ADDRESS = "10.0.0.1:7440"
OWNER = OwnerEntry("owner-1", "10.0.0.9:1")
services = st.sampled_from(["s1", "s2", "s3"])
target_ids = st.sampled_from(["t1", "t2", "t3", "t4"])


def target(target_id, service="s1", started_at_ms=0, port=1):
    address = f"10.0.{port}.{target_id[1:]}:1"
    return TargetEntry(target_id, service, address, "dc-1", 2, started_at_ms)


views = st.builds(
    DirectoryView,
    version=st.integers(1, 100),
    targets=st.dictionaries(
        target_ids, st.builds(target, target_ids, started_at_ms=st.integers(0, 2))
    ),
    primaries=st.dictionaries(services, target_ids),
    owners=st.dictionaries(
        services, st.builds(OwnerEntry, st.sampled_from(["o1", "o2"]), st.just("a"))
    ),
    fences=st.dictionaries(services, target_ids),
)


def without_targets(view):
    return DirectoryView(view.version, view.table, owners=view.owners)


@given(views, views)
def test_a_change_leads_from_one_view_to_the_other(base, view):
    change = decode(encode(view_change(base, view, True)), ViewChange)
    assert apply_view_change(base, True, change) == view
    change = view_change(base, view, False)
    held = without_targets(base)
    assert apply_view_change(held, False, change) == without_targets(view)


@given(views, views)
def test_a_change_for_another_view_is_not_applied(base, view):
    change = view_change(base, view, True)
    other = DirectoryView(base.version + 1)
    assert apply_view_change(other, True, change) is None
    assert apply_view_change(base, False, change) is None


@given(views, views)
def test_a_complete_change_replaces_all_that_is_held(held, view):
    change = view_change(None, view, True)
    assert apply_view_change(held, False, change) == view


class Process:
    """A reporting process, and the member that it reports to.

    :ivar loses_replies: whether replies are lost after the member has answered.
    """

    def __init__(self, member, board, owner_address=""):
        self.board = board
        self.loses_replies = False
        self.client = FakeClient({ADDRESS: member})
        members = ControlMembers([ADDRESS], random.Random(1))
        self.reporter = Reporter(board, members, self, "p1", owner_address)

    def exchange(self, *args):
        answer = self.client.exchange(*args)
        if self.loses_replies:
            raise NoReply(ADDRESS)
        return answer

    def fetch(self, *args):
        return self.client.fetch(*args)

    def report(self):
        assert self.reporter.report() is not self.loses_replies
        return self.last_reply()

    def last_reply(self):
        return decode(self.client.calls[-1].answered, ProxyReply)

    def last_report(self):
        return decode(self.client.calls[-1].asked, ProxyReport)

    def settle(self):
        """Fetches the table, and reports until nothing is left to report."""
        for _ in range(5):
            self.report()
            while not self.reporter.tables.is_current():
                self.reporter.tables.step()


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def member(clock):
    running = FakeMember(clock)
    running.publish(large_table(1, routes=4, services=2))
    for number in range(1, 7):
        service = f"service-{number % 2}"
        running.member.commit_entry(PutEntry(target(f"t{number}", service)))
    running.member.commit_entry(SetPrimary("service-0", "t2"))
    return running


def start(member, clock, **fields):
    return Process(member, SessionBoard(clock, None, "dc-1"), **fields)


def own_all(member):
    owners = {f"service-{number}": OWNER for number in range(2)}
    member.member.commit_entry(SetOwners(owners))


def put_target(member, target_id, started_at_ms):
    entry = target(target_id, "service-1", started_at_ms)
    member.member.commit_entry(PutEntry(entry))


def test_a_process_that_uses_targets_receives_only_what_changed(member, clock):
    process = start(member, clock)
    process.settle()
    view = member.state.directory.view
    assert process.board.view == view
    put_target(member, "t1", 5)
    reply = process.report()
    assert list(reply.view_change.targets) == ["t1"]
    assert process.board.view == member.state.directory.view
    assert process.report().view_change is None


def test_a_proxy_whose_services_have_owners_receives_no_targets(member, clock):
    own_all(member)
    process = start(member, clock)
    process.settle()
    view = member.state.directory.view
    assert process.board.view == without_targets(view)
    assert not process.board.has_targets
    put_target(member, "t1", 5)
    size = len(encode(process.report()))
    assert process.board.view.version == member.state.directory.view.version
    assert size < 300


def test_an_owner_receives_all_targets(member, clock):
    own_all(member)
    board = SessionBoard(clock, None, "dc-1", "owner-1", serves_callers=False)
    process = Process(member, board, OWNER.address)
    process.settle()
    assert process.board.view == member.state.directory.view


def test_a_proxy_asks_for_a_complete_view_when_it_begins_to_use_targets(member, clock):
    """It would hold no targets, since changes name only those that differ."""
    own_all(member)
    process = start(member, clock)
    process.settle()
    member.member.commit_entry(SetOwners({"service-0": OWNER}))
    process.report()
    assert process.board.lacks_targets()
    assert process.reporter.interval_s() == 0.0
    process.report()
    asked = process.last_report()
    assert (asked.view_version, asked.wants_targets) == (0, True)
    assert process.board.view == member.state.directory.view
    own_all(member)
    process.report()
    process.report()
    assert process.last_report().view_version == 0
    assert process.board.view == without_targets(member.state.directory.view)


def test_a_lost_reply_changes_nothing(member, clock):
    process = start(member, clock)
    process.settle()
    put_target(member, "t1", 5)
    process.loses_replies = True
    process.report()
    put_target(member, "t2", 5)
    process.loses_replies = False
    process.report()
    assert process.board.view == member.state.directory.view


def test_a_process_that_missed_too_many_views_receives_a_complete_one(member, clock):
    process = start(member, clock)
    process.settle()
    for number in range(MAX_RECENT_VIEWS):
        put_target(member, "t1", 10 + number)
    assert process.report().view_change.base_version == 0
    assert process.board.view == member.state.directory.view
    for number in range(MAX_RECENT_VIEWS - 1):
        put_target(member, "t1", 100 + number)
    assert process.report().view_change.base_version > 0
    assert process.board.view == member.state.directory.view


def test_a_view_that_the_leader_has_not_seen_is_replaced(member, clock):
    process = start(member, clock)
    process.settle()
    other = FakeMember(clock)
    other.state.load_snapshot(member.state.take_snapshot())
    other.log.proposed = member.log.proposed
    put_target(member, "t1", 5)
    process.report()
    other.log.proposed = member.log.proposed
    put_target(other, "t2", 5)
    process.client.members[ADDRESS] = other
    assert process.report().view_change.base_version == 0
    assert process.board.view == other.state.directory.view


actions = st.lists(
    st.one_of(
        st.tuples(st.just("put"), target_ids, st.integers(0, 9)),
        st.tuples(st.just("drop"), target_ids, st.integers(0, 9)),
        st.tuples(st.just("primary"), target_ids),
        st.tuples(st.just("fence"), target_ids),
        st.tuples(st.just("own"), st.booleans()),
        st.tuples(st.just("report"), st.booleans()),
        st.tuples(st.just("report"), st.booleans()),
    ),
    max_size=40,
)


@settings(max_examples=100, deadline=None)
@given(actions)
def test_a_process_holds_the_view_of_its_version_whatever_is_lost(actions):
    """A change that is applied to a wrong base would leave targets that are gone."""
    clock = ManualClock(100.0)
    member = FakeMember(clock)
    member.publish(large_table(1, routes=4, services=2))
    process = start(member, clock)
    process.settle()
    first = member.state.directory.view
    history = {first.version: first}
    for name, *values in actions:
        clock.advance(0.5)
        command = None
        if name == "put":
            command = PutEntry(target(values[0], "service-1", values[1]))
        elif name == "drop":
            command = DropEntry(values[0], values[1], may_return=True)
        elif name == "primary":
            command = SetPrimary("service-1", values[0])
        elif name == "fence":
            command = FencePrimary("service-1", values[0])
        elif name == "own":
            both = {f"service-{number}": OWNER for number in range(2)}
            command = SetOwners(both if values[0] else {})
        if command is not None:
            member.member.commit_entry(command)
        current = member.state.directory.view
        history[current.version] = current
        if name == "report":
            process.loses_replies = values[0]
            process.report()
        held = process.board.view
        expected = history[held.version]
        if not process.board.has_targets:
            expected = without_targets(expected)
        assert (held.targets, held.primaries) == (expected.targets, expected.primaries)
        assert (held.owners, held.fences) == (expected.owners, expected.fences)
    process.loses_replies = False
    clock.advance(1.0)
    process.settle()
    assert process.board.view.version == member.state.directory.view.version
    assert not process.board.lacks_targets()


# What a proxy without targets does.


def lose_targets(group, version=9):
    """Gives a board the view of a proxy whose services have owners."""
    table = group.board.view.table
    view = DirectoryView(version, table, owners={SERVICE: OWNER})
    group.board.apply_view(view, has_targets=False)


def test_a_proxy_that_loses_its_owner_connects_only_once_it_has_targets(member):
    group = FakeGroup()
    board = group.board
    lose_targets(group)
    bare = DirectoryView(10, board.view.table)
    board.apply_view(bare, has_targets=False)
    sampler = Sampler(group.context)
    assert board.lacks_targets()
    assert not sampler._is_sampled(SERVICE)
    assert board.apply_view(group.view(10))
    assert not board.lacks_targets()
    assert sampler._is_sampled(SERVICE)


def test_a_proxy_without_targets_does_not_count_against_a_primary(member, clock):
    """Control would replace all primaries while proxies wait for their targets."""
    group = FakeGroup()
    board = group.board
    board.known_primary(SERVICE).search_started_at = 0.0
    process = Process(member, board)
    assert process.reporter.build().primaries != []
    lose_targets(group)
    board.apply_view(DirectoryView(10, board.view.table), has_targets=False)
    assert process.reporter.build().primaries == []
    board.apply_view(group.view(11))
    assert process.reporter.build().primaries == []


def test_a_proxy_without_targets_keeps_no_connections(member):
    group = FakeGroup()
    board = group.board
    pool = board.pool(board.view.targets["t1"])
    assert pool.acquire("", {}, 0, 1.0)
    board.status("t2").failing_since = 1.0
    lose_targets(group)
    assert board.pools == {}
    assert board.statuses == {}
    assert board.known_primary(SERVICE).confirmed_at is None


def test_without_primaries_a_process_relies_on_none():
    """A view without fences can't tell that a primary is being replaced."""
    authority = LeasedAuthority()
    view = DirectoryView(1, primaries={SERVICE: "t1"})
    authority.apply_view(view, 9.0)
    authority.renew(1, 10.0, 10.0)
    with authority.in_flight(SERVICE):
        authority.apply_without_primaries(2, 10.1)
        assert not authority.may_use(SERVICE, "t1", 10.1)
        assert authority.drained_version(10.1) == 1
    assert authority.drained_version(10.1) == 2
    assert not authority.covers(SERVICE, "t1", 10.0, 10.1)
    authority.renew(2, 10.2, 10.2)
    assert not authority.may_use(SERVICE, "t1", 10.2)
    authority.apply_view(DirectoryView(3, primaries={SERVICE: "t1"}), 10.3)
    assert authority.may_use(SERVICE, "t1", 10.3)
    assert not authority.covers(SERVICE, "t1", 10.2, 10.3)


def test_a_lease_does_not_count_while_the_view_is_put_off(clock):
    member = FakeMember(clock)
    member.member.grants_leases = True
    member.publish(large_table(1, routes=4, services=2))
    member.member.commit_entry(PutEntry(target("t1", "service-0")))
    member.member.commit_entry(SetPrimary("service-0", "t1"))
    process = start(member, clock)
    process.board.authority = LeasedAuthority()
    process.settle()
    assert process.board.authority.may_use("service-0", "t1", clock.now())
    clock.advance(10.0)
    for number in range(MAX_RECENT_VIEWS + 1):
        put_target(member, "t2", number)
    drain(member, clock)
    reply = process.report()
    assert reply.view_change is None
    assert not reply.grants_lease
    assert process.reporter.is_postponed
    assert not process.board.authority.may_use("service-0", "t1", clock.now())


# Bounds.


def drain(member, clock):
    """Uses up what a member may put together now."""
    while member.member.view_changes.budget.take(clock.now()):
        pass


def test_a_budget_allows_a_number_of_assemblies_a_second():
    budget = AssemblyBudget()
    assert sum(budget.take(100.0) for _ in range(100)) == MAX_ASSEMBLIES_PER_S
    taken = sum(budget.take(100.0 + step / 100) for step in range(1, 201))
    assert taken == 2 * MAX_ASSEMBLIES_PER_S


def test_a_view_that_is_put_off_is_asked_for_again_soon(member, clock):
    process = start(member, clock)
    drain(member, clock)
    process.report()
    assert process.board.view.version == 0
    assert process.reporter.is_postponed
    assert 0.0 < process.reporter.retry_pause_s() <= 0.2
    clock.advance(0.2)
    process.report()
    assert process.board.view.version == member.state.directory.view.version
    assert not process.reporter.is_postponed


def test_targets_that_are_put_off_are_asked_for_again_soon(member, clock):
    own_all(member)
    process = start(member, clock)
    process.settle()
    member.member.commit_entry(SetOwners({}))
    process.report()
    drain(member, clock)
    process.report()
    assert process.reporter.is_postponed


def test_a_view_that_is_ready_is_never_put_off(member, clock):
    process = start(member, clock)
    process.report()
    drain(member, clock)
    other = start(member, clock)
    other.report()
    assert other.board.view.version == member.state.directory.view.version


def test_a_table_that_is_put_off_arrives_later(member, clock):
    process = start(member, clock)
    process.report()
    drain(member, clock)
    pause_s = process.reporter.tables.step()
    assert 0.0 < pause_s <= 0.2
    assert process.board.view.table.version == 0
    clock.advance(0.2)
    process.settle()
    assert process.board.view.table.version == 1


def test_a_large_view_goes_to_owners_only():
    """300 proxies without an owner would ask for 66 KB each, over slow links."""
    view = DirectoryView(
        5, targets={f"t{each}": target(f"t{each}") for each in range(300)}
    )
    changes = ViewChanges(RecentViews(), AssemblyBudget())
    report = ProxyReport("p1", "dc-1", 0)
    assert len(encode(view_change(None, view, True))) > MAX_PROXY_VIEW_BYTES
    assert not changes.change_for(report, view, False, 1.0).has_targets
    assert changes.change_for(report, view, True, 1.0).has_targets
    owner = ProxyReport("o1", "dc-1", 0, owner_address="10.0.0.9:1")
    assert changes.change_for(owner, view, False, 1.0).targets == view.targets


def test_a_fleet_is_small_only_once_all_proxies_have_reported():
    """The first of 300 proxies that start would each get a view of 66 KB."""
    leadership = DirectoryLeadership(0.0, 1)
    assert not leadership.is_small_fleet(0.1)
    for number in range(OWNER_MIN_PROXIES):
        assert leadership.is_small_fleet(10.0 * number + 9.9)
        report = ProxyReport(f"p{number}", "dc-1", 0)
        leadership.receive_report(report, 10.0 * number + 10.0)
        assert not leadership.is_small_fleet(10.0 * number + 10.1)
    assert not leadership.is_small_fleet(1000.0)


def test_a_small_fleet_with_many_targets_receives_them(clock):
    member = FakeMember(clock)
    member.publish(large_table(1, routes=4, services=2))
    for number in range(100):
        put_target(member, f"t{number}", 1)
    process = start(member, clock)
    process.settle()
    assert process.board.lacks_targets()
    clock.advance(1.0)
    process.report()
    assert process.board.view == member.state.directory.view


def test_pauses_after_failed_reports_grow(member, clock):
    group = FakeGroup()
    lose_targets(group)
    process = Process(member, group.board)
    process.loses_replies = True
    pauses = []
    for _ in range(8):
        process.report()
        pauses.append(process.reporter.retry_pause_s())
    assert 0.025 <= pauses[0] <= 0.05
    assert all(0.075 <= pause_s <= 0.15 for pause_s in pauses[3:])
    assert len(set(pauses)) == len(pauses)


def test_a_process_with_leases_looks_for_the_next_leader_soon(member):
    group = FakeGroup()
    process = Process(member, group.board)
    process.loses_replies = True
    for _ in range(8):
        process.report()
    assert process.reporter.retry_pause_s() <= 0.1

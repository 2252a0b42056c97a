"""Proxies receive differences of routing tables, and derive the whole table."""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.directory.records import (
    Consistency,
    DirectoryView,
    ProxyReply,
    ProxyReport,
    Route,
    RoutingTable,
    ServicePolicy,
    SessionLimits,
)
from godwitwheel.directory.table_changes import (
    MAX_RECENT_TABLES,
    RecentTables,
    apply_change,
    table_change,
)
from godwitwheel.sessions.reporting.reporting import ControlMembers, Reporter
from godwitwheel.wire.codec import decode, encode
from tests.common.fake_sessions import FakeGroup

databases = st.sampled_from(["a", "b", "c", "d"])
routes = st.builds(
    Route,
    database=databases,
    service=st.sampled_from(["s1", "s2"]),
    consistency=st.sampled_from(Consistency),
    statement_timeout_ms=st.integers(1, 3),
    latency_objective_ms=st.just(100),
)
tables = st.builds(
    RoutingTable,
    version=st.integers(1, 100),
    routes=st.dictionaries(databases, routes),
    services=st.dictionaries(
        st.sampled_from(["s1", "s2"]),
        st.builds(ServicePolicy, name=st.just("s"), max_connections=st.integers(1, 3)),
    ),
    limits=st.builds(SessionLimits, transaction_idle_ms=st.integers(1, 3)),
)


@given(tables, tables)
def test_a_change_leads_from_one_table_to_the_other(base, table):
    assert apply_change(base, table_change(base, table)) == table


@given(tables, tables)
def test_a_change_for_another_table_is_not_applied(base, table):
    change = table_change(base, table)
    other = RoutingTable(version=base.version + 1)
    assert apply_change(other, change) is None


def table_of(version, count=50):
    routes = {
        f"db{number}": Route(f"db{number}", "s1", Consistency.primary, 800, 100)
        for number in range(count)
    }
    changed = Route("db0", "s1", Consistency.primary, 800 + version, 100)
    return RoutingTable(version, {**routes, "db0": changed})


def test_a_proxy_receives_only_changed_routes():
    recent = RecentTables()
    assert recent.change_for(0, table_of(1)).table == table_of(1)
    assert recent.change_for(1, table_of(1)) is None
    change = recent.change_for(1, table_of(2))
    assert list(change.table.routes) == ["db0"]
    assert len(encode(change)) < len(encode(table_of(2))) / 10
    assert apply_change(table_of(1), change) == table_of(2)


def test_a_proxy_that_missed_too_many_changes_receives_the_whole_table():
    recent = RecentTables()
    newest = MAX_RECENT_TABLES + 2
    for version in range(1, newest + 1):
        recent.change_for(version, table_of(version))
    change = recent.change_for(1, table_of(newest))
    assert (change.base_version, change.table) == (0, table_of(newest))
    assert recent.change_for(newest - 1, table_of(newest)).base_version == newest - 1


class ScriptedReporter:
    """A reporter and the leader that it calls, which sends the given replies.

    :ivar asked: reports that the leader received.
    """

    def __init__(self, board):
        self.replies = []
        self.asked = []
        members = ControlMembers(["10.0.0.1:7440"], random.Random(1))
        self.reporter = Reporter(board, members, self, "front-1")

    def exchange(self, address, method, path, body, timeout_s):
        self.asked.append(decode(body, ProxyReport))
        return 200, encode(self.replies.pop(0))


def test_a_proxy_applies_a_view_only_with_its_matching_table():
    board = FakeGroup().board
    held = board.view.table
    scripted = ScriptedReporter(board)
    newer = msgspec.structs.replace(held, version=held.version + 1)
    bare = DirectoryView(version=board.view.version + 1)
    late = table_change(RoutingTable(version=held.version + 7), newer)
    scripted.replies = [
        ProxyReply(bare.version, 1, [], bare, newer.version, late),
        ProxyReply(bare.version, 1, [], bare, newer.version, None),
        ProxyReply(bare.version, 1, [], bare, newer.version, table_change(held, newer)),
    ]
    versions = []
    for _ in range(3):
        scripted.reporter.report()
        versions.append(board.view.table.version)
    assert versions == [held.version, held.version, newer.version]
    assert board.view == msgspec.structs.replace(bare, table=newer)
    assert [report.table_version for report in scripted.asked] == [held.version] * 3

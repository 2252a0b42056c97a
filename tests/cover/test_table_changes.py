"""Proxies receive differences of routing tables, and derive the whole table."""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.accounts.authority import UnleasedKeys
from godwitwheel.directory.records import (
    AccountPolicy,
    Consistency,
    DirectoryView,
    ProxyReply,
    ProxyReport,
    Route,
    RoutingTable,
    ServicePolicy,
    SessionLimits,
    ViewChange,
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
    accounts=st.dictionaries(
        st.sampled_from(["ferry", "school", "tower"]),
        st.builds(AccountPolicy, name=st.just("a"), rate_per_s=st.floats(1, 3)),
    ),
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


def test_a_change_holds_only_the_routes_that_differ():
    change = table_change(table_of(1), table_of(2))
    assert list(change.table.routes) == ["db0"]
    assert len(encode(change)) < len(encode(table_of(2))) / 10
    assert apply_change(table_of(1), change) == table_of(2)


def test_a_change_holds_only_the_accounts_that_differ():
    """Digests of keys don't compress, and most changes touch no account."""
    accounts = {name: AccountPolicy(name) for name in ("ferry", "school")}
    base = msgspec.structs.replace(table_of(1), accounts=accounts)
    moved = {"ferry": AccountPolicy("ferry", ["k1"]), "school": AccountPolicy("school")}
    change = table_change(base, msgspec.structs.replace(base, accounts=moved))
    assert list(change.table.accounts) == ["ferry"]


def test_a_change_from_an_unknown_table_is_complete():
    change = table_change(None, table_of(1))
    assert (change.base_version, change.table) == (0, table_of(1))


def test_the_newest_tables_are_kept_whole():
    recent = RecentTables()
    newest = MAX_RECENT_TABLES + 2
    for version in range(1, newest + 1):
        recent.add(table_of(version))
    kept = [version for version in range(newest + 1) if recent.find(version)]
    assert kept == list(range(3, newest + 1))
    assert all(recent.find(version) == table_of(version) for version in kept)


def test_kept_tables_share_their_unchanged_routes():
    """64 tables of 1,500 routes each would take over 50 MB without this."""
    recent = RecentTables()
    for version in (1, 2):
        recent.add(table_of(version))
    routes = [recent.find(version).routes for version in (1, 2)]
    assert routes[0]["db1"] is routes[1]["db1"]
    assert routes[0]["db0"] != routes[1]["db0"]


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


def test_a_view_is_applied_at_once_with_the_held_table():
    """A large table must not hold up news of targets and primaries."""
    board = FakeGroup().board
    held = board.view.table
    scripted = ScriptedReporter(board)
    version = board.view.version + 1
    newest = held.version + 1
    change = ViewChange(0, version)
    scripted.replies = [ProxyReply(version, 1, [], newest, view_change=change)]
    scripted.reporter.report()
    assert board.view == DirectoryView(version, held)
    assert scripted.reporter.tables.advertised == newest


class RecordingKeys(UnleasedKeys):
    """Records when the lease on the keys is renewed."""

    def __init__(self):
        self.renewed = []

    def renew(self, sent_at):
        self.renewed.append(sent_at)


def test_a_reply_renews_the_lease_on_keys_only_if_it_names_the_held_table():
    """Otherwise a withdrawn key would go on working while its table is fetched."""
    group = FakeGroup()
    board = group.board
    board.key_authority = keys = RecordingKeys()
    scripted = ScriptedReporter(board)
    held = board.view.table
    newer = msgspec.structs.replace(held, version=held.version + 1)
    version = board.view.version
    for named in (held, newer):
        scripted.replies.append(ProxyReply(version, 1, [], named.version))
        scripted.reporter.report()
        group.clock.advance(1.0)
    assert keys.renewed == [group.clock.now() - 2.0]
    assert board.apply_table(newer)
    scripted.replies.append(ProxyReply(version, 1, [], newer.version))
    scripted.reporter.report()
    assert keys.renewed[1:] == [group.clock.now()]


def test_an_older_table_is_never_installed():
    board = FakeGroup().board
    held = board.view.table
    older = msgspec.structs.replace(held, version=held.version - 1)
    assert not board.apply_table(older)
    assert not board.apply_table(msgspec.structs.replace(held, routes={}))
    assert board.view.table == held

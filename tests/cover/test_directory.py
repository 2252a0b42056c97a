"""The replicated directory: tables by version, targets by incarnation, primaries."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitwheel.directory.commands import (
    DropEntry,
    FencePrimary,
    PutEntry,
    PutTable,
    SetPrimary,
)
from godwitwheel.directory.documents import pack_document, unpack_document
from godwitwheel.directory.errors import InvalidTable
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.promotion import fencing_token
from godwitwheel.directory.records import (
    Consistency,
    PrimaryReport,
    ProxyReport,
    Route,
    RoutingTable,
    ServicePolicy,
    TargetEntry,
)
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec

SERVICE = "bookings"


def table(version, timeout_ms=800, service=SERVICE):
    route = Route("db", service, Consistency.primary, timeout_ms, 100)
    services = {SERVICE: ServicePolicy(SERVICE, 16)}
    return msgspec.json.encode(RoutingTable(version, {"db": route}, services))


def entry(target_id="t1", started_at_ms=10, **fields):
    fields.setdefault("address", f"10.0.0.1:{target_id[1:]}")
    return TargetEntry(
        target_id,
        SERVICE,
        data_centre="dc-1",
        slots=2,
        started_at_ms=started_at_ms,
        **fields,
    )


@pytest.fixture
def directory():
    return Directory(JsonTableCodec())


@given(st.lists(st.integers(0, 6), max_size=20))
def test_the_highest_version_is_in_force_whatever_the_order(versions):
    directory = Directory(JsonTableCodec())
    highest = -1
    for index, version in enumerate(versions, 1):
        result = directory.put_table(index, PutTable(table(version)))
        assert result.applied is (version > highest)
        highest = max(highest, version)
        assert result.version == highest
        assert directory.view.table.version == highest


def test_a_table_with_an_already_active_version_is_ignored(directory):
    directory.put_table(1, PutTable(table(5, timeout_ms=800)))
    directory.put_table(2, PutTable(table(5, timeout_ms=900)))
    assert directory.view.table.routes["db"].statement_timeout_ms == 800
    assert directory.document == table(5, timeout_ms=800)


def test_tables_stored_by_an_earlier_version_are_read(directory):
    """Logs and snapshots on disk hold documents that are not compressed."""
    directory.put_table(1, PutTable(table(5)))
    assert unpack_document(directory.document) == table(5)
    directory.put_table(2, PutTable(pack_document(table(6))))
    assert unpack_document(directory.document) == table(6)
    assert directory.view.table.version == 6


@pytest.mark.parametrize(
    "document",
    [b"", b"{", table(3)[:-5], table(3, timeout_ms=0), table(3, service="none")],
)
def test_an_invalid_table_is_refused(directory, document):
    with pytest.raises(InvalidTable):
        directory.codec.decode(document)


def test_a_late_announcement_of_a_departed_incarnation_is_ignored(directory):
    directory.put_entry(1, PutEntry(entry(started_at_ms=10)))
    directory.drop_entry(2, DropEntry("t1", 10))
    assert not directory.put_entry(3, PutEntry(entry(started_at_ms=10))).applied
    assert directory.put_entry(4, PutEntry(entry(started_at_ms=11))).applied


def test_an_expired_target_may_return(directory):
    directory.put_entry(1, PutEntry(entry(started_at_ms=10)))
    directory.drop_entry(2, DropEntry("t1", 10, may_return=True))
    assert directory.put_entry(3, PutEntry(entry(started_at_ms=10))).applied


def test_a_new_incarnation_at_an_address_replaces_the_old_one(directory):
    directory.put_entry(1, PutEntry(entry("t1", 10, address="10.0.0.1:1")))
    directory.put_entry(2, PutEntry(entry("t2", 20, address="10.0.0.1:1")))
    assert set(directory.view.targets) == {"t2"}
    late = entry("t1", 10, address="10.0.0.1:1", leaving=True)
    assert not directory.put_entry(3, PutEntry(late)).applied


def test_the_first_target_that_reports_itself_as_primary_becomes_primary(directory):
    directory.put_entry(1, PutEntry(entry("t1")))
    directory.put_entry(2, PutEntry(entry("t2", claims_lead=True)))
    assert directory.view.primaries == {SERVICE: "t2"}


def test_a_replaced_primary_that_still_reports_itself_as_primary_is_not_restored(
    directory,
):
    directory.put_entry(1, PutEntry(entry("t1", claims_lead=True)))
    directory.put_entry(2, PutEntry(entry("t2")))
    directory.set_primary(3, SetPrimary(SERVICE, "t2", 7))
    directory.put_entry(4, PutEntry(entry("t1", claims_lead=True, leaving=True)))
    assert directory.view.primaries == {SERVICE: "t2"}


def test_a_target_that_starts_to_report_itself_as_primary_becomes_primary(directory):
    directory.put_entry(1, PutEntry(entry("t1", claims_lead=True)))
    directory.put_entry(2, PutEntry(entry("t2")))
    directory.put_entry(3, PutEntry(entry("t2", claims_lead=True)))
    assert directory.view.primaries == {SERVICE: "t2"}


def test_an_order_with_a_lower_token_is_ignored(directory):
    directory.set_primary(1, SetPrimary(SERVICE, "t2", 8))
    assert not directory.set_primary(2, SetPrimary(SERVICE, "t3", 7)).applied
    assert directory.view.primaries == {SERVICE: "t2"}


def test_a_snapshot_restores_the_whole_state(directory):
    directory.put_table(1, PutTable(table(5)))
    directory.put_entry(2, PutEntry(entry("t1", claims_lead=True)))
    directory.put_entry(3, PutEntry(entry("t2")))
    directory.drop_entry(4, DropEntry("t2", 10))
    directory.set_primary(5, SetPrimary(SERVICE, "t1", 9))
    directory.fence_primary(6, FencePrimary(SERVICE, "t3"))
    copy = Directory(JsonTableCodec())
    copy.restore(directory.snapshot())
    assert copy.view == directory.view
    assert copy.snapshot() == directory.snapshot()
    assert not copy.put_entry(7, PutEntry(entry("t2"))).applied
    assert not copy.set_primary(8, SetPrimary(SERVICE, "t3", 8)).applied
    assert copy.view.fences == {SERVICE: "t3"}


def test_tokens_increase_with_each_order_and_each_term():
    first, second = DirectoryLeadership(0.0, 3), DirectoryLeadership(9.0, 4)
    tokens = [fencing_token(first), fencing_token(first), fencing_token(second)]
    assert tokens == sorted(set(tokens))


def test_out_of_order_announcements_are_ignored():
    leadership = DirectoryLeadership(0.0, 1)
    assert leadership.receive_announcement(entry(started_at_ms=10), 5, 1.0)
    assert not leadership.receive_announcement(entry(started_at_ms=10), 4, 2.0)
    assert not leadership.receive_announcement(entry(started_at_ms=9), 90, 2.0)
    assert leadership.receive_announcement(entry(started_at_ms=11), 1, 3.0)
    assert leadership.announcement_age_s("t1", 5.0) == 2.0


def test_proxies_that_stop_reporting_expire():
    leadership = DirectoryLeadership(0.0, 1)
    leadership.receive_report(ProxyReport("p1", "dc-1", 0), 1.0)
    assert leadership.expire_proxies(3.0) == []
    assert leadership.expire_proxies(30.0) == ["p1"]


def test_a_target_is_unreachable_only_if_every_proxy_reports_it():
    leadership = DirectoryLeadership(0.0, 1)
    assert not leadership.is_unreachable_from_all(entry(), 1.0)
    primaries = [PrimaryReport(SERVICE, "t2", False, 900)]
    report = ProxyReport("p1", "dc-1", 0, primaries, unreachable=["t1"])
    leadership.receive_report(report, 1.0)
    assert leadership.is_unreachable_from_all(entry(), 1.0)
    leadership.receive_report(ProxyReport("p2", "dc-1", 0, primaries), 1.0)
    assert not leadership.is_unreachable_from_all(entry(), 1.0)


def test_a_proxy_that_uses_no_target_of_a_service_does_not_keep_a_dead_one():
    """Where services have owners, dead targets were listed for good.

    At a synchronous service each of them holds up every promotion.
    """
    leadership = DirectoryLeadership(0.0, 1)
    leadership.receive_report(ProxyReport("p1", "dc-1", 0), 1.0)
    assert not leadership.is_unreachable_from_all(entry(), 1.0)
    primaries = [PrimaryReport(SERVICE, "t2", False, 900)]
    owner = ProxyReport("o1", "dc-1", 0, primaries, unreachable=["t1"])
    leadership.receive_report(owner, 1.0)
    assert leadership.is_unreachable_from_all(entry(), 1.0)

"""Which process owns the connections of which service."""

from godwitwheel.directory.ownership import assign_owners, needs_owner
from godwitwheel.directory.records import (
    DirectoryView,
    OwnerEntry,
    RoutingTable,
    ServicePolicy,
)

OWNERS = {f"o{number}": f"10.0.0.{number}:7441" for number in range(3)}


def view(services, owners=None, cap=25):
    policies = {name: ServicePolicy(name, cap) for name in services}
    table = RoutingTable(1, {}, policies)
    return DirectoryView(1, table, owners=owners or {})


def test_few_proxies_need_no_owner():
    assert not needs_owner(ServicePolicy("a", 16), 6)
    assert assign_owners(view("abc"), OWNERS, 6) == {}


def test_many_proxies_need_an_owner():
    assert needs_owner(ServicePolicy("a", 25), 79)
    assert needs_owner(ServicePolicy("a", 142), 65)


def test_too_few_connections_need_an_owner_even_for_few_proxies():
    assert needs_owner(ServicePolicy("a", 8), 6)


def test_services_are_spread_over_the_owners():
    assigned = assign_owners(view("abcdef"), OWNERS, 79)
    holders = [entry.proxy_id for entry in assigned.values()]
    assert sorted(holders) == ["o0", "o0", "o1", "o1", "o2", "o2"]


def test_an_available_owner_keeps_its_services():
    first = assign_owners(view("abcd"), {"o0": OWNERS["o0"]}, 79)
    again = assign_owners(view("abcd", first), OWNERS, 79)
    assert again == first


def test_services_of_a_lost_owner_move_and_the_others_stay():
    first = assign_owners(view("abc"), OWNERS, 79)
    lost = first["a"].proxy_id
    rest = {name: address for name, address in OWNERS.items() if name != lost}
    again = assign_owners(view("abc", first), rest, 79)
    assert lost not in {entry.proxy_id for entry in again.values()}
    kept = {name: entry for name, entry in first.items() if entry.proxy_id != lost}
    assert kept.items() <= again.items()


def test_a_service_is_reassigned_if_its_owner_has_another_address():
    moved = {"a": OwnerEntry("o0", "10.9.9.9:7441")}
    assigned = assign_owners(view("a", moved), OWNERS, 79)
    assert assigned["a"].address == OWNERS[assigned["a"].proxy_id]


def test_an_owned_service_stays_owned_when_proxies_are_lost():
    first = assign_owners(view("a"), OWNERS, 79)
    assert assign_owners(view("a", first), OWNERS, 5) == first


def test_without_owners_nothing_is_assigned():
    assert assign_owners(view("a"), {}, 79) == {}

"""Targets that are gone and may hold acknowledged commits that no other target has."""

import msgspec
import pytest

from godwitwheel.directory.candidates import Candidate, Replacement, SynchronousRule
from godwitwheel.directory.commands import (
    DropEntry,
    ForgetLost,
    PutEntry,
    PutTable,
    SetPrimary,
)
from godwitwheel.directory.controllers import TARGET_EXPIRY_S
from godwitwheel.directory.lost_targets import MAX_LOST_PER_SERVICE, LostTarget
from godwitwheel.directory.records import Incarnation, RoutingTable, ServicePolicy
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.sessions.statements import Position
from godwitwheel.wire.codec import encode
from tests.common.sync_fleet import SyncFleet
from tests.common.sync_group import SERVICE, SyncGroup, SyncTarget

OTHER_SERVICE = "invoices"


def entry(target_id, number, started_at_ms=0, service=SERVICE):
    known = SyncGroup().view().targets["t1"]
    address = f"10.0.0.{number}:1"
    return msgspec.structs.replace(
        known,
        target_id=target_id,
        address=address,
        started_at_ms=started_at_ms,
        service=service,
    )


def displace_by_another_service(fleet):
    fleet.member.commit_entry(PutEntry(entry("n1", 2, 9, OTHER_SERVICE)))


def displace_by_the_same_service(fleet):
    fleet.group.targets["t4"] = SyncTarget("t4")
    fleet.member.commit_entry(PutEntry(entry("t4", 2, 9)))


def start_empty_under_its_id(fleet):
    fleet.group.targets["t2"] = SyncTarget("t2")
    fleet.member.commit_entry(PutEntry(entry("t2", 2, 9)))


def deregister(fleet):
    fleet.member.commit_entry(DropEntry("t2", 0))


def expire(fleet):
    fleet.member.commit_entry(DropEntry("t2", 0, may_return=True))


LOSSES = [
    displace_by_another_service,
    displace_by_the_same_service,
    start_empty_under_its_id,
    deregister,
    expire,
]


def synchronous_fleet():
    fleet = SyncFleet()
    directory = fleet.state.directory
    directory.lost.apply_table(directory.view.table, directory.view.targets)
    return fleet


def lose_replica_that_has_all(fleet, lose):
    """Loses the primary, and the only replica with all acknowledged commits."""
    group = fleet.group
    group.targets["t3"].is_deaf = True
    fleet.run(0.5)
    group.targets["t2"].has_ended = True
    group.primary.is_silent = True
    lose(fleet)
    group.targets["t3"].is_deaf = False


@pytest.mark.parametrize("lose", LOSSES)
def test_no_replica_is_promoted_that_lacks_what_a_lost_one_may_hold(lose):
    """Control promoted one that lacked some 200 acknowledged commits."""
    fleet = synchronous_fleet()
    lose_replica_that_has_all(fleet, lose)
    fleet.run(4.0)
    assert fleet.group.orders == []
    fleet.group.primary.is_silent = False
    fleet.run(2.0)
    assert fleet.group.primary.target_id == "t1"
    assert fleet.group.write()
    assert fleet.group.lost == 0


@pytest.mark.parametrize("lose", LOSSES)
def test_a_new_leader_and_a_restart_of_control_remember_lost_targets(lose):
    fleet = synchronous_fleet()
    lose_replica_that_has_all(fleet, lose)
    directory = fleet.state.directory
    directory.document = encode(directory.view.table)
    snapshot = fleet.state.take_snapshot()
    fleet.state.load_snapshot(snapshot)
    fleet.elect()
    fleet.run(4.0)
    assert fleet.group.orders == []
    assert fleet.group.lost == 0


@pytest.mark.parametrize("lose", LOSSES)
def test_the_primary_can_be_replaced_again_once_others_hold_all_its_commits(lose):
    """A lost target would otherwise hold up each later promotion."""
    fleet = synchronous_fleet()
    lose_replica_that_has_all(fleet, lose)
    fleet.run(1.0)
    fleet.group.primary.is_silent = False
    fleet.run(2.0)
    assert fleet.state.directory.lost.of(SERVICE) == []
    fleet.group.primary.is_silent = True
    fleet.run(4.0)
    assert fleet.group.primary.target_id != "t1"
    assert fleet.group.write()
    assert fleet.group.lost == 0


def test_a_lost_target_is_remembered_while_no_other_has_all_commits():
    fleet = synchronous_fleet()
    fleet.group.targets["t3"].is_deaf = True
    fleet.run(0.5)
    fleet.group.targets["t2"].has_ended = True
    deregister(fleet)
    fleet.run(2.0)
    assert fleet.state.directory.lost.of(SERVICE) == [LostTarget(Incarnation("t2", 0))]


def test_a_service_that_gives_up_synchronous_replicas_gets_a_primary_again():
    """The way out if neither the primary nor the lost replica returns."""
    fleet = synchronous_fleet()
    lose_replica_that_has_all(fleet, deregister)
    fleet.run(2.0)
    services = fleet.state.directory.view.table.services
    services[SERVICE] = ServicePolicy(SERVICE, 32, 0)
    fleet.run(2.0)
    assert fleet.group.primary.target_id == "t3"


def test_a_lost_primary_does_not_hold_up_the_promotion():
    """Its acknowledged commits are held by replicas, which answer."""
    fleet = synchronous_fleet()
    fleet.group.is_platform_down = True
    fleet.group.primary.has_ended = True
    fleet.member.commit_entry(DropEntry("t1", 0, may_return=True))
    fleet.run(3.0)
    fleet.group.is_platform_down = False
    fleet.run(4.0)
    assert fleet.group.primary.target_id != "t1"
    assert fleet.group.lost == 0


def test_after_a_promotion_the_former_primary_counts_as_a_lost_replica():
    """The promoted target may be the only other one that holds a commit."""
    directory = directory_of()
    directory.drop_entry(5, DropEntry("t1", 0))
    assert directory.lost.of(SERVICE) == [LostTarget(Incarnation("t1", 0), True)]
    directory.set_primary(6, SetPrimary(SERVICE, "t2", 1))
    assert directory.lost.of(SERVICE) == [LostTarget(Incarnation("t1", 0))]


def candidate(target_id, number, started_at_ms=0):
    received = None if number is None else Position(1, number)
    number_in_address = int(target_id[1:])
    return Candidate(entry(target_id, number_in_address, started_at_ms), received, 1, 0)


def choose(candidates, lost, primary_id="t1"):
    replacement = Replacement(candidates, [], primary_id, "", False, lost)
    chosen = SynchronousRule(1).choose(replacement)
    return None if chosen is None else chosen.entry.target_id


def test_a_target_that_starts_again_under_the_primarys_id_is_not_the_primary():
    """A fenced primary is promoted again as the one that holds every commit."""
    newcomer = candidate("t1", 0, 9)
    lost_primary = LostTarget(Incarnation("t1", 0), True)
    assert choose([newcomer, candidate("t2", None)], [lost_primary]) is None
    assert choose([newcomer, candidate("t2", 7)], [lost_primary]) == "t2"


def test_an_answer_for_an_incarnation_that_was_lost_meanwhile_does_not_count():
    """The target that answered has started since the question was prepared."""
    lost = [LostTarget(Incarnation("t2", 0))]
    assert choose([candidate("t2", 0), candidate("t3", 7)], lost) is None


def table(version, replicas):
    policies = {}
    if replicas is not None:
        policies = {SERVICE: ServicePolicy(SERVICE, 16, replicas)}
    return PutTable(encode(RoutingTable(version, {}, policies)))


def directory_of(replicas=1):
    directory = Directory(JsonTableCodec())
    directory.put_table(1, table(1, replicas))
    for number in range(1, 4):
        directory.put_entry(1 + number, PutEntry(entry(f"t{number}", number)))
    directory.set_primary(4, SetPrimary(SERVICE, "t1", 1))
    return directory


@pytest.mark.parametrize("replicas", [0, None])
def test_losses_are_remembered_while_a_table_declares_the_service_otherwise(replicas):
    """The service may get its synchronous replicas back."""
    directory = directory_of()
    directory.put_table(5, table(2, replicas))
    directory.drop_entry(6, DropEntry("t2", 0))
    directory.put_table(7, table(3, 1))
    assert directory.lost.of(SERVICE) == [LostTarget(Incarnation("t2", 0))]


def test_losses_of_a_service_that_never_had_synchronous_replicas_are_not_kept():
    directory = directory_of(replicas=0)
    directory.drop_entry(6, DropEntry("t2", 0))
    assert directory.lost.of(SERVICE) == []


def test_a_target_that_announces_itself_again_is_not_lost():
    directory = directory_of()
    directory.drop_entry(6, DropEntry("t2", 0, may_return=True))
    directory.put_entry(7, PutEntry(entry("t2", 2)))
    assert directory.lost.of(SERVICE) == []


def test_a_target_that_moves_to_another_address_is_not_lost():
    directory = directory_of()
    directory.put_entry(6, PutEntry(entry("t2", 8)))
    assert directory.lost.of(SERVICE) == []


def test_only_the_named_losses_are_forgotten():
    """One that is lost while the others are checked may hold later commits."""
    directory = directory_of()
    directory.drop_entry(6, DropEntry("t2", 0))
    directory.drop_entry(7, DropEntry("t3", 0))
    command = ForgetLost(SERVICE, [Incarnation("t2", 0)])
    assert directory.forget_lost(8, command).applied
    assert not directory.forget_lost(9, command).applied
    assert directory.lost.of(SERVICE) == [LostTarget(Incarnation("t3", 0))]


def test_the_losses_that_are_remembered_are_bounded():
    directory = directory_of()
    for started_at_ms in range(1, 2 * MAX_LOST_PER_SERVICE):
        directory.put_entry(9, PutEntry(entry("t2", 2, started_at_ms)))
    assert len(directory.lost.of(SERVICE)) == MAX_LOST_PER_SERVICE


@pytest.mark.parametrize("service", [SERVICE, OTHER_SERVICE])
def test_a_silent_target_of_a_service_that_no_table_names_is_removed(service):
    """Nobody reports about it, so that it was listed for good."""
    fleet = synchronous_fleet()
    fleet.member.commit_entry(PutEntry(entry("n1", 9, service=service)))
    fleet.run(TARGET_EXPIRY_S + 1.0)
    is_listed = "n1" in fleet.state.directory.view.targets
    assert is_listed is (service == SERVICE)

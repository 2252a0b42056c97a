"""Nothing acknowledged is lost when disks are lost while all other VMs lose power.

Everything that control acknowledges is a command of its log, so each kind of command is
acknowledged in a simulated cell, which then fails at that moment.
"""

import itertools

import msgspec
import pytest

from godwitwheel.accounts.keys import digest_of
from godwitwheel.control.commands import (
    Batch,
    ClaimCommand,
    OutcomeCommand,
    PublishCommand,
    SetTokenKey,
)
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import (
    DropEntry,
    FencePrimary,
    PutEntry,
    PutTable,
    SetOwners,
    SetPrimary,
)
from godwitwheel.directory.documents import pack_document
from godwitwheel.directory.records import (
    AccountPolicy,
    OwnerEntry,
    RoutingTable,
    ServicePolicy,
    TargetEntry,
)
from godwitwheel.wire.caller import CallerAnswer, Outcome
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import Claim, Publish, RecordOutcome
from tests.common.cell import Cell

SERVICE = "bookings"
NOW_S = 1_700_000_000.0
TARGET = TargetEntry("t1", SERVICE, "10.0.0.1:6000", "dc-1", 2, 10)
KEYS = [digest_of("a key")]
TABLE = RoutingTable(
    7,
    services={SERVICE: ServicePolicy(SERVICE, 16)},
    accounts={"hangars": AccountPolicy("hangars", KEYS, rate_per_s=5.0)},
)


def put_table(table):
    return PutTable(pack_document(encode(table)))


ACKNOWLEDGED = {
    "routing table, with accounts and keys": [put_table(TABLE)],
    "withdrawn key": [
        put_table(TABLE),
        put_table(msgspec.structs.replace(TABLE, version=8, accounts={})),
    ],
    "target": [PutEntry(TARGET)],
    "leaving target": [
        PutEntry(TARGET),
        PutEntry(msgspec.structs.replace(TARGET, leaving=True)),
    ],
    "departed target": [PutEntry(TARGET), DropEntry("t1", 10)],
    "fence": [SetPrimary(SERVICE, "t1"), FencePrimary(SERVICE, "t2")],
    "promotion": [FencePrimary(SERVICE, "t1"), SetPrimary(SERVICE, "t1", 3)],
    "owners": [SetOwners({SERVICE: OwnerEntry("owner-1", "10.0.0.9:7441")})],
    "publish": [PublishCommand(Publish("first", 0, "hash", {}))],
    "token key": [SetTokenKey("0123")],
    "claim": [ClaimCommand(Claim("s", "k", "digest", "attempt", 60), NOW_S)],
    "outcome": [
        ClaimCommand(Claim("s", "k", "digest", "attempt", 60), NOW_S),
        OutcomeCommand(
            RecordOutcome("s", "k", "attempt", CallerAnswer(Outcome.done)), NOW_S
        ),
    ],
}
# Members, and how many of their disks may be lost at once.
SIZES = [(3, 1), (5, 2)]


def acknowledge(cell, command):
    """Commits a command, and stops at the moment at which it is acknowledged."""
    leader = cell.serving_leader()
    entry = leader.log.core.propose(encode(Batch([command])))
    leader.work()
    while leader.state.applied_index < entry.index:
        if not cell.in_flight:
            cell.step()
        else:
            cell.deliver(cell.random.randrange(len(cell.in_flight)))
    return leader


def lose_disks_and_power(cell, lost):
    """Ends all members at once, and starts them again, some with empty disks."""
    for name, member in cell.members.items():
        if member.log is not None:
            member.crash()
        if name in lost:
            member.replace_disk()
    cell.in_flight.clear()
    for member in cell.members.values():
        # No settings file asks for a new cell after the first start.
        member.join = True
        member.start()


def make_cell(size, seed):
    return Cell(size, seed, make_state_machine=lambda cell: ControlState())


def snapshot_of(member):
    return member.log.state_machine.take_snapshot()


@pytest.mark.parametrize("size, disks", SIZES)
@pytest.mark.parametrize("acknowledged", ACKNOWLEDGED)
def test_an_acknowledgement_outlives_lost_disks_and_power(acknowledged, size, disks):
    for seed, lost in enumerate(itertools.combinations(range(size), disks)):
        cell = make_cell(size, seed)
        before = snapshot_of(cell.serving_leader())
        for command in ACKNOWLEDGED[acknowledged]:
            leader = acknowledge(cell, command)
        expected = snapshot_of(leader)
        assert expected != before
        lose_disks_and_power(cell, {f"m{number}" for number in lost})
        assert snapshot_of(cell.serving_leader()) == expected


@pytest.mark.parametrize("steps", range(0, 40, 4))
def test_it_outlives_them_while_a_disk_lost_before_is_being_replaced(steps):
    """The member with an empty disk isn't yet, or has just become, a voter."""
    for seed, lost in enumerate(itertools.permutations(range(5), 2)):
        cell = make_cell(5, seed)
        acknowledge(cell, SetTokenKey("0123"))
        first, second = (cell.members[f"m{number}"] for number in lost)
        first.crash()
        first.replace_disk()
        first.join = True
        first.start()
        cell.step(steps)
        expected = snapshot_of(acknowledge(cell, put_table(TABLE)))
        lose_disks_and_power(cell, {first.member_id, second.member_id})
        assert snapshot_of(cell.serving_leader()) == expected

"""Standby learners replace unresponsive voters."""

from tests.common.cell import Cell, Member


def cell_with_standby(voters=3):
    """Returns a cell of three initial members and one that was added later."""
    cell = Cell()
    cell.voter_limit = voters
    for member in cell.members.values():
        member.log.core.state.options.voters = voters
    cell.commit("before")
    add(cell, "m9")
    cell.step(20)
    return cell


def add(cell, name, known_members=()):
    member = cell.members[name] = Member(cell, name, join=True)
    member.known_members = list(known_members)
    member.start()
    return member


def voter_ids(cell):
    members = cell.leader().state.membership.members
    return {name for name, record in members.items() if record.voter}


def test_a_member_above_the_voter_limit_stays_a_standby():
    cell = cell_with_standby()
    assert voter_ids(cell) == {"m0", "m1", "m2"}
    assert "m9" in cell.leader().state.membership.members


def test_a_member_that_has_caught_up_below_the_voter_limit_becomes_a_voter():
    cell = cell_with_standby(voters=5)
    assert voter_ids(cell) == {"m0", "m1", "m2", "m9"}


def test_a_crashed_voter_is_replaced_by_a_standby():
    cell = cell_with_standby()
    gone = next(m for m in cell.running() if not m.state.is_leader())
    gone.crash()
    cell.step_until(lambda: cell.leader() and "m9" in voter_ids(cell))
    assert gone.member_id not in voter_ids(cell)
    assert len(voter_ids(cell)) == 3
    # The cell also tolerates a second crash right after the replacement.
    second = next(m for m in cell.running() if not m.state.is_leader())
    second.crash()
    cell.commit("after two losses")


def test_a_briefly_isolated_voter_stays_a_voter():
    cell = cell_with_standby()
    partitioned = next(m for m in cell.running() if not m.state.is_leader())
    cell.isolate(partitioned.member_id)
    cell.step(15)
    cell.cut.clear()
    cell.step(40)
    assert voter_ids(cell) == {"m0", "m1", "m2"}


def test_a_replaced_voter_is_a_standby_when_it_returns():
    cell = cell_with_standby()
    partitioned = next(m for m in cell.running() if not m.state.is_leader())
    cell.isolate(partitioned.member_id)
    cell.step_until(lambda: "m9" in voter_ids(cell))
    cell.cut.clear()
    cell.commit("while it stands by")
    cell.step(20)
    assert len(voter_ids(cell)) == 3
    assert max(partitioned.log.state_machine.commands) == max(cell.committed)


def test_an_unresponsive_voter_stays_a_voter_without_a_standby():
    cell = Cell()
    cell.commit("before")
    crashed = next(m for m in cell.running() if not m.state.is_leader())
    crashed.crash()
    cell.step(100)
    assert voter_ids(cell) == {"m0", "m1", "m2"}


def test_a_member_that_knows_only_a_follower_finds_the_leader():
    cell = Cell()
    cell.commit("before")
    follower = next(m for m in cell.running() if not m.state.is_leader())
    joined = add(cell, "m9", known_members=[follower.member_id])
    cell.step_until(lambda: "m9" in cell.leader().state.membership.members)
    cell.step_until(lambda: joined.log.state_machine.commands)

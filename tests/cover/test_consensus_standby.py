"""Members that stand by take the place of voters that fall silent."""

from tests.common.cell import Cell, Member


def cell_with_standby(voters=3):
    """A cell of three voters with one member that was added later."""
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


def voting(cell):
    members = cell.leader().state.membership.members
    return {name for name, record in members.items() if record.voter}


def test_a_member_beyond_the_limit_stands_by():
    cell = cell_with_standby()
    assert voting(cell) == {"m0", "m1", "m2"}
    assert "m9" in cell.leader().state.membership.members


def test_below_the_limit_a_member_that_has_caught_up_votes():
    cell = cell_with_standby(voters=5)
    assert voting(cell) == {"m0", "m1", "m2", "m9"}


def test_a_voter_that_is_gone_is_replaced():
    cell = cell_with_standby()
    gone = next(m for m in cell.running() if not m.state.is_leader())
    gone.crash()
    cell.step_until(lambda: cell.leader() and "m9" in voting(cell))
    assert gone.member_id not in voting(cell)
    assert len(voting(cell)) == 3
    # A second loss right after the replacement is borne.
    second = next(m for m in cell.running() if not m.state.is_leader())
    second.crash()
    cell.commit("after two losses")


def test_a_voter_that_was_cut_off_for_a_moment_keeps_its_vote():
    cell = cell_with_standby()
    cut = next(m for m in cell.running() if not m.state.is_leader())
    cell.isolate(cut.member_id)
    cell.step(15)
    cell.cut.clear()
    cell.step(40)
    assert voting(cell) == {"m0", "m1", "m2"}


def test_a_voter_that_lost_its_place_stands_by_when_it_returns():
    cell = cell_with_standby()
    cut = next(m for m in cell.running() if not m.state.is_leader())
    cell.isolate(cut.member_id)
    cell.step_until(lambda: "m9" in voting(cell))
    cell.cut.clear()
    cell.commit("while it stands by")
    cell.step(20)
    assert len(voting(cell)) == 3
    assert max(cut.log.state_machine.commands) == max(cell.committed)


def test_without_a_member_that_stands_by_a_silent_voter_keeps_its_vote():
    cell = Cell()
    cell.commit("before")
    silent = next(m for m in cell.running() if not m.state.is_leader())
    silent.crash()
    cell.step(100)
    assert voting(cell) == {"m0", "m1", "m2"}


def test_a_member_that_knows_a_follower_alone_finds_the_leader():
    cell = Cell()
    cell.commit("before")
    follower = next(m for m in cell.running() if not m.state.is_leader())
    joined = add(cell, "m9", known_members=[follower.member_id])
    cell.step_until(lambda: "m9" in cell.leader().state.membership.members)
    cell.step_until(lambda: joined.log.state_machine.commands)

"""Failures that the replicated log has to survive, one at a time."""

from tests.common.cell import Cell


def test_commits_on_every_member():
    cell = Cell()
    for number in range(20):
        cell.commit(f"c{number}")
    cell.step(4)
    for member in cell.running():
        assert list(member.log.state_machine.commands.values()) == [
            f"c{number}" for number in range(20)
        ]


def test_survives_a_second_loss_right_after_a_repair():
    cell = Cell()
    cell.commit("before")
    for name in ["m0", "m1", "m2", "m1"]:
        member = cell.members[name]
        member.crash()
        member.replace_disk()
        member.start()
        identity = member.storage.identity
        cell.commit(f"while {name} is repaired")
        cell.step_until(lambda identity=identity: identity in cell.voters())
    assert len(cell.voters()) == 3
    assert list(cell.committed.values())[0] == "before"
    cell.commit("after")
    cell.step(4)
    for member in cell.running():
        assert member.log.state_machine.commands == cell.committed


def test_isolated_member_forces_no_election_on_return():
    cell = Cell()
    leader = cell.serving_leader()
    term = leader.state.term
    away = next(member for member in cell.running() if member is not leader)
    cell.isolate(away.member_id)
    cell.step(400)
    cell.commit("meanwhile")
    cell.cut.clear()
    cell.step(100)
    assert cell.leader() is leader
    assert leader.state.term == term
    assert away.log.state_machine.commands == cell.committed

"""Failures that the replicated log has to survive, one at a time."""

from godwitwheel.consensus import core, replication
from tests.common.cell import ELECTION_TIMEOUT_S, Cell


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


def test_refuses_votes_while_a_leader_may_count_on_silence():
    cell = Cell()
    leader = cell.serving_leader()
    cell.step(2)
    rest = [member for member in cell.running() if member is not leader]
    candidate, voter = rest
    candidate.state.election_deadline = 0.0
    cell.isolate(leader.member_id)
    cell.step()
    assert leader.state.term == candidate.state.term == voter.state.term
    # A restart forgets when the leader was last heard, so it counts as contact.
    cell.clock.advance(2 * ELECTION_TIMEOUT_S)
    voter.crash()
    voter.start()
    candidate.state.election_deadline = 0.0
    cell.step()
    assert leader.state.term == candidate.state.term == voter.state.term


def test_founds_no_second_cell_after_a_majority_lost_its_disks():
    cell = Cell()
    cell.commit("before")
    cell.step(2)
    survivor = cell.members["m2"]
    for name in ("m0", "m1"):
        cell.members[name].crash()
        cell.members[name].replace_disk()
        cell.members[name].start()
    for cut_off in (True, False):
        if cut_off:
            cell.isolate("m2")
        cell.step(100)
        assert not any(member.state.is_leader() for member in cell.running())
        cell.cut.clear()
    assert list(survivor.log.state_machine.commands.values()) == ["before"]


def test_empty_disk_returns_as_learner():
    cell = Cell()
    leader = cell.serving_leader()
    lost, away = (member for member in cell.running() if member is not leader)
    old_identity = lost.storage.identity
    cell.commit("before")
    lost.crash()
    lost.replace_disk()
    lost.start()
    cell.isolate(away.member_id)
    cell.step(60)
    # With the lost disk and the absent member no quorum is left: the empty disk
    # must not stand in for the old voter.
    assert not any(member.state.is_leader() for member in cell.running())
    assert not lost.state.is_voter()
    cell.cut.clear()
    cell.step_until(lambda: lost.log is not None and lost.state.is_voter())
    seen = cell.serving_leader().state.membership
    assert old_identity in seen.retired


def test_promotes_a_learner_only_once_it_has_caught_up():
    cell = Cell(snapshot_entries=50)
    leader = cell.serving_leader()
    for number in range(300):
        leader.log.core.propose(b"c%d" % number)
    cell.step(10)
    lost = next(member for member in cell.running() if member is not leader)
    lost.crash()
    lost.replace_disk()
    lost.start()
    cell.step_until(lambda: lost.storage.identity in cell.voters())
    assert len(lost.log.state_machine.commands) == 300


def test_far_behind_member_catches_up_by_snapshot(monkeypatch):
    monkeypatch.setattr(replication, "SNAPSHOT_PART_BYTES", 500)
    monkeypatch.setattr(core, "TRAILING_ENTRIES", 10)
    cell = Cell(snapshot_entries=50)
    leader = cell.serving_leader()
    away = next(member for member in cell.running() if member is not leader)
    cell.isolate(away.member_id)
    for number in range(400):
        leader.log.core.propose(b"c%d" % number)
        if number % 7 == 0:
            cell.step()
    assert leader.state.log.base_index > away.state.log.last_index
    cell.cut.clear()
    cell.step_until(lambda: away.log.state_machine.commands == cell.committed)
    away.crash()
    away.start()
    assert away.state.snapshot.index >= 300
    cell.commit("after")
    cell.step_until(lambda: away.log.state_machine.commands == cell.committed)


def test_elects_a_removed_leader_that_alone_holds_its_removal():
    cell = Cell(size=4)
    leader = cell.serving_leader()
    down = next(member for member in cell.running() if member is not leader)
    down.crash()
    cell.isolate(leader.member_id)
    assert leader.log.core.remove_member(leader.member_id)
    leader.work()
    cell.in_flight.clear()
    leader.crash()
    leader.start()
    cell.cut.clear()
    cell.commit("after")
    assert leader.storage.identity not in cell.voters()

"""Failures that the replicated log has to survive, one at a time."""

import json

import pytest

from godwitwheel.consensus import core, driver, log, transfer
from godwitwheel.consensus.errors import MemberFailed, NotLeader
from godwitwheel.consensus.messages import Append, Hello, SnapshotPart, VoteRequest
from godwitwheel.consensus.state import FIRST_CONTACT_HEARTBEATS
from godwitwheel.internal.loop import sleep
from tests.common.cell import (
    ELECTION_TIMEOUT_S,
    STEP_S,
    Cell,
    Member,
    ReadProbe,
)


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
    partitioned = next(member for member in cell.running() if member is not leader)
    cell.isolate(partitioned.member_id)
    cell.step(400)
    cell.commit("meanwhile")
    cell.cut.clear()
    cell.step(100)
    assert cell.leader() is leader
    assert leader.state.term == term
    assert partitioned.log.state_machine.commands == cell.committed


def test_refuses_votes_shortly_after_contact_with_a_leader():
    cell = Cell()
    leader = cell.serving_leader()
    cell.step(2)
    rest = [member for member in cell.running() if member is not leader]
    candidate, voter = rest
    candidate.state.election_deadline = 0.0
    cell.isolate(leader.member_id)
    cell.step()
    assert leader.state.term == candidate.state.term == voter.state.term
    # A restarted member does not know when a leader last contacted it, so the restart
    # itself counts as contact.
    cell.clock.advance(2 * ELECTION_TIMEOUT_S)
    voter.crash()
    voter.start()
    candidate.state.election_deadline = 0.0
    cell.step()
    assert leader.state.term == candidate.state.term == voter.state.term


@pytest.mark.parametrize("seed", range(5))
def test_elects_a_leader_within_some_heartbeats_after_all_members_restarted(seed):
    # Waiting for a whole election timeout would leave all callers unserved meanwhile.
    cell = Cell(size=5, seed=seed)
    cell.commit("before")
    for member in cell.members.values():
        member.crash()
    for member in cell.members.values():
        member.start()
    started_at = cell.clock.now()
    cell.serving_leader()
    assert cell.clock.now() - started_at <= 3 * FIRST_CONTACT_HEARTBEATS * STEP_S
    assert list(cell.committed.values())[0] == "before"


def test_restarted_member_does_not_depose_the_leader():
    cell = Cell()
    leader = cell.serving_leader()
    term = leader.state.term
    restarted = next(member for member in cell.running() if member is not leader)
    restarted.crash()
    cell.step(100)
    restarted.start()
    cell.step(100)
    assert cell.leader() is leader
    assert leader.state.term == term


def test_bootstraps_no_second_cell_after_a_majority_lost_its_disks():
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


def test_member_with_an_empty_disk_rejoins_as_a_learner():
    cell = Cell()
    leader = cell.serving_leader()
    lost, partitioned = (member for member in cell.running() if member is not leader)
    old_identity = lost.storage.identity
    cell.commit("before")
    lost.crash()
    lost.replace_disk()
    lost.start()
    cell.isolate(partitioned.member_id)
    cell.step(60)
    # Without the lost disk and the partitioned member there is no quorum: the member
    # with the empty disk must not count as the old voter.
    assert not any(member.state.is_leader() for member in cell.running())
    assert not lost.state.is_voter()
    cell.cut.clear()
    cell.step_until(lambda: lost.log is not None and lost.state.is_voter())
    seen = cell.serving_leader().state.membership
    assert old_identity in seen.retired


def test_promotes_a_learner_only_once_it_has_caught_up():
    cell = Cell()
    leader = cell.serving_leader()
    for number in range(300):
        leader.log.core.propose(b"c%d" % number)
    cell.step(10)
    lost = next(member for member in cell.running() if member is not leader)
    lost.crash()
    lost.replace_disk()
    lost.start()
    identity = lost.storage.identity
    cell.drops = lambda message: (
        isinstance(message, Append)
        and (message.target_identity == identity and message.entries)
    )
    cell.step(40)
    assert identity in {
        record.identity for record in leader.state.membership.members.values()
    }
    assert identity not in cell.voters()
    cell.drops = lambda message: False
    cell.step_until(lambda: identity in cell.voters())
    assert len(lost.log.state_machine.commands) == 300


def test_far_behind_member_catches_up_by_snapshot(monkeypatch):
    monkeypatch.setattr(transfer, "SNAPSHOT_PART_BYTES", 500)
    monkeypatch.setattr(core, "TRAILING_ENTRIES", 10)
    cell = Cell(snapshot_entries=50)
    leader = cell.serving_leader()
    partitioned = next(member for member in cell.running() if member is not leader)
    cell.isolate(partitioned.member_id)
    for number in range(400):
        leader.log.core.propose(b"c%d" % number)
        if number % 7 == 0:
            cell.step()
    assert leader.state.log.base_index > partitioned.state.log.last_index
    cell.cut.clear()
    cell.step_until(lambda: partitioned.log.state_machine.commands == cell.committed)
    partitioned.crash()
    partitioned.start()
    assert partitioned.state.snapshot.index >= 300
    cell.commit("after")
    cell.step_until(lambda: partitioned.log.state_machine.commands == cell.committed)


def test_elects_a_removed_leader_that_alone_holds_its_removal():
    cell = Cell(size=4)
    leader = cell.serving_leader()
    down = next(member for member in cell.running() if member is not leader)
    down.crash()
    cell.isolate(leader.member_id)
    assert leader.log.remove_member(leader.member_id)
    leader.work()
    cell.in_flight.clear()
    leader.crash()
    leader.start()
    cell.cut.clear()
    cell.commit("after")
    assert leader.storage.identity not in cell.voters()


def test_removes_no_member_whose_absence_would_leave_no_quorum():
    cell = Cell(size=5)
    leader = cell.serving_leader()
    rest = [member for member in cell.running() if member is not leader]
    rest[0].crash()
    rest[1].crash()
    cell.step(30)
    assert not leader.log.remove_member(rest[2].member_id)
    assert leader.log.remove_member(rest[0].member_id)
    cell.commit("after")


def test_lagging_member_answers_a_leader_that_was_added_later():
    cell = Cell()
    leader = cell.serving_leader()
    partitioned = next(member for member in cell.running() if member is not leader)
    cell.isolate(partitioned.member_id)
    added = cell.members["m3"] = Member(cell, "m3", join=True)
    added.start()
    cell.step_until(lambda: added.storage.identity in cell.voters())
    leader.crash()
    cell.cut.clear()
    cell.step(4)
    cell.elect(added)
    cell.commit("after")
    cell.step_until(lambda: partitioned.log.state_machine.commands == cell.committed)


def test_commits_no_entry_of_an_earlier_term_by_counting_copies(monkeypatch):
    monkeypatch.setattr(log, "MAX_APPEND_ENTRIES", 1)
    cell = Cell(size=5)
    first, second, third, _, last = cell.members.values()
    if cell.serving_leader() is not first:
        cell.elect(first)
    cell.step(4)
    # Only the second member receives the entry of the first leader.
    cell.isolate(first.member_id, second.member_id)
    first.log.core.propose(b"copied")
    cell.step(4)
    first.crash()
    cell.cut.clear()
    cell.isolate(second.member_id)
    # The last member becomes leader next, but no other member receives its entry.
    cell.drops = lambda message: isinstance(message, Append)
    cell.elect(last)
    last.crash()
    cell.cut.clear()
    # The first member becomes leader again: its old entry reaches a majority, its new
    # one reaches no other member.
    first.start()

    def drops(message):
        if not isinstance(message, Append):
            return False
        has_new = any(entry.term == first.state.term for entry in message.entries)
        held = cell.members[message.target].state.log.last_index
        return has_new and held >= message.previous_index

    cell.drops = drops
    cell.elect(first)
    cell.step(10)
    copied = first.state.log.last_index - 1
    assert third.state.log.term_at(copied) == first.state.log.term_at(copied)
    first.crash()
    cell.drops = lambda message: False
    last.start()
    cell.elect(last)
    cell.commit("after")
    assert "copied" not in cell.committed.values()


def test_compacts_a_log_of_few_but_large_commands(monkeypatch):
    monkeypatch.setattr(driver, "MAX_LOG_BYTES", 4000)
    monkeypatch.setattr(core, "TRAILING_BYTES", 2000)
    cell = Cell()
    for number in range(20):
        cell.commit(f"{number:01000}")
        for member in cell.running():
            assert member.state.log.size_bytes < 6000
    cell.members["m0"].crash()
    cell.members["m0"].start()
    cell.commit("after")


def test_member_with_a_failed_disk_neither_replies_nor_leads():
    cell = Cell()
    leader = cell.serving_leader()
    leader.log.core.propose(b"never synced")
    leader.storage.crash_at = "before"
    request = VoteRequest(
        cell="",
        source="",
        source_identity="",
        target="",
        target_identity="",
        term=0,
        pre_vote=True,
        last_index=0,
        last_term=0,
    )
    assert leader.log.exchange([request]) == []
    assert leader.log.failure is not None
    for call in (leader.log.confirm_leadership, lambda s: leader.log.propose(b"", s)):
        with pytest.raises(NotLeader):
            call(1.0)
    assert leader.log.leader_since() is None


def test_new_leader_reads_and_changes_nothing_before_its_first_entry_commits():
    cell = Cell(size=5)
    old = cell.serving_leader()
    cell.commit("known to the old leader only")
    old.crash()
    cell.drops = lambda message: isinstance(message, Append) and bool(message.entries)
    new = cell.running()[0]
    cell.elect(new)
    probe = ReadProbe(new)
    new.work()
    cell.step(6)
    assert probe.request.confirmed
    assert not probe.done
    assert not new.log.remove_member(old.member_id)
    cell.drops = lambda message: False
    cell.step(4)
    assert probe.done
    assert new.log.remove_member(old.member_id)


def test_snapshot_keeps_acknowledged_entries_after_it():
    cell = Cell()
    leader = cell.serving_leader()
    cell.step(4)
    behind = next(member for member in cell.running() if member is not leader)
    cell.drops = lambda message: (
        isinstance(message, Append)
        and message.target == behind.member_id
        and message.commit_index > behind.state.commit_index
    )
    first = leader.log.core.propose(b"first")
    last = leader.log.core.propose(b"last")
    cell.step(4)
    assert behind.state.commit_index < first.index
    assert leader.state.progress[behind.member_id].match_index == last.index
    data = json.dumps({first.index: "first"}).encode()
    leader.state.send(
        SnapshotPart,
        behind.member_id,
        behind.state.identity,
        index=first.index,
        last_term=first.term,
        membership=leader.state.membership,
        offset=0,
        total_bytes=len(data),
        data=data,
        round=0,
    )
    cell.settle()
    assert behind.state.snapshot.index == first.index
    behind.crash()
    behind.start()
    assert behind.state.log.last_index == last.index


def test_applies_each_entry_once_when_another_task_works_in_between():
    cell = Cell(size=1)
    leader = cell.serving_leader()
    machine = leader.log.state_machine
    apply = machine.apply

    def apply_and_yield(index, command):
        leader.log.do_work()
        return apply(index, command)

    machine.apply = apply_and_yield
    for number in range(3):
        leader.log.core.propose(b"c%d" % number)
    cell.step(2)
    assert list(machine.commands.values()) == ["c0", "c1", "c2"]


def test_rolls_back_a_membership_that_was_never_committed():
    cell = Cell(size=4)
    old = cell.serving_leader()
    cell.step(2)
    cell.isolate(old.member_id)
    removed = next(member for member in cell.running() if member is not old)
    assert old.log.remove_member(removed.member_id)
    old.work()
    cell.step_until(lambda: cell.leader() is not old and not old.state.is_leader())
    assert removed.member_id not in old.state.membership.members
    cell.cut.clear()
    cell.commit("after")
    cell.step(4)
    assert len({str(member.state.membership) for member in cell.running()}) == 1
    assert removed.member_id in old.state.membership.members


def test_ignores_a_removed_member_and_messages_of_another_cell():
    cell = Cell(size=4)
    leader = cell.serving_leader()
    removed = next(member for member in cell.running() if member is not leader)
    assert leader.log.remove_member(removed.member_id)
    cell.step(4)
    hello = Hello(
        cell="",
        source=removed.member_id,
        source_identity=removed.storage.identity,
        source_address=removed.member_id,
        target=leader.member_id,
        target_identity="",
        term=0,
        founders=[],
    )
    cell.in_flight.append((removed.member_id, leader.member_id, hello))
    cell.step(100)
    assert removed.member_id not in leader.state.membership.members
    term = leader.state.term
    request = VoteRequest(
        cell="another",
        source=leader.member_id,
        source_identity=leader.storage.identity,
        target=removed.member_id,
        target_identity=removed.storage.identity,
        term=term + 5,
        pre_vote=False,
        last_index=1000,
        last_term=term + 5,
    )
    cell.in_flight.append((leader.member_id, removed.member_id, request))
    cell.step(20)
    assert removed.state.term == cell.leader().state.term == term


def test_a_member_that_fails_unexpectedly_stops_and_starts_again_with_its_log():
    """It went on without applying anything, and led or voted nevertheless."""
    cell = Cell()
    cell.commit("before")
    member = next(each for each in cell.running() if not each.state.is_leader())

    def fail(index, command):
        raise ZeroDivisionError

    member.log.state_machine.apply = fail
    with pytest.raises(ZeroDivisionError):
        cell.commit("meanwhile")
    with member.log as log:
        while log.failure is None:
            sleep(STEP_S)
        assert isinstance(log.failure, MemberFailed)
        assert log.leader_since() is None
        with pytest.raises(NotLeader):
            log.propose(b"x", STEP_S)
    member.crash()
    member.start()
    cell.commit("after")
    cell.step(4)
    assert member.log.state_machine.commands == cell.committed

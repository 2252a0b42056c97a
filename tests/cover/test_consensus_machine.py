"""Fuzzes a cell against an oracle; the checks live in ``tests.common.cell``."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from pytest import MonkeyPatch

from godwitwheel.consensus import core, log, replication
from tests.common.cell import Cell, Member

MAX_MEMBERS = 5
pick = st.integers(0, MAX_MEMBERS - 1)


class CellMachine(RuleBasedStateMachine):
    """Members that crash, forget, get cut off, join and leave."""

    def __init__(self):
        super().__init__()
        self.proposed = 0
        self.patches = MonkeyPatch()

    @initialize(
        size=st.integers(3, MAX_MEMBERS),
        seed=st.integers(0, 2**16),
        snapshot_entries=st.sampled_from([3, 20, 4096]),
        append_entries=st.sampled_from([1, 3, 512]),
    )
    def found(self, size, seed, snapshot_entries, append_entries):
        self.patches.setattr(log, "MAX_APPEND_ENTRIES", append_entries)
        self.patches.setattr(core, "TRAILING_ENTRIES", append_entries)
        self.patches.setattr(replication, "SNAPSHOT_PART_BYTES", 100)
        self.cell = Cell(size, seed, snapshot_entries)
        self.cell.serving_leader()

    def member(self, number: int) -> Member:
        members = list(self.cell.members.values())
        return members[number % len(members)]

    @rule(steps=st.integers(1, 12))
    def pass_time(self, steps):
        self.cell.step(steps)

    @rule(steps=st.integers(1, 30), loss=st.sampled_from([0.0, 0.1, 0.4]))
    def pass_disorderly_time(self, steps, loss):
        for _ in range(steps):
            self.cell.disorderly_step(loss)

    @rule(number=pick, count=st.integers(1, 8))
    def propose(self, number, count):
        member = self.member(number)
        if member.log is None:
            return
        for _ in range(count):
            self.proposed += 1
            member.log.core.propose(b"c%d" % self.proposed)

    @rule()
    def propose_at_leader(self):
        leader = self.cell.leader()
        if leader is not None:
            self.proposed += 1
            leader.log.core.propose(b"c%d" % self.proposed)
            leader.work()

    @rule()
    def confirm_leadership(self):
        self.cell.read_everywhere()

    @rule(steps=st.integers(6, 24), pauses=st.booleans())
    def read_at_deposed_leader(self, steps, pauses):
        leader = self.cell.leader()
        if leader is None:
            return
        self.cell.cut.clear()
        self.cell.isolate(leader.member_id)
        if pauses:
            self.cell.paused.add(leader.member_id)
        self.cell.step(steps)
        self.propose_at_leader()
        self.cell.settle()
        self.cell.paused.clear()
        self.cell.read_everywhere()

    @rule(number=pick)
    def isolate(self, number):
        self.cell.isolate(self.member(number).member_id)

    @rule(first=pick, second=pick)
    def cut_link(self, first, second):
        names = (self.member(first).member_id, self.member(second).member_id)
        self.cell.cut.add(frozenset(names))

    @rule()
    def heal(self):
        self.cell.cut.clear()

    @rule(number=pick)
    def return_after_long_isolation(self, number):
        self.cell.cut.clear()
        self.cell.isolate(self.member(number).member_id)
        self.cell.step(60)
        self.cell.cut.clear()

    @rule(number=pick, at=st.sampled_from(["now", "before", "after"]))
    def crash(self, number, at):
        member = self.member(number)
        if member.log is None:
            return
        if at == "now":
            member.crash()
        else:
            member.storage.crash_at = at

    @rule(number=pick)
    def restart(self, number):
        member = self.member(number)
        if member.log is not None:
            member.crash()
        member.start()

    @rule(number=pick, starts=st.booleans())
    def lose_disk(self, number, starts):
        member = self.member(number)
        if not self.cell.bears_loss_of(member):
            return
        if member.log is not None:
            member.crash()
        member.replace_disk()
        if starts:
            member.start()

    @precondition(lambda self: len(self.cell.members) < MAX_MEMBERS)
    @rule()
    def add_member(self):
        name = f"m{len(self.cell.members)}"
        member = self.cell.members[name] = Member(self.cell, name, join=True)
        member.start()

    @rule(number=pick)
    def remove_member(self, number):
        leader = self.cell.leader()
        if leader is None or len(self.cell.voters()) <= 2:
            return
        leader.log.core.remove_member(self.member(number).member_id)

    def teardown(self):
        try:
            if hasattr(self, "cell"):
                self.check_convergence()
        finally:
            self.patches.undo()

    def check_convergence(self):
        self.cell.cut.clear()
        for member in self.cell.members.values():
            member.storage.crash_at = ""
            if member.log is None:
                member.start()
        self.cell.step(10)
        self.cell.commit("last")
        self.cell.step(20)
        for member in self.cell.running():
            if member.storage.identity in self.cell.voters():
                assert member.log.state_machine.commands == self.cell.committed


CellMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=50)
TestCell = CellMachine.TestCase

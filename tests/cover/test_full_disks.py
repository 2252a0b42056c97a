"""Disks of control members that are full for some seconds, one after another.

A full disk refuses every write. Two are never full at once, so that changes have to be
committed all the time, and by every member once the last disk has room again.
"""

import contextlib
import errno
import os

import pytest

from godwitwheel.consensus.errors import StorageError
from godwitwheel.consensus.file_storage import FileStorage
from godwitwheel.consensus.messages import HardState, Membership, Snapshot
from godwitwheel.directory.process import REOPEN_DELAY_S
from tests.common.cell import STEP_S, Cell, FakeStorage, Member
from tests.cover.test_consensus_files import entry, fill, load

FULL_S = 4.0
# Bound on the acknowledgement of a change, in seconds.
COMMIT_BOUND_S = 5.0


class FullDisk(StorageError):
    """A write was refused for lack of space."""


class FillingStorage(FakeStorage):
    """A disk that can be full.

    :ivar is_full: whether it refuses every write.
    """

    def __init__(self, identity):
        super().__init__(identity)
        self.is_full = False

    def sync(self):
        if self.is_full and self.pending:
            raise FullDisk
        super().sync()

    def save_snapshot(self, *arguments):
        if self.is_full:
            raise FullDisk
        super().save_snapshot(*arguments)


class FillingCell(Cell):
    """A cell whose members reopen their logs after a failed write."""

    def __init__(self, size, voters, seed, snapshot_entries):
        self.reopen_at = {}
        super().__init__(0, seed, snapshot_entries)
        self.founders = ["m0", "m1", "m2"]
        self.voter_limit = voters
        for number in range(size):
            self.add(f"m{number}")
        self.step_until(lambda: self.leader() and len(self.voters()) == voters)

    def add(self, name):
        member = Member(self, name, join=name not in self.founders)
        member.storage = FillingStorage(member.storage.identity)
        member.work = lambda: self.work(member)
        self.members[name] = member
        member.start()

    def work(self, member):
        log = member.log
        try:
            log.send_appends()
            log.do_work()
        except FullDisk:
            # What of a batch has been written before the disk was full is random.
            member.crash()
            self.reopen_at[member.member_id] = self.clock.now() + REOPEN_DELAY_S
            return
        self.check_leader(member)

    def step(self, count=1):
        for _ in range(count):
            for name, at in list(self.reopen_at.items()):
                if self.clock.now() >= at:
                    del self.reopen_at[name]
                    self.members[name].start()
            super().step()

    def commit_in_time(self, command):
        """Proposes a command again, to the present leader, until it is committed."""
        for _ in range(round(COMMIT_BOUND_S / STEP_S)):
            leader = self.leader()
            if leader is not None and leader.log.leader_since() is not None:
                leader.log.core.propose(command.encode())
            self.step()
            if command in self.committed.values():
                return
        raise AssertionError(f"{command} was not committed within {COMMIT_BOUND_S} s")


@pytest.mark.parametrize("gap_s", [0.1, 1.0])
@pytest.mark.parametrize("snapshot_entries", [7, 4096])
@pytest.mark.parametrize(("size", "voters"), [(3, 3), (5, 3), (5, 5), (6, 5)])
@pytest.mark.parametrize("seed", range(2))
def test_changes_are_committed_while_disks_are_full_in_turn(
    size, voters, snapshot_entries, gap_s, seed
):
    cell = FillingCell(size, voters, seed, snapshot_entries)
    cell.commit_in_time("first")
    names = sorted(cell.members)
    cell.random.shuffle(names)
    for name in [*names, *names]:
        storage = cell.members[name].storage
        storage.is_full = True
        ends_at = cell.clock.now() + FULL_S
        while cell.clock.now() < ends_at:
            cell.commit_in_time(f"{name} is full at {cell.clock.now():.2f}")
        storage.is_full = False
        cell.step(round(gap_s / STEP_S))
    cell.commit_in_time("last")
    cell.step(round(COMMIT_BOUND_S / STEP_S))
    assert len(cell.running()) == size
    for member in cell.running():
        assert member.log.state_machine.commands == cell.committed
    assert len(cell.voters()) == voters


class FullDevice:
    """Refuses writes to files as a device without space does.

    :ivar free_bytes: how much can still be written; ``None`` if it isn't full.
    """

    def __init__(self, monkeypatch):
        self.free_bytes = None
        self.write = os.write
        self.ftruncate = os.ftruncate
        monkeypatch.setattr(os, "write", self.limited_write)
        monkeypatch.setattr(os, "ftruncate", self.limited_ftruncate)

    def limited_write(self, fd, data):
        if self.free_bytes is None:
            return self.write(fd, data)
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = self.write(fd, bytes(data[: self.free_bytes]))
        self.free_bytes -= written
        return written

    def limited_ftruncate(self, fd, length):
        if self.free_bytes is not None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.ftruncate(fd, length)


SNAPSHOT = Snapshot(9, 3, Membership(), b"state" * 9)


def write_entries(storage):
    storage.write(HardState("cell", 1, "vote"), [entry(3), entry(4)])
    storage.sync()


def write_snapshot(storage):
    storage.save_snapshot(SNAPSHOT, HardState("cell", 3), 9, 3, [])


@pytest.mark.parametrize("write", [write_entries, write_snapshot])
def test_a_folder_is_read_again_wherever_a_write_was_refused(
    tmp_path, monkeypatch, write
):
    """All that was synced is kept, and later writes succeed once there is room."""
    device = FullDevice(monkeypatch)
    for free_bytes in range(0, 400, 3):
        folder = tmp_path / str(free_bytes)
        fill(folder, [[entry(1), entry(2)]])
        with FileStorage(folder) as storage:
            storage.load()
            device.free_bytes = free_bytes
            with contextlib.suppress(StorageError):
                write(storage)
        for _ in range(2):
            # A member tries again while the disk is still full.
            device.free_bytes = 0
            with contextlib.suppress(StorageError):
                load(folder)
        device.free_bytes = None
        saved = load(folder)
        is_snapshot = saved.snapshot is not None
        assert is_snapshot or saved.entries[:2] == [entry(1), entry(2)]
        next_index = saved.base_index + len(saved.entries) + 1
        fill(folder, [[entry(next_index, 3)]])
        assert load(folder).entries[-1] == entry(next_index, 3)


def test_a_folder_that_could_not_be_created_is_created_later(tmp_path, monkeypatch):
    device = FullDevice(monkeypatch)
    for free_bytes in range(0, 120, 3):
        folder = tmp_path / str(free_bytes)
        device.free_bytes = free_bytes
        with contextlib.suppress(StorageError):
            load(folder)
        device.free_bytes = None
        assert load(folder).identity

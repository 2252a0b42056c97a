"""The content of the data folder after crashes and damage."""

import os

import pytest

from godwitwheel.consensus.errors import CorruptLog, StorageError
from godwitwheel.consensus.file_storage import FileStorage
from godwitwheel.consensus.messages import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
)


def entry(index, term=1):
    return Entry(index, term, EntryKind.command, b"command %d" % index)


def load(folder):
    with FileStorage(folder) as storage:
        return storage.load()


def fill(folder, batches):
    with FileStorage(folder) as storage:
        storage.load()
        sizes = [storage.size]
        for batch in batches:
            storage.write(HardState("cell", 1, "vote"), batch)
            storage.sync()
            sizes.append(storage.size)
    return sizes


def test_keeps_every_synced_batch_wherever_the_tail_is_torn(tmp_path):
    sizes = fill(tmp_path, [[entry(1), entry(2)], [entry(3)]])
    content = (tmp_path / "log").read_bytes()
    for length in range(sizes[1], sizes[2]):
        for filler in (b"", b"\0" * 40, b"\xff" * 40):
            (tmp_path / "log").write_bytes(content[:length] + filler)
            saved = load(tmp_path)
            assert saved.entries[:2] == [entry(1), entry(2)]
            assert saved.hard_state == HardState("cell", 1, "vote")
    fill(tmp_path, [[entry(3, term=2)], [entry(4, term=2)]])
    assert load(tmp_path).entries[2:] == [entry(3, 2), entry(4, 2)]


def test_drops_intact_records_after_a_torn_one(tmp_path):
    sizes = fill(tmp_path, [[entry(1), entry(2)], [entry(3), entry(4)]])
    content = bytearray((tmp_path / "log").read_bytes())
    content[sizes[1]] ^= 0x41
    (tmp_path / "log").write_bytes(bytes(content))
    # The new batch ends exactly where the last record of the torn batch begins. That
    # record is intact and must not be read as part of the log.
    fill(tmp_path, [[entry(3)]])
    assert load(tmp_path).entries == [entry(1), entry(2), entry(3)]


def test_refuses_a_damaged_record_that_was_synced(tmp_path):
    sizes = fill(tmp_path, [[entry(1), entry(2)], [entry(3)]])
    content = (tmp_path / "log").read_bytes()
    for position in range(sizes[1]):
        damaged = bytearray(content)
        damaged[position] ^= 0x41
        (tmp_path / "log").write_bytes(bytes(damaged))
        with pytest.raises(CorruptLog):
            load(tmp_path)


@pytest.mark.parametrize("name", ["log", "snapshot", "identity"])
def test_refuses_a_folder_with_a_missing_or_damaged_file(tmp_path, name):
    fill(tmp_path, [[entry(1), entry(2)]])
    with FileStorage(tmp_path) as storage:
        storage.load()
        snapshot = Snapshot(2, 1, Membership(), b"state")
        storage.save_snapshot(snapshot, HardState("cell", 1), 2, 1, [])
    content = (tmp_path / name).read_bytes()
    (tmp_path / name).write_bytes(content[:-1] + bytes([content[-1] ^ 0x41]))
    if name != "log":
        with pytest.raises(CorruptLog):
            load(tmp_path)
    (tmp_path / name).unlink()
    with pytest.raises(CorruptLog):
        load(tmp_path)


def test_crash_between_snapshot_and_log_leaves_the_snapshot(tmp_path, monkeypatch):
    fill(tmp_path, [[entry(1), entry(2)]])
    snapshot = Snapshot(9, 3, Membership(), b"state")
    renames = []

    def rename_once(source, target):
        if renames:
            raise OSError("power lost")
        renames.append(target)
        os.replace(source, target)

    with FileStorage(tmp_path) as storage:
        storage.load()
        monkeypatch.setattr(os, "rename", rename_once)
        with pytest.raises(StorageError):
            storage.save_snapshot(snapshot, HardState("cell", 3), 9, 3, [])
    monkeypatch.undo()
    fill(tmp_path, [[entry(10, 3)]])
    saved = load(tmp_path)
    assert saved.snapshot == snapshot
    assert (saved.base_index, saved.entries) == (9, [entry(10, 3)])


def test_syncs_before_it_returns(tmp_path, monkeypatch):
    synced = []
    real = os.fdatasync
    monkeypatch.setattr(
        os, "fdatasync", lambda fd: synced.append(os.fstat(fd).st_size) or real(fd)
    )
    sizes = fill(tmp_path, [[entry(1)], [entry(2)]])
    assert synced == sizes[1:]


def test_locks_its_folder(tmp_path):
    with FileStorage(tmp_path) as storage:
        storage.load()
        with pytest.raises(StorageError), FileStorage(tmp_path):
            pass


def test_a_log_that_was_read_is_synced_before_anything_relies_on_it(
    tmp_path, monkeypatch
):
    """A process that was killed while it synced leaves a batch that a power loss ends.

    Its next run votes and acknowledges with what it has read.
    """
    fill(tmp_path, [[entry(1)]])
    synced = []
    fsync = os.fsync

    def record_sync(fd):
        synced.append(os.readlink(f"/proc/self/fd/{fd}"))
        fsync(fd)

    monkeypatch.setattr(os, "fsync", record_sync)
    load(tmp_path)
    assert str(tmp_path / "log") in synced

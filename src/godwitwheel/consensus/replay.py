"""Rebuilds the stored state from a snapshot and the records of the log."""

from .errors import CorruptLog
from .messages import Snapshot
from .records import EntryRecord, HardStateRecord, LogStart, Record
from .work import SavedState


def replay(
    identity: str, snapshot: Snapshot | None, records: list[Record]
) -> SavedState:
    """Rebuilds the state from a snapshot and the records of a log.

    :raises CorruptLog: if the first record is not a log start or entries are missing.
    """
    if not records or not isinstance(records[0], LogStart):
        raise CorruptLog("the log does not begin with a LogStart")
    start = records[0]
    snapshot_index = snapshot.index if snapshot is not None else 0
    if start.base_index > snapshot_index:
        raise CorruptLog(f"no snapshot covers the entries up to {start.base_index}")
    saved = SavedState(
        identity,
        snapshot=snapshot,
        base_index=start.base_index,
        base_term=start.base_term,
    )
    for record in records[1:]:
        _replay_record(saved, record)
    return saved


def _replay_record(saved: SavedState, record: Record) -> None:
    if isinstance(record, HardStateRecord):
        saved.hard_state = record.hard_state
    elif isinstance(record, EntryRecord):
        position = record.entry.index - saved.base_index - 1
        if not 0 <= position <= len(saved.entries):
            raise CorruptLog(f"entry {record.entry.index} follows a gap")
        saved.entries[position:] = [record.entry]


def conflicts_with_snapshot(saved: SavedState) -> bool:
    """Whether the log ends before the snapshot or has another term at its index.

    A crash after the snapshot file was renamed, but before its log file was, leaves
    this state.
    """
    snapshot = saved.snapshot
    if snapshot is None or snapshot.index == saved.base_index:
        return False
    position = snapshot.index - saved.base_index - 1
    if position >= len(saved.entries):
        return True
    return saved.entries[position].term != snapshot.term


def reset_to_snapshot(saved: SavedState) -> None:
    """Drops all entries, so that the log starts at the snapshot."""
    saved.entries = []
    saved.base_index = saved.snapshot.index
    saved.base_term = saved.snapshot.term

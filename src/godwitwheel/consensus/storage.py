"""Abstract base of a member's durable storage."""

from abc import ABC, abstractmethod

from .messages import Entry, HardState, Snapshot
from .work import SavedState


class Storage(ABC):
    """Stores the hard state, the log and the latest snapshot.

    Written data is durable only once :meth:`sync` has returned.
    """

    @abstractmethod
    def load(self) -> SavedState:
        """Reads the stored state; creates a new identity if the storage is empty.

        :raises CorruptLog: if a synced record or a snapshot is damaged.
        :raises StorageError: if the storage can't be read.
        """

    @abstractmethod
    def write(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Writes without syncing.

        :param entries: each replaces the entries stored at its index and later.
        :raises StorageError: if the storage can't be written.
        """

    @abstractmethod
    def sync(self) -> None:
        """Makes all written data durable.

        :raises StorageError: if it can't be synced; data written since the last
            call must not be relied on then, and the member has to stop.
        """

    @abstractmethod
    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        base_index: int,
        base_term: int,
        entries: list[Entry],
    ) -> None:
        """Replaces the snapshot and the whole log, and syncs both.

        :param base_index: index before the first of ``entries``; not after the
            snapshot's index.
        :raises StorageError: if the storage can't be written or synced.
        """

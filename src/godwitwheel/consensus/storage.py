"""What a member keeps on its disk, and the abstract base of the disk."""

from abc import ABC, abstractmethod

from .messages import Entry, HardState, Snapshot
from .work import SavedState


class Storage(ABC):
    """Keeps the hard state, the log and the latest snapshot.

    What was written lasts only once :meth:`sync` has returned.
    """

    @abstractmethod
    def load(self) -> SavedState:
        """Reads what was kept, making a new identity if there is nothing.

        :raises CorruptLog: if a synced record or a snapshot is damaged.
        :raises StorageError: if the storage can't be read.
        """

    @abstractmethod
    def write(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Writes without syncing.

        :param entries: each replaces those stored at its index and later.
        :raises StorageError: if the storage can't be written.
        """

    @abstractmethod
    def sync(self) -> None:
        """Makes all that was written last.

        :raises StorageError: if it can't be synced; nothing written since the
            last call may then be relied on, and the member has to stop.
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

        :param base_index: index before the first of ``entries``, at most that of
            the snapshot.
        :raises StorageError: if the storage can't be written or synced.
        """

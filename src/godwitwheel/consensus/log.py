"""The in-memory part of a member's log."""

from .messages import Entry

# Leaves room for a routing table of 256 KiB that is encoded as text in a command.
MAX_APPEND_BYTES = 512 * 1024
MAX_APPEND_ENTRIES = 512
ENTRY_OVERHEAD_BYTES = 32


class EntryLog:
    """Entries after ``base_index``; a snapshot covers the earlier ones.

    :ivar base_index: index of the last dropped entry, 0 if none was dropped.
    :ivar base_term: term of that entry.
    :ivar size_bytes: approximate memory use of the entries.
    """

    __slots__ = ("base_index", "base_term", "entries", "size_bytes")

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: list[Entry] | None = None,
    ):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = entries if entries is not None else []
        self.size_bytes = _size_of(self.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, dropped ones included."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or ``None`` if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Returns the entries from ``first`` to ``last``, both included."""
        start = max(first - self.base_index - 1, 0)
        return self.entries[start : max(last - self.base_index, start)]

    def batch_from(self, first: int) -> list[Entry]:
        """Returns entries from ``first`` on that fit into one message."""
        batch = self.between(first, first + MAX_APPEND_ENTRIES - 1)
        size = 0
        for count, entry in enumerate(batch):
            size += _size_of([entry])
            if size > MAX_APPEND_BYTES and count:
                return batch[:count]
        return batch

    def append(self, entry: Entry) -> None:
        """Appends the entry that follows the last one."""
        self.entries.append(entry)
        self.size_bytes += _size_of([entry])

    def truncate_from(self, index: int) -> None:
        """Drops ``index`` and all later entries."""
        position = max(index - self.base_index - 1, 0)
        self.size_bytes -= _size_of(self.entries[position:])
        del self.entries[position:]

    def compact(self, index: int, term: int) -> None:
        """Drops entries up to ``index``, whose term is ``term``."""
        if index <= self.base_index:
            return
        matches = self.term_at(index) == term
        count = index - self.base_index if matches else len(self.entries)
        self.size_bytes -= _size_of(self.entries[:count])
        del self.entries[:count]
        self.base_index = index
        self.base_term = term

    def compaction_base(self, index: int, entries: int, size_bytes: int) -> int:
        """Returns the index up to which to compact, keeping some entries.

        :param index: last index that may be compacted.
        :param entries: how many entries up to ``index`` to keep at most.
        :param size_bytes: how much memory these may take.
        """
        base_index = index
        while base_index > max(index - entries, self.base_index):
            size_bytes -= _size_of(self.between(base_index, base_index))
            if size_bytes < 0:
                break
            base_index -= 1
        return base_index

    def first_index_of_term(self, index: int) -> int:
        """Returns the first in-memory index of the term that ``index`` has.

        Only consecutive entries before ``index`` are considered.
        """
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index


def _size_of(entries: list[Entry]) -> int:
    return sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in entries)

"""Data exchanged between a member's state, its storage and its driver."""

from .messages import AnyMessage, Entry, HardState, Snapshot


class SavedState:
    """The content of a storage when it was opened.

    :ivar identity: random identity, generated when the storage was created.
    :ivar entries: the log after ``base_index``, without gaps.
    """

    __slots__ = (
        "identity",
        "hard_state",
        "snapshot",
        "base_index",
        "base_term",
        "entries",
    )

    def __init__(
        self,
        identity: str,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        base_index: int = 0,
        base_term: int = 0,
        entries: list[Entry] | None = None,
    ):
        self.identity = identity
        self.hard_state = hard_state or HardState()
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self.entries = entries or []


class ReadRequest:
    """One call that waits for a quorum to confirm the leader.

    :ivar round: its leadership confirmation round; 0 until that begins.
    :ivar index: index that must be applied before the call may return.
    :ivar confirmed: ``None`` while it waits.
    :ivar waiter: set by the driver, which wakes the caller through it.
    """

    __slots__ = ("round", "index", "confirmed", "waiter")

    def __init__(self):
        self.round = 0
        self.index = 0
        self.confirmed: bool | None = None
        self.waiter: object = None


class Work:
    """The actions that the driver has to perform, in this order.

    :ivar snapshot: replaces the stored log and the state machine's state.
    :ivar hard_state: to be stored, or ``None``.
    :ivar entries: to be stored; an entry replaces those at its index and later.
    :ivar messages: to be sent once all of the above is synced.
    :ivar finished_reads: reads that were confirmed or refused.
    """

    __slots__ = ("snapshot", "hard_state", "entries", "messages", "finished_reads")

    def __init__(self):
        self.snapshot: Snapshot | None = None
        self.hard_state: HardState | None = None
        self.entries: list[Entry] = []
        self.messages: list[AnyMessage] = []
        self.finished_reads: list[ReadRequest] = []

    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (
            self.entries
            or self.messages
            or self.finished_reads
            or self.hard_state is not None
            or self.snapshot is not None
        )

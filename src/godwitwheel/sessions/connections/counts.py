"""What the pools of a process have done, for its metrics."""


class PoolCounts:
    """Counts events in all pools of a process.

    :ivar opened: connections that were opened.
    :ivar evicted: idle connections that were closed in favour of another account.
    :ivar waits: requests for a connection that had to wait.
    """

    __slots__ = ("opened", "evicted", "waits")

    def __init__(self):
        self.opened = 0
        self.evicted = 0
        self.waits = 0

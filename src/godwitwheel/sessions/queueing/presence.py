"""Whether the caller of a statement is still connected."""

import contextlib
from collections.abc import Callable, Iterator


class CallerPresence:
    """The presence of one session's caller.

    A caller that has left is never present again. What has been sent to a target is
    not affected: a write that may have run is carried to its end.

    :ivar has_left: whether the caller has disconnected.
    :ivar withdraw: withdraws the session's queued statement; ``None`` if there is none.
    """

    __slots__ = ("has_left", "withdraw")

    def __init__(self):
        self.has_left = False
        self.withdraw: Callable[[], None] | None = None

    def leave(self) -> None:
        """Records that the caller has left, and withdraws its queued statement."""
        if self.has_left:
            return
        self.has_left = True
        if self.withdraw is not None:
            self.withdraw()

    @contextlib.contextmanager
    def queued(self, withdraw: Callable[[], None]) -> Iterator[None]:
        """Calls ``withdraw`` if the caller leaves inside the block.

        :param withdraw: must not wait.
        """
        self.withdraw = withdraw
        try:
            yield
        finally:
            self.withdraw = None

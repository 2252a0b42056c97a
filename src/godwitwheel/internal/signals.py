"""Wakes tasks that wait for a change."""

from .loop import Event, wait_for


class ChangeSignal:
    """Any number of tasks wait; one call wakes them all.

    A waiter checks its condition, then waits, with nothing that yields between,
    so that it misses no change.
    """

    __slots__ = ("event",)

    def __init__(self):
        self.event = Event()

    def wait(self, seconds: float) -> bool:
        """Waits for the next change.

        :param seconds: the longest wait, in seconds.
        :returns: whether there was one.
        """
        return wait_for(self.event, seconds)

    def notify(self) -> None:
        """Wakes all that wait now."""
        event = self.event
        self.event = Event()
        event.send()

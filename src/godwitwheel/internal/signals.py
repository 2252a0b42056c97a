"""Wakes tasks that wait for a change."""

from .loop import Event, wait_for


class ChangeSignal:
    """Any number of tasks wait; one call wakes them all.

    A waiter must not yield to the event loop between checking its condition and
    calling :meth:`wait`, or it may miss a change.
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
        """Wakes all tasks that are waiting."""
        event = self.event
        self.event = Event()
        event.send()

"""Wakes tasks that wait for a change of the blackboard."""

from ..internal.loop import Event, wait_for


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


class GroupSignals:
    """One signal for each group, and all of them for changes of the view."""

    __slots__ = ("by_group",)

    def __init__(self):
        self.by_group: dict[str, ChangeSignal] = {}

    def of(self, group: str) -> ChangeSignal:
        """Returns a group's signal."""
        return self.by_group.setdefault(group, ChangeSignal())

    def notify_all(self) -> None:
        """Wakes the waiters of every group."""
        for signal in self.by_group.values():
            signal.notify()

"""Wakes tasks that wait for a change of a group's state on the blackboard."""

from ..internal.signals import ChangeSignal


class GroupSignals:
    """One signal for each group; a change of the view notifies all of them."""

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

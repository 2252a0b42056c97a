"""Tracks writes sent to a primary and interrupts them on loss of authority."""

import contextlib
from collections.abc import Iterator

from ..blackboard import Blackboard
from ..decisions.acknowledgement import AckDecision, authority_loss
from ..internal.loop import current_task, interrupt
from ..wire.caller import Reason
from .errors import Interrupted

DECISION_REASONS = {
    AckDecision.lease_lost: Reason.no_lease,
    AckDecision.primary_replaced: Reason.primary_replaced,
}


class DispatchedWrite:
    """The group and term under which a write was sent to a primary."""

    __slots__ = ("group", "term")

    def __init__(self, group: str, term: int):
        self.group = group
        self.term = term


class WritesInFlight:
    """Interrupts a write as soon as this proxy may no longer acknowledge it.

    The caller is answered at once that the outcome is unknown, instead of waiting
    for a primary that may never reply.

    :ivar by_task: the write that each waiting task has sent to a primary.
    """

    __slots__ = ("blackboard", "by_task")

    def __init__(self, blackboard: Blackboard):
        self.blackboard = blackboard
        self.by_task: dict[object, DispatchedWrite] = {}

    @contextlib.contextmanager
    def dispatched(self, group: str, term: int) -> Iterator[None]:
        """Marks the current task as waiting for a primary inside the block.

        :raises Interrupted: inside the block, if the write may no longer be
            acknowledged.
        """
        task = current_task()
        self.by_task[task] = DispatchedWrite(group, term)
        try:
            yield
        finally:
            del self.by_task[task]

    def interrupt_revoked(self, now: float) -> None:
        """Interrupts the writes that may no longer be acknowledged."""
        for task, write in self.by_task.items():
            view = self.blackboard.view.groups.get(write.group)
            decision = AckDecision.primary_replaced
            if view is not None:
                decision = authority_loss(write.term, view, self.blackboard.lease, now)
            if decision is not None:
                self._interrupt(task, write, decision)

    def _interrupt(self, task: object, write: DispatchedWrite, decision: AckDecision):
        error = Interrupted(DECISION_REASONS[decision])
        interrupt(task, error, lambda: self.by_task.get(task) is write)

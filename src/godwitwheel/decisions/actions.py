"""Actions that the leader's controllers return for the executor to carry out."""

from ..control.commands import Command, Floor
from ..observe.events import EventName


class Action:
    """Base of all actions."""

    __slots__ = ()


class RecordEvent(Action):
    """Record an event."""

    __slots__ = ("event", "fields")

    def __init__(self, event: EventName, **fields: object):
        self.event = event
        self.fields = fields


class Propose(Action):
    """Commit a command.

    :ivar applied_event: event recorded once the command was applied.
    :ivar proposed_event: event recorded when the command is proposed.
    """

    __slots__ = ("command", "applied_event", "proposed_event")

    def __init__(
        self,
        command: Command,
        applied_event: RecordEvent,
        proposed_event: RecordEvent | None = None,
    ):
        self.command = command
        self.applied_event = applied_event
        self.proposed_event = proposed_event


class VerifyAnnouncement(Action):
    """Query the identity of the target at an announced address."""

    __slots__ = ("target_id", "address")

    def __init__(self, target_id: str, address: str):
        self.target_id = target_id
        self.address = address


class TargetRequest(Action):
    """Base of requests to a target that it answers with its status.

    :ivar sent_at: when the request is sent, in seconds of the clock.
    :ivar floor: position that the target was known to hold before that; a lower one
        in the reply means that it lost log entries.
    """

    __slots__ = ("target_id", "sent_at", "floor")

    def __init__(self, target_id: str, sent_at: float, floor: Floor | None):
        self.target_id = target_id
        self.sent_at = sent_at
        self.floor = floor


class QueryStatus(TargetRequest):
    """Query a target's status."""

    __slots__ = ()


class OrderPromotion(TargetRequest):
    """Promote a target to primary of ``term``."""

    __slots__ = ("term",)

    def __init__(self, target_id: str, sent_at: float, floor: Floor | None, term: int):
        super().__init__(target_id, sent_at, floor)
        self.term = term


class OrderFollow(TargetRequest):
    """Make a target replicate from the primary of ``term``."""

    __slots__ = ("term", "primary_id")

    def __init__(
        self,
        target_id: str,
        sent_at: float,
        floor: Floor | None,
        term: int,
        primary_id: str,
    ):
        super().__init__(target_id, sent_at, floor)
        self.term = term
        self.primary_id = primary_id

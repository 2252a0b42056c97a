"""Actions that the leader's controllers return for the executor to carry out."""

from ..control.commands import Command, Floor
from ..observe.events import EventName


class Action:
    """Base of all actions."""

    __slots__ = ()


class Note(Action):
    """Record an event."""

    __slots__ = ("event", "fields")

    def __init__(self, event: EventName, **fields: object):
        self.event = event
        self.fields = fields


class Propose(Action):
    """Commit a command.

    :ivar note: event recorded once the command was applied.
    :ivar cause: event recorded when the command is proposed.
    """

    __slots__ = ("command", "note", "cause")

    def __init__(self, command: Command, note: Note, cause: Note | None = None):
        self.command = command
        self.note = note
        self.cause = cause


class VerifyAnnouncement(Action):
    """Query the identity of the target at an announced address."""

    __slots__ = ("target_id", "address")

    def __init__(self, target_id: str, address: str):
        self.target_id = target_id
        self.address = address


class Ask(Action):
    """Base of requests to a target that it answers with its status.

    :ivar asked_at: when the request is sent, in seconds of the clock.
    :ivar floor: position that the target was known to hold before that; a lower one
        in the reply means that it lost log entries.
    """

    __slots__ = ("target_id", "asked_at", "floor")

    def __init__(self, target_id: str, asked_at: float, floor: Floor | None):
        self.target_id = target_id
        self.asked_at = asked_at
        self.floor = floor


class QueryStatus(Ask):
    """Query a target's status."""

    __slots__ = ()


class OrderPromotion(Ask):
    """Promote a target to primary of ``term``."""

    __slots__ = ("term",)

    def __init__(self, target_id: str, asked_at: float, floor: Floor | None, term: int):
        super().__init__(target_id, asked_at, floor)
        self.term = term


class OrderFollow(Ask):
    """Make a target replicate from the primary of ``term``."""

    __slots__ = ("term", "primary_id")

    def __init__(
        self,
        target_id: str,
        asked_at: float,
        floor: Floor | None,
        term: int,
        primary_id: str,
    ):
        super().__init__(target_id, asked_at, floor)
        self.term = term
        self.primary_id = primary_id

"""What the leader's controllers ask their surroundings to do."""

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
    """Commit a command, then record an event if it was applied.

    :ivar cause: recorded when the command is proposed.
    """

    __slots__ = ("command", "note", "cause")

    def __init__(self, command: Command, note: Note, cause: Note | None = None):
        self.command = command
        self.note = note
        self.cause = cause


class VerifyAnnouncement(Action):
    """Ask the target at an announced address who it is."""

    __slots__ = ("target_id", "address")

    def __init__(self, target_id: str, address: str):
        self.target_id = target_id
        self.address = address


class Ask(Action):
    """Base of what is sent to a target and answered with its status.

    :ivar asked_at: when it is sent, in seconds of the clock.
    :ivar floor: position that the target is known to have held before that.
    """

    __slots__ = ("target_id", "asked_at", "floor")

    def __init__(self, target_id: str, asked_at: float, floor: Floor | None):
        self.target_id = target_id
        self.asked_at = asked_at
        self.floor = floor


class QueryStatus(Ask):
    """Ask a target for its status."""

    __slots__ = ()


class OrderPromotion(Ask):
    """Make a target the primary of ``term``."""

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

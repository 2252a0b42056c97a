"""Errors of the publishing step."""

from ..internal.errors import GodwitwheelError


class PublishError(GodwitwheelError):
    """Raised only through its subclasses."""


class InvalidServiceFiles(PublishError):
    """Raised when a set of service files has a fault; nothing was published.

    :ivar problems: one message for each fault, with file, key and value.
    """

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


class ControlUnreachable(PublishError):
    """Raised when no leader of the control cell answered a request in time."""


class PublishRefused(PublishError):
    """Raised when control refused a publish; nothing was changed."""


class OutcomeUnknown(PublishError):
    """Raised when a publish was sent, but not answered.

    It may be active or become active later; a resend with the same publish id and
    expected revision returns the outcome.
    """

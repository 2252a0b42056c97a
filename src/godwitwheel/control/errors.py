"""Errors of the control layer."""

from ..internal.errors import GodwitwheelError


class ControlError(GodwitwheelError):
    """Base of this layer's errors."""


class NotLeading(ControlError):
    """Raised when this member does not lead; nothing was changed."""


class CommitOutcomeUnknown(ControlError):
    """Raised when a change may or may not take effect; it is safe to retry."""


class TooLarge(ControlError):
    """Raised when a change doesn't fit into a log entry; nothing was changed."""


class StaleHeartbeat(ControlError):
    """Raised when a later heartbeat of the same process has already been received."""

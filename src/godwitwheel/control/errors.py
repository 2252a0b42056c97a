"""Errors of the control layer."""

from ..internal.errors import GodwitwheelError


class ControlError(GodwitwheelError):
    """Raised only through its subclasses."""


class NotLeading(ControlError):
    """Raised when this member does not lead; nothing was changed."""


class Unsettled(ControlError):
    """Raised when a change may or may not take effect; sending it again is safe."""


class TooLarge(ControlError):
    """Raised when a change is larger than an entry of the log; nothing was changed."""


class StaleHeartbeat(ControlError):
    """Raised for a heartbeat that a later one of the same process overtook."""

"""Errors of the observe layer."""

from ..internal.errors import GodwitwheelError


class ObserveError(GodwitwheelError):
    """Raised only through its subclasses."""


class LogUnavailable(ObserveError):
    """Raised at the start of a process whose log file can't be opened."""


class LogUnreadable(ObserveError):
    """Raised when a log given to the timeline can't be opened or read."""

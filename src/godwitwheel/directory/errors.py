"""Errors of the directory."""

from ..internal.errors import GodwitwheelError


class DirectoryError(GodwitwheelError):
    """Base of this layer's errors."""


class InvalidTable(DirectoryError):
    """A routing table that can't be put in force; the message says why."""


class PromotionFailed(DirectoryError):
    """The platform did not carry out an order to promote."""


class PromotionFenced(PromotionFailed):
    """The order was refused: its token is too low, or the target does not run."""

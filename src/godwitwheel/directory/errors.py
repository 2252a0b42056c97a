"""Errors of the directory."""

from ..internal.errors import GodwitwheelError


class DirectoryError(GodwitwheelError):
    """Base of this layer's errors."""


class InvalidTable(DirectoryError):
    """A routing table that can't be activated; the message says why."""


class PromotionFailed(DirectoryError):
    """The platform did not confirm a promotion order, or none could be sent."""


class PromotionFenced(PromotionFailed):
    """The platform refused the order: its token is too low, or the target is down."""


class PromotionNotSent(PromotionFailed):
    """The order certainly did not reach the platform."""


class PromotionWithheld(PromotionFailed):
    """No target can be promoted at present, and no order was sent."""


class PromotionNotInEffect(PromotionFailed):
    """The target of an answered order was not seen to lead in a new term."""


class ResumeFailed(DirectoryError):
    """A replica that may be paused did not confirm that it receives again."""


class UnknownTable(DirectoryError):
    """Raised when a member does not know a version of the routing table."""


class UnknownBase(DirectoryError):
    """Raised when a member no longer knows the table that a change is based on."""


class InvalidChange(DirectoryError):
    """Raised when a change of the routing table can't be decoded."""


class AssemblyPostponed(DirectoryError):
    """Raised when a member has put together too many views and tables lately."""

"""Errors of the targets layer; each says whether the target may have acted."""

from ..internal.errors import GodwitwheelError
from ..wire.target import ProblemCode, TargetProblem


class TargetError(GodwitwheelError):
    """Raised only through its subclasses."""


class NotRun(TargetError):
    """Raised when the target certainly did nothing: nothing was sent to it."""


class MayHaveRun(TargetError):
    """Raised when the target may have acted, but no whole reply to it came.

    The connection is closed.
    """


class WrongReply(MayHaveRun):
    """Raised when a reply belongs to another request or has the wrong shape.

    The connection is closed.
    """


class Refused(TargetError):
    """Raised when the target answered that it did not do what it was asked.

    :ivar code: the target's reason.
    :ivar ran: ``False`` only if the target is sure that nothing was run.
    """

    def __init__(self, problem: TargetProblem):
        super().__init__(f"{problem.code}: {problem.message}")
        self.code: ProblemCode = problem.code
        self.message = problem.message
        self.ran = problem.ran


class Overloaded(NotRun):
    """Raised when no connection could be lent in time; nothing was sent.

    :ivar retry_after_s: when to come back, in seconds.
    """

    def __init__(self, detail: str, retry_after_s: float):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class Unreachable(NotRun):
    """Raised when no database connection could be opened; nothing was run."""

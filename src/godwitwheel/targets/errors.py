"""Errors of the targets layer; each class states whether the target may have acted."""

from ..internal.errors import GodwitwheelError
from ..wire.target import ProblemCode, TargetProblem


class TargetError(GodwitwheelError):
    """Raised only through its subclasses."""


class NotRun(TargetError):
    """Raised when nothing was sent, so that the target certainly did nothing."""


class MayHaveRun(TargetError):
    """Raised when the target may have acted, but no complete reply arrived.

    The connection is closed.
    """


class WrongReply(MayHaveRun):
    """Raised when a reply belongs to another request or can't be decoded.

    The connection is closed.
    """


class Refused(TargetError):
    """Raised when the target replied that it refused the request.

    :ivar code: the target's reason.
    :ivar ran: ``False`` only if the target is certain that nothing was run.
    """

    def __init__(self, problem: TargetProblem):
        super().__init__(f"{problem.code}: {problem.message}")
        self.code: ProblemCode = problem.code
        self.message = problem.message
        self.ran = problem.ran


class Overloaded(NotRun):
    """Raised when no connection could be acquired in time; nothing was sent.

    :ivar retry_after_s: delay before a retry, in seconds.
    """

    def __init__(self, detail: str, retry_after_s: float):
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class Unreachable(NotRun):
    """Raised when no database connection could be opened; nothing was run."""

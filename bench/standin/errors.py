"""Errors of the stand-in target."""

from godwitwheel.wire.target import ProblemCode


class TargetRefusal(Exception):
    """Raised when the target refuses a request.

    :ivar status: HTTP status code.
    :ivar ran: ``False`` only if nothing was run.
    """

    def __init__(self, code: ProblemCode, message: str, status: int = 409):
        super().__init__(message)
        self.code = code
        self.message = message
        self.status = status
        self.ran = False

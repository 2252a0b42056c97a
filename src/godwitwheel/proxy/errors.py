"""Errors of the proxy layer."""

from ..internal.errors import GodwitwheelError
from ..wire.caller import CallerAnswer


class ProxyError(GodwitwheelError):
    """Raised only through its subclasses."""


class RequestEnded(ProxyError):
    """Raised when a request is answered without being executed.

    :ivar answer: the final answer.
    """

    def __init__(self, answer: CallerAnswer):
        super().__init__(f"{answer.outcome}: {answer.reason}")
        self.answer = answer


class Interrupted(ProxyError):
    """Raised in a write in flight when the lease is lost or the primary replaced.

    The statement may have run.

    :ivar reason: the reason given to the caller.
    """

    def __init__(self, reason):
        super().__init__(str(reason))
        self.reason = reason


class ControlUnavailable(ProxyError):
    """Raised when no control member replied as leader in time.

    The call may have taken effect.
    """


class ControlRefused(ControlUnavailable):
    """Raised when the leader rejected the call itself; a retry would fail too."""

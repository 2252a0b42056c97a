"""Errors of the proxy layer."""

from ..internal.errors import GodwitwheelError
from ..wire.caller import CallerAnswer


class ProxyError(GodwitwheelError):
    """Raised only through its subclasses."""


class RequestEnded(ProxyError):
    """Raised where a request's answer is decided before it was carried out.

    :ivar answer: the final answer.
    """

    def __init__(self, answer: CallerAnswer):
        super().__init__(f"{answer.outcome}: {answer.reason}")
        self.answer = answer


class Interrupted(ProxyError):
    """Raised when a write in flight lost its lease or its primary.

    The statement may have run.

    :ivar reason: the reason to tell the caller.
    """

    def __init__(self, reason):
        super().__init__(str(reason))
        self.reason = reason


class ControlUnavailable(ProxyError):
    """Raised when no control member answered as leader in time.

    The call may have taken effect.
    """


class ControlRefused(ControlUnavailable):
    """Raised when the leader refused a call as it is; repeating it is no use."""

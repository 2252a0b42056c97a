"""Errors of interactive sessions."""

from ..internal.errors import GodwitwheelError


class SessionsError(GodwitwheelError):
    """Base of this layer's errors."""


class ConnectFailed(SessionsError):
    """No connection could be opened; nothing ran.

    :ivar refused: the target answered and refused, so it is reachable.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class TooManyConnections(ConnectFailed):
    """The target refused the connection because it has reached its limit."""


class ConnectionLost(SessionsError):
    """A connection was closed or timed out before every command was answered.

    :ivar answers: the answers received, in the order of the commands.
    :ivar timed_out: whether the target did not respond, rather than closed.
    """

    def __init__(self, message: str, answers: list, timed_out: bool = False):
        super().__init__(message)
        self.answers = answers
        self.timed_out = timed_out


class InvalidStatement(SessionsError):
    """A statement can't be sent to a target as it is; nothing ran."""


class TurnRefused(SessionsError):
    """A statement got no turn at a target in time; nothing ran.

    :ivar retry_after_s: expected time until the queued statements of its account, and
        those that go before them, have run, in seconds.
    """

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PoolExhausted(SessionsError):
    """No pooled connection became free in time; nothing ran."""

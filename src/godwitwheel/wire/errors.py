"""Errors of the wire layer."""

from ..internal.errors import GodwitwheelError


class WireError(GodwitwheelError):
    """Raised only through its subclasses."""


class BadMessage(WireError):
    """Raised when a body is not JSON of the expected type."""


class NotSent(WireError):
    """Raised when a request certainly never reached the peer.

    The connection could not be opened, so the peer can't have acted on it.
    """


class NoReply(WireError):
    """Raised when a request may have reached the peer, but no complete reply came."""


class ErrorReply(WireError):
    """Raised when the peer answered with a status other than 200.

    :ivar status: HTTP status code.
    :ivar body: the raw body of the reply.
    """

    def __init__(self, status: int, body: bytes):
        super().__init__(f"status {status}: {body[:200]!r}")
        self.status = status
        self.body = body

"""A request that waits for a connection of a pool."""

from typing import TYPE_CHECKING

from ...decisions.connection_shares import ConnectionRequest
from ...internal.loop import Event

if TYPE_CHECKING:
    from .pool import PooledConnection


class Waiter(ConnectionRequest):
    """A statement or transaction that needs a connection.

    :ivar values: session values, preferably set on the connection already.
    :ivar event: sent when it is granted a connection, or should ask again.
    :ivar pooled: the idle connection that it was granted.
    :ivar may_open: whether it was granted a place to open a connection.
    :ivar has_waited: whether it has been counted as waiting.
    """

    __slots__ = ("values", "event", "pooled", "may_open", "has_waited")

    def __init__(
        self, account: str, values: dict[str, str], priority: int, number: int
    ):
        super().__init__(account, priority, number)
        self.values = values
        self.event = Event()
        self.pooled: PooledConnection | None = None
        self.may_open = False
        self.has_waited = False

    def has_grant(self) -> bool:
        """Whether it was granted a connection or a place to open one."""
        return self.pooled is not None or self.may_open

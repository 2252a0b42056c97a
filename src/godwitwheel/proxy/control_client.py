"""Calls to the control members: finds the leader and stays with it."""

from ..blackboard import Blackboard
from ..internal.clock import Clock
from ..internal.loop import sleep
from ..wire.client import Client
from ..wire.codec import Message, decode
from ..wire.control import NotLeading
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent
from .errors import ControlUnavailable

MISDIRECTED = 421
ATTEMPT_TIMEOUT_S = 0.2
RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_S = 0.64


class ControlClient:
    """Sends each call to the leader as far as it is known.

    :ivar addresses: the members' addresses.
    """

    __slots__ = ("addresses", "blackboard", "clock", "client", "turn")

    def __init__(
        self,
        addresses: list[str],
        blackboard: Blackboard,
        clock: Clock,
        client: Client,
    ):
        self.addresses = addresses
        self.blackboard = blackboard
        self.clock = clock
        self.client = client
        self.turn = 0

    def call(
        self,
        path: str,
        message: object,
        reply: type[Message],
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Message:
        """Calls the leader, trying the members until one answers as such.

        :raises ControlUnavailable: if none did in time; an attempt may still have
            taken effect.
        """
        deadline = self.clock.now() + timeout_s
        pause_s = RETRY_PAUSE_S
        while True:
            remaining_s = deadline - self.clock.now()
            if remaining_s <= 0:
                raise ControlUnavailable(f"{path}: no leader answered")
            limit_s = min(attempt_timeout_s, remaining_s)
            try:
                return self.call_once(path, message, reply, limit_s)
            except ControlUnavailable:
                # Without a growing pause, calls that pile up while no member leads
                # would keep the members too busy to elect one.
                sleep(min(pause_s, remaining_s))
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def call_once(
        self, path: str, message: object, reply: type[Message], timeout_s: float
    ) -> Message:
        """Calls the member that is thought to lead, and no other.

        :raises ControlUnavailable: if it did not answer as leader; the next call
            goes to another.
        """
        address = self.blackboard.control_leader or self._next_address()
        try:
            answer = self.client.call(address, path, message, reply, timeout_s)
        except ErrorReply as error:
            self.blackboard.control_leader = _leader_hint(error)
            raise ControlUnavailable(f"{address}: {error}") from error
        except (NotSent, NoReply, BadMessage) as error:
            self.blackboard.control_leader = ""
            raise ControlUnavailable(f"{address}: {error}") from error
        self.blackboard.control_leader = address
        return answer

    def _next_address(self) -> str:
        self.turn += 1
        return self.addresses[self.turn % len(self.addresses)]


def _leader_hint(error: ErrorReply) -> str:
    if error.status != MISDIRECTED:
        return ""
    try:
        return decode(error.body, NotLeading).leader_address
    except BadMessage:
        return ""

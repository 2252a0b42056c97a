"""Calls to the control members: heartbeats find the leader, all else follows."""

from ..blackboard import Blackboard
from ..internal.clock import Clock
from ..internal.loop import Semaphore, sleep
from ..internal.signals import ChangeSignal
from ..wire.client import Client
from ..wire.codec import Message, decode
from ..wire.control import NotLeading
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent, WireError
from .errors import ControlRefused, ControlUnavailable

MISDIRECTED = 421
ATTEMPT_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_S = 0.64
MAX_CALLS_IN_FLIGHT = 32


class ControlClient:
    """Sends each call to the leader as far as it is known.

    Only :meth:`call_once`, which heartbeats use, asks members that may not lead.
    When every claim did so, a few hundred of them kept the members too busy to
    elect a leader.

    :ivar addresses: the members' addresses.
    :ivar leader_found: notified when a member has answered as leader.
    :ivar room: bounds the calls that are on their way at once.
    """

    __slots__ = (
        "addresses",
        "blackboard",
        "clock",
        "client",
        "turn",
        "leader_found",
        "room",
    )

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
        self.leader_found = ChangeSignal()
        self.room = Semaphore(MAX_CALLS_IN_FLIGHT)

    def call(
        self,
        path: str,
        message: object,
        reply: type[Message],
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Message:
        """Calls the leader, waiting for the heartbeats to find it.

        :raises ControlRefused: if the leader refused the call as it is.
        :raises ControlUnavailable: if none answered in time; an attempt may still
            have taken effect.
        """
        deadline = self.clock.now() + timeout_s
        pause_s = RETRY_PAUSE_S
        while True:
            remaining_s = deadline - self.clock.now()
            if remaining_s <= 0:
                raise ControlUnavailable(f"{path}: no leader answered")
            address = self.blackboard.control_leader
            if not address:
                self.leader_found.wait(remaining_s)
                continue
            limit_s = min(attempt_timeout_s, remaining_s)
            try:
                with self.room:
                    return self.client.call(address, path, message, reply, limit_s)
            except WireError as error:
                _raise_if_refused(address, error)
                self._note_refusal(address, error)
                sleep(min(pause_s, remaining_s))
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)

    def call_once(
        self, path: str, message: object, reply: type[Message], timeout_s: float
    ) -> Message:
        """Calls the member that is thought to lead, and no other.

        :raises ControlRefused: if the leader refused the call as it is.
        :raises ControlUnavailable: if it did not answer as leader; the next call
            goes to another.
        """
        address = self.blackboard.control_leader or self._next_address()
        try:
            answer = self.client.call(address, path, message, reply, timeout_s)
        except (NotSent, NoReply, BadMessage) as error:
            self.blackboard.control_leader = ""
            raise ControlUnavailable(f"{address}: {error}") from error
        except ErrorReply as error:
            _raise_if_refused(address, error)
            self.blackboard.control_leader = _leader_hint(error)
            raise ControlUnavailable(f"{address}: {error}") from error
        self.blackboard.control_leader = address
        self.leader_found.notify()
        return answer

    def _note_refusal(self, address: str, error: WireError) -> None:
        """Forgets a leader that says that it is none any more.

        One that did not answer may be slow with this call alone: whether it still
        leads is for the heartbeats to find out.
        """
        if not isinstance(error, ErrorReply) or error.status != MISDIRECTED:
            return
        if self.blackboard.control_leader == address:
            self.blackboard.control_leader = _leader_hint(error)

    def _next_address(self) -> str:
        self.turn += 1
        return self.addresses[self.turn % len(self.addresses)]


def _raise_if_refused(address: str, error: WireError) -> None:
    """Tells a refusal of one call from a member that does not lead."""
    if not isinstance(error, ErrorReply) or error.status == MISDIRECTED:
        return
    if 400 <= error.status < 500:
        raise ControlRefused(f"{address}: {error}") from error


def _leader_hint(error: ErrorReply) -> str:
    if error.status != MISDIRECTED:
        return ""
    try:
        return decode(error.body, NotLeading).leader_address
    except BadMessage:
        return ""

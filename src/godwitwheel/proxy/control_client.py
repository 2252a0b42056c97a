"""Calls to control members: heartbeats find the leader, other calls use it."""

from ..blackboard import Blackboard
from ..internal.clock import Clock
from ..internal.loop import Semaphore, sleep
from ..internal.signals import ChangeSignal
from ..wire.client import Client
from ..wire.codec import Message, decode
from ..wire.control import NotLeading
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent, WireError
from ..wire.status import MISDIRECTED
from .errors import ControlRefused, ControlUnavailable

ATTEMPT_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.64
MAX_CALLS_IN_FLIGHT = 32


class ControlClient:
    """Sends each call to the known leader.

    Only :meth:`call_once`, which heartbeats and watches use, tries members that may
    not be the leader. When every claim did so, a few hundred of them kept the members
    too busy to elect a leader.

    :ivar addresses: the members' addresses.
    :ivar member_index: counter that selects the next member to try.
    :ivar leader_found: notified when a member has replied as leader.
    :ivar in_flight_limit: bounds the concurrent calls of :meth:`call`.
    """

    __slots__ = (
        "addresses",
        "blackboard",
        "clock",
        "client",
        "member_index",
        "leader_found",
        "in_flight_limit",
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
        self.member_index = 0
        self.leader_found = ChangeSignal()
        self.in_flight_limit = Semaphore(MAX_CALLS_IN_FLIGHT)

    def call(
        self,
        path: str,
        message: object,
        reply: type[Message],
        timeout_s: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> Message:
        """Calls the leader; waits while the heartbeats have not found one.

        :raises ControlRefused: if the leader rejected the call itself, so that a
            retry would fail too.
        :raises ControlUnavailable: if no leader replied in time; an attempt may still
            have taken effect.
        """
        deadline = self.clock.now() + timeout_s
        delay_s = RETRY_DELAY_S
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
                with self.in_flight_limit:
                    return self.client.call(address, path, message, reply, limit_s)
            except WireError as error:
                _raise_if_refused(address, error)
                self._drop_former_leader(address, error)
                sleep(max(min(delay_s, deadline - self.clock.now()), 0.0))
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    def call_once(
        self, path: str, message: object, reply: type[Message], timeout_s: float
    ) -> Message:
        """Calls the known leader or, if there is none, the next member; no retry.

        :raises ControlRefused: if the leader rejected the call itself, so that a
            retry would fail too.
        :raises ControlUnavailable: if the member did not reply as leader; the next
            call tries the leader that it named, or another member.
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

    def _drop_former_leader(self, address: str, error: WireError) -> None:
        """Drops the known leader if it replied that it is not the leader.

        A leader that did not reply may be slow with this call only; heartbeats find
        out whether it is still the leader.
        """
        if not isinstance(error, ErrorReply) or error.status != MISDIRECTED:
            return
        if self.blackboard.control_leader == address:
            self.blackboard.control_leader = _leader_hint(error)

    def _next_address(self) -> str:
        self.member_index += 1
        return self.addresses[self.member_index % len(self.addresses)]


def _raise_if_refused(address: str, error: WireError) -> None:
    """Raises if the leader rejected the call; a member that isn't leader sends 421.

    :raises ControlRefused: if the status is 400 to 499, except 421.
    """
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

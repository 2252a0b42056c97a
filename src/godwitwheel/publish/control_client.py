"""Finds the leader of the control cell and sends it requests."""

import time
from collections.abc import Iterator
from itertools import cycle

from ..internal.loop import sleep
from ..wire.client import Client
from ..wire.codec import Message, decode
from ..wire.control import ControlProblem, NotLeading
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent
from ..wire.status import MISDIRECTED
from .errors import ControlUnreachable, OutcomeUnknown, PublishRefused

ATTEMPT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1


class ControlClient:
    """Sends a request to one member after another until the leader answers.

    :ivar members: addresses of the control members.
    :ivar limit_s: time limit of a request with all its retries, in seconds.
    :ivar leader: address of the leader, empty while it is not known.
    """

    __slots__ = ("members", "client", "limit_s", "leader")

    def __init__(self, members: list[str], client: Client, limit_s: float):
        self.members = members
        self.client = client
        self.limit_s = limit_s
        self.leader = ""

    def request(
        self, path: str, message: object | None, reply: type[Message]
    ) -> Message:
        """Returns the leader's reply, resending the same message if a reply is lost.

        :raises ControlUnreachable: if the message certainly reached no leader.
        :raises OutcomeUnknown: if a leader may have received it, but no answer came.
        :raises PublishRefused: if the leader refused.
        """
        deadline = time.monotonic() + self.limit_s
        may_have_arrived = False
        last_error: Exception | None = None
        for address in self._addresses():
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            timeout_s = min(remaining, ATTEMPT_TIMEOUT_S)
            try:
                return self.client.call(address, path, message, reply, timeout_s)
            except NotSent as error:
                last_error = error
            except (NoReply, BadMessage) as error:
                last_error = error
                may_have_arrived = True
            except ErrorReply as error:
                last_error = error
                may_have_arrived |= error.status >= 500
                if self._follow_redirect(error):
                    continue
            self.leader = ""
            sleep(min(RETRY_DELAY_S, max(deadline - time.monotonic(), 0.0)))
        kind = OutcomeUnknown if may_have_arrived else ControlUnreachable
        raise kind(f"no answer within {self.limit_s} s; the last try: {last_error}")

    def _addresses(self) -> Iterator[str]:
        """Yields the leader while it is known, else the members in turn."""
        for member in cycle(self.members):
            while self.leader:
                yield self.leader
            yield member

    def _follow_redirect(self, error: ErrorReply) -> bool:
        """Records the leader that a reply names.

        :returns: whether to send to it at once; if two members name each other, the
            next attempt follows after a delay.
        :raises PublishRefused: if the reply is a refusal by the leader.
        """
        if error.status == MISDIRECTED:
            redirect = _decode_or_none(error.body, NotLeading)
            previous_leader = self.leader
            self.leader = redirect.leader_address if redirect else ""
            return bool(self.leader) and not previous_leader
        if error.status < 500:
            problem = _decode_or_none(error.body, ControlProblem)
            text = problem.message if problem else str(error)
            raise PublishRefused(f"status {error.status}: {text}")
        return False


def _decode_or_none(body: bytes, kind: type[Message]) -> Message | None:
    try:
        return decode(body, kind)
    except BadMessage:
        return None

"""Finds the leading control member and asks it."""

import time
from collections.abc import Iterator
from itertools import cycle

from ..internal.loop import sleep
from ..wire.client import Client
from ..wire.codec import Message, decode
from ..wire.control import ControlProblem, NotLeading
from ..wire.errors import BadMessage, ErrorReply, NoReply, NotSent
from .errors import ControlUnreachable, OutcomeUnknown, PublishRefused

STATUS_NOT_LEADING = 421
ATTEMPT_LIMIT_S = 2.0
PAUSE_S = 0.1


class ControlClient:
    """Asks one member after another until the leader answers.

    :ivar members: addresses of the control members.
    :ivar limit_s: how long to go on, in seconds.
    """

    __slots__ = ("members", "client", "limit_s", "leader")

    def __init__(self, members: list[str], client: Client, limit_s: float):
        self.members = members
        self.client = client
        self.limit_s = limit_s
        self.leader = ""

    def ask(self, path: str, message: object | None, reply: type[Message]) -> Message:
        """Returns the leader's reply; the same message is sent again after a loss.

        :raises ControlUnreachable: if nothing was ever sent to a leader.
        :raises OutcomeUnknown: if it was sent and no answer came.
        :raises PublishRefused: if the leader refused.
        """
        limit = time.monotonic() + self.limit_s
        may_have_arrived = False
        last_error: Exception | None = None
        for address in self._addresses():
            remaining = limit - time.monotonic()
            if remaining <= 0:
                break
            timeout_s = min(remaining, ATTEMPT_LIMIT_S)
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
                if self._follow(error):
                    continue
            self.leader = ""
            sleep(min(PAUSE_S, max(limit - time.monotonic(), 0.0)))
        kind = OutcomeUnknown if may_have_arrived else ControlUnreachable
        raise kind(f"no answer within {self.limit_s} s; the last try: {last_error}")

    def _addresses(self) -> Iterator[str]:
        """Yields the leader while it is known, else the members in turn."""
        for member in cycle(self.members):
            while self.leader:
                yield self.leader
            yield member

    def _follow(self, error: ErrorReply) -> bool:
        """Takes note of the leader that a reply names.

        :returns: whether to ask it at once; two members that name each other are
            asked after a pause.
        :raises PublishRefused: if the reply is a refusal by the leader.
        """
        if error.status == STATUS_NOT_LEADING:
            named = _decode_or_none(error.body, NotLeading)
            asked = self.leader
            self.leader = named.leader_address if named else ""
            return bool(self.leader) and not asked
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

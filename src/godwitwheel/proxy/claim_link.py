"""Claims and outcomes on their way to control.

Hundreds of requests that each call control by themselves keep a member that has
just recovered too busy to lead. So none is made without a lease: whoever can't
renew its lease can't reach the leader either. Outcomes that nobody waits for go
one after the other.
"""

from collections import deque

from ..internal.loop import sleep
from ..observe.events import EventName, record_event
from ..wire.codec import Message
from ..wire.control import (
    Claim,
    ClaimReply,
    OutcomeRecorded,
    RecordOutcome,
)
from .context import ProxyContext
from .control_client import ControlClient
from .errors import ControlRefused, ControlUnavailable

ATTEMPT_TIMEOUT_S = 0.3
MAX_WAIT_WITHOUT_LEASE_S = 2.0
RECORD_LIMIT_S = 30.0
RECORD_PAUSE_S = 0.1
IDLE_POLL_S = 0.02
MAX_UNRECORDED = 10_000


class UnrecordedOutcome:
    """An outcome that nobody waits for any more.

    :ivar until: when it is given up, in seconds of the clock.
    """

    __slots__ = ("outcome", "until")

    def __init__(self, outcome: RecordOutcome, until: float):
        self.outcome = outcome
        self.until = until


class ClaimLink:
    """Carries claims and outcomes to the control leader.

    :ivar unrecorded: outcomes to be recorded in the background, oldest first.
    """

    __slots__ = ("context", "control", "unrecorded")

    def __init__(self, context: ProxyContext, control: ControlClient):
        self.context = context
        self.control = control
        self.unrecorded: deque[UnrecordedOutcome] = deque(maxlen=MAX_UNRECORDED)

    def claim(self, claim: Claim, deadline: float) -> ClaimReply:
        """Claims a key; repeating it for one attempt is no error.

        :param deadline: in seconds of the clock.
        :raises ControlUnavailable: if no answer came in time; the claim may be
            committed.
        """
        return self._call("/v1/claim", claim, ClaimReply, deadline)

    def record(self, outcome: RecordOutcome, deadline: float) -> OutcomeRecorded:
        """Records an outcome; raises as :meth:`claim` does."""
        return self._call("/v1/outcome", outcome, OutcomeRecorded, deadline)

    def record_later(self, outcome: RecordOutcome) -> None:
        """Has an outcome recorded in the background.

        One that is lost leaves its key claimed: a resend is told ``unknown``.
        """
        until = self.context.clock.now() + RECORD_LIMIT_S
        self.unrecorded.append(UnrecordedOutcome(outcome, until))

    def run_recorder(self) -> None:
        """Records the outcomes left for later, one after the other."""
        while True:
            if not self.unrecorded:
                sleep(IDLE_POLL_S)
            elif not self._record_first():
                sleep(RECORD_PAUSE_S)

    def flush(self, limit_s: float) -> None:
        """Waits until all outcomes are recorded, for at most ``limit_s``."""
        limit = self.context.clock.now() + limit_s
        while self.unrecorded and self.context.clock.now() < limit:
            sleep(IDLE_POLL_S)

    def _record_first(self) -> bool:
        first = self.unrecorded[0]
        now = self.context.clock.now()
        try:
            if now < first.until:
                self.record(first.outcome, now + ATTEMPT_TIMEOUT_S)
        except ControlRefused as error:
            record_event(EventName.handler_failed, error=str(error))
        except ControlUnavailable:
            return False
        if self.unrecorded and self.unrecorded[0] is first:
            self.unrecorded.popleft()
        return True

    def _call(
        self, path: str, message: object, reply: type[Message], deadline: float
    ) -> Message:
        self._await_lease(path, deadline)
        remaining_s = deadline - self.context.clock.now()
        return self.control.call(path, message, reply, remaining_s, ATTEMPT_TIMEOUT_S)

    def _await_lease(self, path: str, deadline: float) -> None:
        """Waits for a lease; a proxy without one for long is told at once."""
        clock = self.context.clock
        lease = self.context.blackboard.lease
        while not lease.is_valid(clock.now()):
            limit = min(deadline, lease.expires_at + MAX_WAIT_WITHOUT_LEASE_S)
            if clock.now() >= limit:
                raise ControlUnavailable(f"{path}: this proxy has no lease")
            self.context.lease_signal.wait(limit - clock.now())
        if clock.now() >= deadline:
            raise ControlUnavailable(f"{path}: no time left")

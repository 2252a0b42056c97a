"""Sends claims and outcomes to control.

Hundreds of requests that each call control on their own can keep a control member
that has just recovered too busy to become leader. A proxy therefore makes no call
without a lease: if it can't renew its lease, it can't reach the leader either.
Outcomes that no request waits for are sent one at a time.
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
RECORD_RETRY_LIMIT_S = 30.0
RECORD_RETRY_DELAY_S = 0.1
IDLE_POLL_S = 0.02
MAX_UNRECORDED = 10_000


class UnrecordedOutcome:
    """An outcome to record in the background; no request waits for it any more.

    :ivar expires_at: when it is dropped, in seconds of the clock.
    """

    __slots__ = ("outcome", "expires_at")

    def __init__(self, outcome: RecordOutcome, expires_at: float):
        self.outcome = outcome
        self.expires_at = expires_at


class ClaimLink:
    """Sends claims and outcomes to the control leader.

    :ivar unrecorded: outcomes to record in the background, oldest first.
    """

    __slots__ = ("context", "control", "unrecorded")

    def __init__(self, context: ProxyContext, control: ControlClient):
        self.context = context
        self.control = control
        self.unrecorded: deque[UnrecordedOutcome] = deque(maxlen=MAX_UNRECORDED)

    def claim(self, claim: Claim, deadline: float) -> ClaimReply:
        """Claims an idempotency key; repeating the call for one attempt is harmless.

        :param deadline: in seconds of the clock.
        :raises ControlUnavailable: if no reply arrived in time; the claim may be
            committed.
        """
        return self._call("/v1/claim", claim, ClaimReply, deadline)

    def record(self, outcome: RecordOutcome, deadline: float) -> OutcomeRecorded:
        """Records an outcome; raises as :meth:`claim` does."""
        return self._call("/v1/outcome", outcome, OutcomeRecorded, deadline)

    def record_in_background(self, outcome: RecordOutcome) -> None:
        """Queues an outcome to be recorded in the background.

        A lost outcome leaves its key claimed: a resend is answered ``unknown``.
        """
        expires_at = self.context.clock.now() + RECORD_RETRY_LIMIT_S
        if len(self.unrecorded) == MAX_UNRECORDED:
            self._record_drop(self.unrecorded[0], "too many wait to be recorded")
        self.unrecorded.append(UnrecordedOutcome(outcome, expires_at))

    def run_recorder(self) -> None:
        """Records the queued outcomes, one at a time."""
        while True:
            if not self.unrecorded:
                sleep(IDLE_POLL_S)
            elif not self._record_oldest():
                sleep(RECORD_RETRY_DELAY_S)

    def flush(self, limit_s: float) -> None:
        """Waits until all outcomes are recorded, for at most ``limit_s`` seconds."""
        deadline = self.context.clock.now() + limit_s
        while self.unrecorded and self.context.clock.now() < deadline:
            sleep(IDLE_POLL_S)

    def _record_oldest(self) -> bool:
        first = self.unrecorded[0]
        now = self.context.clock.now()
        try:
            if now < first.expires_at:
                self.record(first.outcome, now + ATTEMPT_TIMEOUT_S)
            else:
                self._record_drop(first, "not recorded in time")
        except ControlRefused as error:
            record_event(EventName.handler_failed, error=str(error))
        except ControlUnavailable:
            return False
        if self.unrecorded and self.unrecorded[0] is first:
            self.unrecorded.popleft()
        return True

    def _record_drop(self, dropped: UnrecordedOutcome, reason: str) -> None:
        record_event(EventName.outcome_dropped, key=dropped.outcome.key, reason=reason)

    def _call(
        self, path: str, message: object, reply: type[Message], deadline: float
    ) -> Message:
        self._await_lease(path, deadline)
        remaining_s = deadline - self.context.clock.now()
        return self.control.call(path, message, reply, remaining_s, ATTEMPT_TIMEOUT_S)

    def _await_lease(self, path: str, deadline: float) -> None:
        """Waits for a lease, unless the last one expired too long ago.

        :raises ControlUnavailable: if there is no lease by then or the deadline has
            passed.
        """
        clock = self.context.clock
        lease = self.context.blackboard.lease
        while not lease.is_valid(clock.now()):
            wait_deadline = min(deadline, lease.expires_at + MAX_WAIT_WITHOUT_LEASE_S)
            if clock.now() >= wait_deadline:
                raise ControlUnavailable(f"{path}: this proxy has no lease")
            self.context.lease_signal.wait(wait_deadline - clock.now())
        if clock.now() >= deadline:
            raise ControlUnavailable(f"{path}: no time left")

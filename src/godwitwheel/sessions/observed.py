"""What a process has observed of targets and of which of them is the primary."""

import math

from .statements import Position


class ObservedTarget:
    """What this process has observed of a target.

    :ivar failing_since: time of the first failure after the last answer, or
        ``None`` while it answers.
    :ivar failures: failures since the last answer.
    :ivar retry_at: end of the backoff; the target gets no new work before that.
    :ivar latency_s: moving average of the time of an exchange, in seconds; 0 before
        the first.
    :ivar in_flight: statements queued for a turn, or sent and not answered.
    :ivar position: last reported log position, or ``None``.
    :ivar position_at: when it was reported, in seconds of the clock.
    """

    __slots__ = (
        "failing_since",
        "failures",
        "retry_at",
        "latency_s",
        "in_flight",
        "position",
        "position_at",
    )

    def __init__(self):
        self.failing_since: float | None = None
        self.failures = 0
        self.retry_at = 0.0
        self.latency_s = 0.0
        self.in_flight = 0
        self.position: Position | None = None
        self.position_at = 0.0


class KnownPrimary:
    """Which target this process takes for a service's primary.

    :ivar target_id: the target, or empty while none is known.
    :ivar term: highest term in which a target was confirmed as primary.
    :ivar confirmed_at: when the last request was sent that confirmed it as primary, in
        seconds of the clock; ``None`` while it is not confirmed.
    :ivar last_confirmed_at: the same for the latest confirmation of any target; kept
        when ``confirmed_at`` becomes ``None``.
    :ivar named_at: when control named the target as primary, in seconds of the clock.
    :ivar expected_at: when a target with a promotion order should be the primary, in
        seconds of the clock.
    :ivar search_started_at: when this process began to search for the primary, in
        seconds of the clock, or ``None``.
    """

    __slots__ = (
        "target_id",
        "term",
        "confirmed_at",
        "last_confirmed_at",
        "named_at",
        "expected_at",
        "search_started_at",
    )

    def __init__(self, target_id: str = "", term: int = 0):
        self.target_id = target_id
        self.term = term
        self.confirmed_at: float | None = None
        self.last_confirmed_at = -math.inf
        self.named_at = -math.inf
        self.expected_at = -math.inf
        self.search_started_at: float | None = None

    def unconfirmed_since(self) -> float:
        """Returns when a target was last confirmed or, if later, this one was named.

        A target that control has just named was not tried before, however long ago
        the former primary was confirmed.

        :returns: seconds of the clock.
        """
        return max(self.last_confirmed_at, self.named_at)

    def was_confirmed(self) -> bool:
        """Whether a target was confirmed since control named this one."""
        return self.last_confirmed_at >= self.named_at

    def confirm(self, sent_at: float) -> None:
        """Records a confirmation of the target as primary.

        :param sent_at: when the confirming request was sent, in seconds of the clock.
        """
        self.confirmed_at = sent_at
        self.last_confirmed_at = max(self.last_confirmed_at, sent_at)

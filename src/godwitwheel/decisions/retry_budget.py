"""Limits retries to a share of the requests, so that they can't worsen an overload."""

from collections import deque

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0
# Window of :class:`WindowedRetryBudget`, in seconds.
RETRY_WINDOW_S = 1.0


class RetryBudget:
    """A token bucket: a request adds ``RETRY_SHARE`` of a retry, a retry removes one.

    :ivar saved: retries that are available.
    """

    __slots__ = ("saved",)

    def __init__(self):
        self.saved = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Counts a first attempt."""
        self.saved = min(self.saved + RETRY_SHARE, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Uses one retry.

        :returns: ``False`` if none was available.
        """
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class WindowedRetryBudget:
    """Limits the retries within any window to a share of its statements.

    :ivar share: retries for each statement.
    :ivar min_retries: retries that a window allows however few its statements are.
    :ivar statements: when each statement of the window began, in seconds of the clock.
    :ivar retries: when each retry of the window began, in seconds of the clock.
    """

    __slots__ = ("share", "min_retries", "statements", "retries")

    def __init__(self, share: float, min_retries: int):
        self.share = share
        self.min_retries = min_retries
        self.statements: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_statement(self, now: float) -> None:
        """Counts a first attempt."""
        self.statements.append(now)
        self._expire(now)

    def spend(self, now: float) -> bool:
        """Uses one retry.

        :returns: ``False`` if none was available.
        """
        self._expire(now)
        limit = max(self.min_retries, int(self.share * len(self.statements)))
        if len(self.retries) >= limit:
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.statements, self.retries):
            while times and times[0] <= now - RETRY_WINDOW_S:
                times.popleft()

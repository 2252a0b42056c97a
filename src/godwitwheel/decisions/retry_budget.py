"""Limits retries to a share of the requests, so that they can't worsen an overload."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


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

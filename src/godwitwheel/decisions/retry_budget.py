"""Limits retries to a share of the requests, so that they can't feed an overload."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Every request adds a share of a retry; every retry spends a whole one."""

    __slots__ = ("saved",)

    def __init__(self):
        self.saved = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Counts a first attempt."""
        self.saved = min(self.saved + RETRY_SHARE, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Takes one retry.

        :returns: whether there was one to take.
        """
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

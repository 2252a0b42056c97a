"""Bounds how often a member puts together complete views and tables."""

# Complete views and tables that a member builds per second; cached ones don't count.
# More would delay the other requests when all processes join.
MAX_ASSEMBLIES_PER_S = 32


class AssemblyBudget:
    """A token bucket that holds the assemblies of one second.

    :ivar tokens: assemblies that may be made now.
    :ivar updated_at: when the tokens were counted, in seconds of the clock.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self):
        self.tokens = float(MAX_ASSEMBLIES_PER_S)
        self.updated_at = 0.0

    def take(self, now: float) -> bool:
        """Takes a token.

        :returns: whether there was one.
        """
        gained = max(now - self.updated_at, 0.0) * MAX_ASSEMBLIES_PER_S
        self.tokens = min(self.tokens + gained, float(MAX_ASSEMBLIES_PER_S))
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

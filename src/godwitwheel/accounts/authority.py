"""Decides until when a process may rely on the keys of its routing table.

A withdrawn key must stop working everywhere within a bound, also at a process that
can't hear of the withdrawal. So a process relies on its keys under a lease: each answer
of control that names the version of the table that the process holds renews it. After
the report has arrived, control confirms with a quorum that it still leads, so that the
answer reflects every version that was acknowledged before the report was sent.
"""

import math
from abc import ABC, abstractmethod

# Share of the bound on withdrawals that a lease lasts; the rest allows for clocks that
# run at different rates and for a statement that is on its way when the lease ends.
LEASE_SHARE = 0.9


class KeyAuthority(ABC):
    """Whether the keys of the held routing table may be relied on.

    :ivar lease_s: duration of a lease from when the report was sent, in seconds;
        infinite if the keys need none.
    """

    __slots__ = ("lease_s",)

    def __init__(self, lease_s: float):
        self.lease_s = lease_s

    @abstractmethod
    def may_serve(self, now: float) -> bool:
        """Whether a statement whose key the table holds may run now."""

    @abstractmethod
    def renew(self, sent_at: float) -> None:
        """Records that control named the held table as the active one.

        :param sent_at: when the answered report was sent, in seconds of the clock.
        """


class UnleasedKeys(KeyAuthority):
    """For deployments without a bound on withdrawals."""

    __slots__ = ()

    def __init__(self):
        super().__init__(math.inf)

    def may_serve(self, now: float) -> bool:
        return True

    def renew(self, sent_at: float) -> None:
        pass


class LeasedKeys(KeyAuthority):
    """For deployments in which a withdrawn key must stop working within a bound.

    :ivar expires_at: end of the lease, in seconds of the clock.
    """

    __slots__ = ("expires_at",)

    def __init__(self, withdrawal_bound_s: float):
        super().__init__(LEASE_SHARE * withdrawal_bound_s)
        self.expires_at = -math.inf

    def may_serve(self, now: float) -> bool:
        return now < self.expires_at

    def renew(self, sent_at: float) -> None:
        self.expires_at = max(self.expires_at, sent_at + self.lease_s)

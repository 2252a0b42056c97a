"""Limits the operations of client accounts on the process that connects to targets.

Control's leader divides the operations that an account may run in a window among these
processes, the runners. Each holds its shares under a lease. A token bucket of the
account's whole limit keeps one runner from spending its share at once.
"""

import math

from ..directory.records import (
    AccountDemand,
    AccountPolicy,
    RateReply,
    RateReport,
    RateShare,
)
from .bucket import OperationWindow, TokenBucket
from .rate_shares import (
    COUNTED_WINDOW_S,
    QUOTA_WINDOW_S,
    SHARE_LEASE_S,
    SLACK_OPERATIONS,
    WINDOW_SLOT_S,
    most_operations,
)

# Retry delay that callers are given while this process has no share; also the least
# upper limit of the delay while its share may still grow. In seconds.
RETRY_NO_SHARE_S = 0.3
# Time constant of the average of the operations requested per second: operations of
# the last second determine nine tenths of it.
DEMAND_TIME_CONSTANT_S = 0.45
# Lowest demand that is reported, in operations per second.
MIN_REPORTED_DEMAND = 0.02
# Part of a new share's unused operations after which the next report is due.
REPORTED_USE = 0.3
# Part of a former share below which a lowered one is acknowledged at once.
ACKNOWLEDGED_CHANGE = 0.8
# Shortest time between two reports for a lack of operations, in seconds.
EARLY_REPORT_SPACING_S = 0.05
# Lower rates are treated as this one, in operations per second.
MIN_RATE_PER_S = 0.001


class LimitRefusal:
    """An operation above its account's limit.

    :ivar retry_s: time until an operation should be admitted, in seconds.
    :ivar share: operations in a window that this process may run, 0 without a share.
    :ivar used: operations that it ran in the last window.
    """

    __slots__ = ("retry_s", "share", "used")

    def __init__(self, retry_s: float, share: float, used: int):
        self.retry_s = retry_s
        self.share = share
        self.used = used


class AccountUse:
    """The operations of one account on this process.

    :ivar window: operations that were admitted and not put back.
    :ivar demand: moving average of the operations requested per second.
    :ivar demand_at: when ``demand`` was computed, in seconds of the clock.
    :ivar report_above: number of operations in the window above which a report is due.
    """

    __slots__ = ("bucket", "window", "demand", "demand_at", "report_above")

    def __init__(self, policy: AccountPolicy, now: float):
        burst = policy.burst + SLACK_OPERATIONS
        self.bucket = TokenBucket(policy.rate_per_s, burst, now)
        self.window = OperationWindow(COUNTED_WINDOW_S, WINDOW_SLOT_S)
        self.demand = 0.0
        self.demand_at = now
        self.report_above = 0.0

    def record_request(self, now: float) -> None:
        """Counts an operation as requested, whether or not it is admitted."""
        self.demand = self.demand_now(now) + 1.0 / DEMAND_TIME_CONSTANT_S
        self.demand_at = max(now, self.demand_at)

    def demand_now(self, now: float) -> float:
        """Returns the demand, in operations per second."""
        elapsed_s = max(now - self.demand_at, 0.0)
        return self.demand * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)


class AccountLimiter:
    """What one runner has used of the accounts' limits, and the shares that it holds.

    :ivar run_id: id of this run of the process.
    :ivar sequence: number of the last report.
    :ivar uses: by account.
    :ivar shares: operations in a window by account, valid until ``expires_at``.
    :ivar share_version: version of these shares, 0 for none of this leader.
    :ivar leader_term: term of the leader that knows them, 0 for none.
    :ivar is_known: whether that leader has been told what this process holds.
    :ivar expires_at: end of the lease, in seconds of the clock.
    :ivar is_report_due: whether to report at once: a share is nearly used up, or
        another runner may be waiting for what this one has given up.
    :ivar reported_at: when the last report was made, in seconds of the clock.
    """

    __slots__ = (
        "run_id",
        "sequence",
        "uses",
        "shares",
        "share_version",
        "leader_term",
        "is_known",
        "expires_at",
        "is_report_due",
        "reported_at",
    )

    def __init__(self, run_id: str = ""):
        self.run_id = run_id
        self.sequence = 0
        self.uses: dict[str, AccountUse] = {}
        self.shares: dict[str, float] = {}
        self.share_version = 0
        self.leader_term = 0
        self.is_known = False
        self.expires_at = -math.inf
        self.is_report_due = False
        self.reported_at = -math.inf

    # Operations.

    def take(self, policy: AccountPolicy, now: float) -> LimitRefusal | None:
        """Admits an operation of an account with a limit, if that allows it.

        :returns: ``None`` if it may run, else the refusal.
        """
        use = self.uses.get(policy.name)
        if use is None:
            use = self.uses[policy.name] = AccountUse(policy, now)
        use.record_request(now)
        used = use.window.advance(now)
        if now >= self.expires_at or policy.name not in self.shares:
            self._request_report(now)
            return LimitRefusal(RETRY_NO_SHARE_S, 0.0, used)
        # A limit that was lowered in this process's table binds at once.
        share = min(self.shares[policy.name], most_operations(policy))
        use.bucket.set_limit(policy.rate_per_s, policy.burst + SLACK_OPERATIONS, now)
        if used >= use.report_above or used + 1 > share:
            self._request_report(now)
        wait_s = max(
            use.bucket.wait_s(now),
            self._wait_for_share_s(use, policy, share, now),
        )
        if wait_s > 0.0:
            return LimitRefusal(min(wait_s, QUOTA_WINDOW_S), share, used)
        use.bucket.take()
        use.window.add(now)
        return None

    def put_back(self, account: str, taken_at: float) -> None:
        """Takes back an operation of which nothing reached a target.

        :param taken_at: when it was admitted, in seconds of the clock.
        """
        use = self.uses.get(account)
        if use is not None:
            use.bucket.put_back()
            use.window.remove(taken_at)

    def end(self, account: str, taken_at: float, now: float) -> None:
        """Records that an operation has reached a target by now.

        It may have waited for long, so it counts for a whole window from now on.

        :param taken_at: when it was admitted, in seconds of the clock.
        """
        use = self.uses.get(account)
        if use is not None:
            use.window.advance(now)
            use.window.remove(taken_at)
            use.window.add(now)

    def _wait_for_share_s(
        self, use: AccountUse, policy: AccountPolicy, share: float, now: float
    ) -> float:
        """Returns the time until the share allows an operation, in seconds.

        The share may grow sooner if the account has not used up its limit elsewhere, so
        that the time is at most :data:`RETRY_NO_SHARE_S`, or that of one operation at
        the account's rate if that is longer.
        """
        wait_s = use.window.wait_s(share, now)
        token_s = 1.0 / max(policy.rate_per_s, MIN_RATE_PER_S)
        return min(wait_s, max(token_s, RETRY_NO_SHARE_S))

    def _request_report(self, now: float) -> None:
        if now - self.reported_at >= EARLY_REPORT_SPACING_S:
            self.is_report_due = True

    # Reports.

    def has_report(self, now: float) -> bool:
        """Whether there is a share, a demand or a used operation to report."""
        has_share = bool(self.shares) and now < self.expires_at
        return has_share or bool(self._demands(now))

    def build_report(self, now: float) -> RateReport:
        """Returns the part of a report that concerns the shares."""
        self.reported_at = now
        self.is_report_due = False
        self.sequence += 1
        held = None
        if not self.is_known:
            held = self._held_shares(now)
        return RateReport(
            self.run_id,
            self.sequence,
            self.leader_term,
            self.share_version,
            self._demands(now),
            held,
        )

    def apply_reply(
        self, reply: RateReply, report: RateReport, sent_at: float, now: float
    ) -> None:
        """Applies the leader's reply to a report.

        :param sent_at: when the report was sent, in seconds of the clock.
        """
        if reply.leader_term < self.leader_term:
            # A former leader; the present one doesn't count what that one grants.
            return
        if reply.leader_term != self.leader_term:
            self.leader_term = reply.leader_term
            self.is_known = False
            self.share_version = 0
        if not reply.share_version:
            self.is_report_due = not self.is_known
            return
        if reply.shares is not None:
            self._apply_shares(reply.shares, now)
        elif report.held_shares is None and reply.share_version != self.share_version:
            return
        self.is_known = True
        self.share_version = reply.share_version
        self.expires_at = max(self.expires_at, sent_at + SHARE_LEASE_S)

    def forget(self, accounts: dict[str, AccountPolicy], now: float) -> None:
        """Drops accounts that the routing table no longer has and nobody uses."""
        for name, use in list(self.uses.items()):
            if name not in accounts and not use.window.advance(now):
                del self.uses[name]

    def _held_shares(self, now: float) -> list[RateShare]:
        if now >= self.expires_at:
            return []
        return [RateShare(name, share) for name, share in self.shares.items()]

    def _demands(self, now: float) -> list[AccountDemand]:
        demands = []
        for name, use in self.uses.items():
            demand = use.demand_now(now)
            used = use.window.advance(now)
            if used or demand >= MIN_REPORTED_DEMAND:
                demands.append(AccountDemand(name, round(demand, 2), used))
        return demands

    def _apply_shares(self, shares: list[RateShare], now: float) -> None:
        before = self.shares
        self.shares = {share.account: share.operations for share in shares}
        for name, use in self.uses.items():
            used = use.window.advance(now)
            unused = max(self.shares.get(name, 0.0) - used, 0.0)
            use.report_above = used + REPORTED_USE * unused
        if any(
            self.shares.get(name, 0.0) < ACKNOWLEDGED_CHANGE * share
            for name, share in before.items()
        ):
            # Another runner may be waiting until this one has acknowledged it.
            self.is_report_due = True

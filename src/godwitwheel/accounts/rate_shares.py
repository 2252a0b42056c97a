"""Divides the rate limits of client accounts among the runners, at control's leader.

A limit is divided as the number of operations in a window of :data:`QUOTA_WINDOW_S`.
What a runner has used in the last window stays with it, and what nobody has used is
divided by demand: so it moves with the demand at once, while a divided rate would be
lost at each runner that has no use for its part just then.

The shares that may be in use, and the operations that ran under former ones, never add
up to more than the limit. So a share can grow only when the others have acknowledged
smaller ones, or when the leases of those have ended for as long as a window.
"""

import math

from ..directory.records import AccountPolicy, RateReply, RateReport, RateShare
from ..directory.report_timing import DEMAND_MAX_AGE_S

# Duration of the lease on a runner's shares, counted there from when it sent its
# report, in seconds.
SHARE_LEASE_S = 3.0
# Window in which the operations of an account are limited, in seconds.
QUOTA_WINDOW_S = 5.0
# A runner counts operations in slots of this length, in seconds.
WINDOW_SLOT_S = 0.05
# Window in which a runner counts its operations: its clock may be fast by 1%.
COUNTED_WINDOW_S = 1.01 * QUOTA_WINDOW_S
# Time for which an operation counts at most, in seconds.
HELD_WINDOW_S = COUNTED_WINDOW_S + WINDOW_SLOT_S
# Operations that are added to each account's burst, over all runners together: a share
# of a small burst would otherwise be less than one operation.
SLACK_OPERATIONS = 10.0
# Least share of the unused operations, as a part of an even share.
MIN_SHARE_OF_EVEN = 0.4
# Least share of the unused operations, if there are enough of them, so that the next
# operation of an account can be admitted at any runner.
MIN_SHARE_OPERATIONS = 3.0
# Change of a share that is sent, as a part of the limit; and the same while another
# runner lacks a part of its share.
SENT_CHANGE = 0.05
SENT_CHANGE_IN_SHORTAGE = 0.002
# A share is also sent if a runner has less than this part of the unused operations that
# it should have.
SENT_UNUSED = 0.7


def most_operations(policy: AccountPolicy) -> float:
    """Returns how many operations of an account are divided among the runners."""
    return policy.rate_per_s * HELD_WINDOW_S + policy.burst + SLACK_OPERATIONS


class RunnersInUse:
    """The runners that a view names.

    :ivar ids: ids of the owners, and of the proxies if services have no owner.
    :ivar has_proxies: whether proxies are among them.
    """

    __slots__ = ("ids", "has_proxies")

    def __init__(self, ids: set[str], has_proxies: bool = False):
        self.ids = ids
        self.has_proxies = has_proxies


class Grant:
    """Shares that a runner may hold.

    :ivar shares: operations in a window, by account.
    :ivar policies: the accounts' limits when the shares were granted, by account.
    :ivar expires_at: when its lease ends at the latest, in seconds of the clock.
    """

    __slots__ = ("shares", "policies", "expires_at")

    def __init__(
        self,
        shares: list[RateShare],
        policies: dict[str, AccountPolicy],
        expires_at: float,
    ):
        self.shares = {share.account: share.operations for share in shares}
        self.policies = policies
        self.expires_at = expires_at


class RunnerState:
    """What the leader knows of one run of a runner.

    :ivar demands: operations requested per second, by account.
    :ivar used: operations that ran in the last window, by account.
    :ivar sequence: number of the last report.
    :ivar reported_at: when the last report arrived, in seconds of the clock.
    :ivar grants: what it may hold, by version.
    :ivar introduced: what it held when it first reported, by account; ``None`` before
        that.
    :ivar short: accounts of which it lacks a part of its share.
    """

    __slots__ = (
        "run_id",
        "demands",
        "used",
        "sequence",
        "reported_at",
        "grants",
        "introduced",
        "short",
    )

    def __init__(self, run_id: str):
        self.run_id = run_id
        self.demands: dict[str, float] = {}
        self.used: dict[str, int] = {}
        self.sequence = 0
        self.reported_at = -math.inf
        self.grants: dict[int, Grant] = {}
        self.introduced: dict[str, float] | None = None
        self.short: set[str] = set()

    def record_report(self, report: RateReport, received_at: float) -> None:
        """Records the demands and the operations that a report lists."""
        self.demands = {each.account: each.rate_per_s for each in report.demands}
        self.used = {each.account: each.used for each in report.demands}
        self.sequence = report.sequence
        self.reported_at = received_at

    def demand(self, account: str, now: float) -> float:
        """Returns an account's demand, in operations per second."""
        if now - self.reported_at > DEMAND_MAX_AGE_S:
            return 0.0
        return self.demands.get(account, 0.0)

    def in_use(self, account: str, now: float) -> float:
        """Returns the most operations of an account that ran or may run in a window."""
        most = 0.0
        counted_from = now - HELD_WINDOW_S
        if counted_from < self.reported_at:
            most = self.used.get(account, 0)
        for grant in self.grants.values():
            if counted_from < grant.expires_at:
                most = max(most, grant.shares.get(account, 0.0))
        return most

    def is_gone(self, now: float) -> bool:
        """Whether nothing that it holds or has run counts any longer."""
        ends = [grant.expires_at for grant in self.grants.values()]
        return now >= max([self.reported_at, *ends]) + HELD_WINDOW_S


class RateShares:
    """The shares granted in one period of leadership.

    :ivar term: term of the leadership.
    :ivar leases_end_at: when the leases that a former leader granted have ended, in
        seconds of the clock.
    :ivar former_owners: owners to which a former leader may have granted shares;
        ``None`` if proxies may hold shares as well, or before the first report.
    :ivar known_at: when the last of these owners reported what it held, in seconds of
        the clock.
    :ivar former_accounts: accounts that a former leader may have granted shares of;
        ``None`` before the first report.
    :ivar runners: by process id.
    :ivar replaced: former runs of runners that have restarted.
    """

    __slots__ = (
        "term",
        "lease_s",
        "leases_end_at",
        "former_owners",
        "known_at",
        "former_accounts",
        "runners",
        "replaced",
        "next_version",
    )

    def __init__(self, leader_since: float, term: int, drift: float):
        self.term = term
        self.lease_s = SHARE_LEASE_S * (1.0 + drift)
        self.leases_end_at = leader_since + self.lease_s
        self.former_owners: set[str] | None = None
        self.known_at = math.inf
        self.former_accounts: set[str] | None = None
        self.runners: dict[str, RunnerState] = {}
        self.replaced: list[RunnerState] = []
        self.next_version = 1

    def answer(
        self,
        runner_id: str,
        report: RateReport,
        policies: dict[str, AccountPolicy],
        in_use: RunnersInUse,
        received_at: float,
        now: float,
    ) -> RateReply:
        """Returns the shares that a runner gets with the reply to its report.

        :param policies: the accounts of the active routing table.
        :param in_use: the runners according to the active view.
        :param received_at: when the report arrived, in seconds of the clock.
        """
        limited = limited_accounts(policies)
        if self.former_accounts is None:
            self.former_accounts = set(limited)
            self.former_owners = None if in_use.has_proxies else set(in_use.ids)
        runner = self._runner(runner_id, report.run_id)
        if report.sequence < runner.sequence:
            # A late report; the runner no longer waits for the reply.
            return RateReply(self.term)
        runner.record_report(report, received_at)
        expires_at = received_at + self.lease_s
        is_introduction = report.held_shares is not None
        if is_introduction and runner.introduced is None:
            runner.introduced = _held_or_used(report)
            self._check_all_known(now)
        if is_introduction and report.held_shares:
            # What a former leader granted is granted again.
            version = self._record_grant(
                runner, report.held_shares, limited, expires_at
            )
            return RateReply(self.term, version)
        if not is_introduction and report.leader_term != self.term:
            return RateReply(self.term)
        held_version = 0 if is_introduction else report.share_version
        held = self._held_grant(runner, held_version, now)
        shares = self._divide(runner, held, limited, in_use.ids, now)
        is_unconfirmed = any(version > held_version for version in runner.grants)
        if (
            held is None
            or is_unconfirmed
            or self._must_send(runner, held, shares, limited, now)
        ):
            version = self._record_grant(runner, shares, limited, expires_at)
            return RateReply(self.term, version, shares)
        held.expires_at = max(held.expires_at, expires_at)
        return RateReply(self.term, held_version)

    def drop_expired(self, now: float) -> None:
        """Forgets what no longer counts."""
        self.replaced = [run for run in self.replaced if not run.is_gone(now)]
        if now < self._unknown_from() + HELD_WINDOW_S:
            # What the runners introduced still tells what is unknown.
            return
        for runner_id, runner in list(self.runners.items()):
            if runner.is_gone(now):
                del self.runners[runner_id]

    def _runner(self, runner_id: str, run_id: str) -> RunnerState:
        runner = self.runners.get(runner_id)
        if runner is not None and runner.run_id != run_id:
            # The new run does not know what the former one ran in the last window.
            self.replaced.append(runner)
            runner = None
        if runner is None:
            runner = self.runners[runner_id] = RunnerState(run_id)
        return runner

    def _held_grant(
        self, runner: RunnerState, held_version: int, now: float
    ) -> Grant | None:
        """Returns the grant that a runner holds, and drops those it has replaced."""
        held = runner.grants.get(held_version)
        if held is None or now >= held.expires_at:
            return None
        for version in [each for each in runner.grants if each < held_version]:
            del runner.grants[version]
        return held

    def _record_grant(
        self,
        runner: RunnerState,
        shares: list[RateShare],
        limited: dict[str, AccountPolicy],
        expires_at: float,
    ) -> int:
        version = self.next_version
        self.next_version += 1
        runner.grants[version] = Grant(shares, limited, expires_at)
        return version

    def _must_send(
        self,
        runner: RunnerState,
        held: Grant,
        shares: list[RateShare],
        limited: dict[str, AccountPolicy],
        now: float,
    ) -> bool:
        """Whether new shares differ enough from those that the runner holds."""
        if held.shares.keys() != {share.account for share in shares}:
            return True
        for share in shares:
            policy = limited[share.account]
            if held.policies.get(share.account) != policy:
                return True
            before = held.shares[share.account]
            whole = most_operations(policy)
            change = share.operations - before
            if abs(change) > SENT_CHANGE * whole:
                return True
            if change > 0.0:
                used = runner.used.get(share.account, 0)
                if before - used < SENT_UNUSED * (share.operations - used):
                    return True
            elif -change > SENT_CHANGE_IN_SHORTAGE * whole and self._is_short(
                share.account, runner
            ):
                return True
        return False

    def _is_short(self, account: str, excluded: RunnerState) -> bool:
        return any(
            account in runner.short
            for runner in self.runners.values()
            if runner is not excluded
        )

    # Division.

    def _divide(
        self,
        runner: RunnerState,
        held: Grant | None,
        limited: dict[str, AccountPolicy],
        in_use: set[str],
        now: float,
    ) -> list[RateShare]:
        """Returns a runner's shares of all accounts that it may run operations of."""
        runner.short.clear()
        shares = []
        for name, policy in limited.items():
            sharing = self._sharing(name, in_use, now)
            if runner in sharing:
                before = held.shares.get(name, 0.0) if held is not None else 0.0
                share = self._divide_account(runner, before, policy, sharing, now)
                shares.append(RateShare(name, share))
        return shares

    def _sharing(self, account: str, in_use: set[str], now: float) -> list[RunnerState]:
        """Returns the runners among which an account is divided.

        A replaced owner belongs to them as long as proxies send it operations.
        """
        return [
            runner
            for runner_id, runner in self.runners.items()
            if runner_id in in_use or runner.demand(account, now) > 0.0
        ]

    def _divide_account(
        self,
        runner: RunnerState,
        before: float,
        policy: AccountPolicy,
        sharing: list[RunnerState],
        now: float,
    ) -> float:
        """Returns a runner's share of an account.

        :param before: the share that it holds.
        """
        name = policy.name
        whole = most_operations(policy) - self._unknown(policy, now)
        left = divided = whole
        for each in [*self.runners.values(), *self.replaced]:
            if each is runner:
                continue
            in_use = each.in_use(name, now)
            left -= in_use
            if each not in sharing:
                divided -= in_use
        target = share_of(
            divided,
            sharing.index(runner),
            [each.used.get(name, 0) for each in sharing],
            [each.demand(name, now) for each in sharing],
        )
        # What it holds is counted already. If it gave that up because others still hold
        # too much of a lowered limit, nobody would keep a share.
        share = max(min(target, max(left, before)), 0.0)
        if target - share > SENT_CHANGE_IN_SHORTAGE * whole:
            runner.short.add(name)
        return share

    def _check_all_known(self, now: float) -> None:
        introduced = {
            runner_id
            for runner_id, runner in self.runners.items()
            if runner.introduced is not None
        }
        if self.former_owners is not None and self.former_owners <= introduced:
            self.known_at = min(self.known_at, now)

    def _unknown_from(self) -> float:
        """Returns from when on no unknown runner runs operations, in seconds."""
        return min(self.known_at, self.leases_end_at)

    def _unknown(self, policy: AccountPolicy, now: float) -> float:
        """Returns the operations that unknown runners may have run or may run.

        A former leader granted no more than the limit; what the runners have introduced
        is a part of that. Once all former owners have reported, or the leases have
        ended, only operations of the past count, such as those of a process that has
        restarted. They leave the window at their part of the account's rate; their
        part of its burst, at the end.
        """
        is_former = self.former_accounts is None or policy.name in self.former_accounts
        past_s = now - self._unknown_from()
        if past_s >= HELD_WINDOW_S or not is_former:
            return 0.0
        introduced = [
            run.introduced.get(policy.name, 0.0)
            for run in [*self.runners.values(), *self.replaced]
            if run.introduced is not None
        ]
        most = most_operations(policy)
        unknown = max(most - sum(introduced), 0.0)
        left_window = max(past_s, 0.0) * policy.rate_per_s * unknown / most
        return max(unknown - left_window, 0.0)


def share_of(whole: float, index: int, used: list[int], demands: list[float]) -> float:
    """Returns one runner's share of the operations of a window.

    It keeps what it has used, and gets a part of the rest: a floor, and then by demand.

    :param index: which runner.
    :param used: operations that each ran in the last window.
    :param demands: each runner's demand, in operations per second.
    """
    unused = whole - sum(used)
    if unused <= 0.0:
        return max(whole, 0.0) * used[index] / max(sum(used), 1)
    even = unused / len(used)
    floor = max(MIN_SHARE_OF_EVEN * even, min(MIN_SHARE_OPERATIONS, even))
    rest = unused - floor * len(used)
    total = sum(demands)
    weight = demands[index] / total if total > 0.0 else 1.0 / len(demands)
    return used[index] + floor + rest * weight


def limited_accounts(policies: dict[str, AccountPolicy]) -> dict[str, AccountPolicy]:
    """Returns the accounts that have a limit."""
    return {
        name: policy
        for name, policy in policies.items()
        if policy.rate_per_s is not None
    }


def _held_or_used(report: RateReport) -> dict[str, float]:
    """Returns what counts of a runner's earlier shares, by account."""
    counted = {share.account: share.operations for share in report.held_shares or []}
    for each in report.demands:
        counted[each.account] = max(counted.get(each.account, 0.0), each.used)
    return counted

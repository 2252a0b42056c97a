"""Simulates runners and the leader that divides rate limits among them.

The real limiters and the real division run on simulated clocks and messages. Each
runner sends one report at a time; a report or its reply can be late or lost.
"""

import collections
import math
import random

from godwitwheel.accounts.limiter import AccountLimiter
from godwitwheel.accounts.rate_shares import RateShares, RunnersInUse
from godwitwheel.directory.records import AccountPolicy

STEP_S = 0.01
REPORT_INTERVAL_S = 0.2
REPORT_TIMEOUT_S = 0.4
RETRY_INTERVAL_S = 0.05
REPORT_SPACING_S = 0.01
DRIFT = 0.01
WINDOW_S = 5.0


class Runner:
    """A process that connects to targets.

    :ivar speed: rate of its clock relative to true time.
    :ivar paused_until: in true time; until then it neither reports nor runs anything.
    :ivar policies: the accounts of its routing table.
    """

    def __init__(self, name, rng, speed, policies):
        self.name = name
        self.rng = rng
        self.speed = speed
        self.offset = rng.uniform(0.0, 1000.0)
        self.limiter = AccountLimiter(str(rng.random()))
        self.policies = policies
        self.paused_until = 0.0
        self.is_connected = True
        self.waits_for = None
        self.report_at = 0.0

    def clock(self, now):
        return self.offset + now * self.speed


class Exchange:
    """A report on its way, or its reply."""

    def __init__(self, runner, report, sent_at, arrives_at, timeout_at):
        self.runner = runner
        self.report = report
        self.sent_at = sent_at
        self.arrives_at = arrives_at
        self.timeout_at = timeout_at
        self.reply = None


class RateSimulation:
    """Runners, a leader, and the operations that ran.

    :ivar policies: accounts of the active routing table.
    :ivar in_use: names of the runners that the view names.
    :ivar loss: part of the messages that are lost.
    :ivar late: part of the messages that are late by up to a second.
    :ivar ran: times at which operations ran, by account.
    """

    def __init__(self, policies, names, seed, speeds=None):
        self.rng = random.Random(seed)
        self.now = 10.0
        self.policies = dict(policies)
        self.in_use = set(names)
        self.loss = 0.0
        self.late = 0.0
        self.leader_speed = 1.0
        speeds = speeds or dict.fromkeys(names, 1.0)
        self.runners = {
            name: Runner(name, self.rng, speeds[name], dict(policies)) for name in names
        }
        self.exchanges = []
        self.ran = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.term = 0
        self.elect()

    def elect(self):
        """Makes another member the leader; it knows nothing of earlier grants."""
        self.term += 1
        self.leader = RateShares(self.leader_clock(), self.term, DRIFT)

    def leader_clock(self):
        return self.now * self.leader_speed + 77.0 * self.term

    def restart(self, name):
        old = self.runners[name]
        self.runners[name] = Runner(name, self.rng, old.speed, dict(self.policies))

    def set_limit(self, name, rate_per_s, burst):
        """Publishes a limit; the runners have it within the next report."""
        self.policies[name] = AccountPolicy(name, [], rate_per_s, burst)

    def request(self, name, account):
        """Requests an operation at a runner; returns whether it ran."""
        runner = self.runners[name]
        if self.now < runner.paused_until:
            return None
        policy = runner.policies[account]
        if runner.limiter.take(policy, runner.clock(self.now)) is not None:
            self.refused[account] += 1
            return False
        self.ran[account].append(self.now)
        return True

    def step(self):
        """Advances time by one step, with all messages that are due."""
        self.now += STEP_S
        for runner in self.runners.values():
            self._send_report(runner)
        for exchange in list(self.exchanges):
            self._advance(exchange)
        self.leader.drop_expired(self.leader_clock())

    def _delay(self):
        if self.rng.random() < self.late:
            return self.rng.uniform(0.1, 1.0)
        return self.rng.uniform(0.002, 0.02)

    def _is_lost(self, runner):
        return not runner.is_connected or self.rng.random() < self.loss

    def _send_report(self, runner):
        now = self.now
        if now < runner.paused_until:
            return
        waits_for = runner.waits_for
        if waits_for is not None:
            if now >= waits_for.timeout_at:
                runner.waits_for = None
                runner.report_at = now + RETRY_INTERVAL_S
            return
        if runner.limiter.is_report_due:
            runner.report_at = min(runner.report_at, now + REPORT_SPACING_S)
        if now < runner.report_at:
            return
        report = runner.limiter.build_report(runner.clock(now))
        exchange = Exchange(
            runner, report, now, now + self._delay(), now + REPORT_TIMEOUT_S
        )
        runner.waits_for = exchange
        if not self._is_lost(runner):
            self.exchanges.append(exchange)

    def _advance(self, exchange):
        if self.now < exchange.arrives_at:
            return
        runner = exchange.runner
        if exchange.reply is None:
            now = self.leader_clock()
            exchange.reply = self.leader.answer(
                runner.name,
                exchange.report,
                self.policies,
                RunnersInUse(self.in_use),
                now,
                now,
            )
            exchange.table = dict(self.policies)
            exchange.arrives_at = self.now + self._delay()
            if self._is_lost(runner):
                self.exchanges.remove(exchange)
            return
        if self.now < runner.paused_until:
            return
        self.exchanges.remove(exchange)
        if runner.waits_for is not exchange or self.now >= exchange.timeout_at:
            return
        runner.waits_for = None
        runner.report_at = self.now + REPORT_INTERVAL_S
        runner.policies = exchange.table
        runner.limiter.apply_reply(
            exchange.reply,
            exchange.report,
            runner.clock(exchange.sent_at),
            runner.clock(self.now),
        )

    def in_window(self, account):
        """Returns how many operations ran in the last window."""
        times = self.ran[account]
        start = self.now - WINDOW_S
        count = 0
        for time in reversed(times):
            if time <= start:
                break
            count += 1
        return count

    def wait(self, seconds):
        """Advances time without any operation."""
        end = self.now + seconds
        while self.now < end:
            self.step()


def arrivals(rng, mean):
    """Returns a number of arrivals with a Poisson distribution."""
    limit = math.exp(-mean)
    product = rng.random()
    count = 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count

"""A pool's connections under requests of several accounts, against a simple oracle."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from godwitwheel.directory.records import NO_ACCOUNT
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.loop import sleep, spawn
from godwitwheel.sessions.connections.counts import PoolCounts
from godwitwheel.sessions.connections.pool import FULL_PAUSE_S, TargetPool
from godwitwheel.sessions.errors import SessionsError
from tests.common.pools import TARGET, ScriptedTarget

TURNS_OF_THE_LOOP = 8
TIMEOUT_S = 1e6
MAX_OPENING = 2
START_LIMIT = 5
ACCOUNTS = (NO_ACCOUNT, "a", "b", "c")

accounts = st.sampled_from([NO_ACCOUNT, "a", "a", "b", "c"])
priorities = st.sampled_from([1, 1, 1, 2, 99])
choices = st.integers(0, 7)
outcomes = st.sampled_from(["opened", "opened", "opened", "failed", "refused"])


class Ask:
    """A request for a connection.

    :ivar pooled: the connection that it holds.
    :ivar is_done: whether it holds a connection or has ended.
    """

    def __init__(self, number, account, priority):
        self.number = number
        self.account = account
        self.priority = priority
        self.task = None
        self.pooled = None
        self.is_done = False


class AccountPoolMachine(RuleBasedStateMachine):
    """Counts connections at the target, and what each request waits for.

    :ivar allowed: most connections that may be open; above the limit only while
        connections are in use that were opened under a higher one.
    :ivar refused_until: end of the pause after the target refused a connection.
    :ivar waited: the requests that waited before the last step, in order of arrival.
    :ivar before: how many connections were being opened, and in use, before the last
        step.
    :ivar in_use_before: connections in use or being opened before it, by account.
    :ivar has_accounts: whether an account has asked; until then the pool is the one
        that tests/cover/test_plain_pool.py checks.
    :ivar had_accounts: the same before the last step.
    :ivar expected: the request that a released connection should go to, if known.
    :ivar kept: the idle connection for probes that no account may evict.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.target = ScriptedTarget()
        self.target.on_connect = self.check_connect
        self.pool = TargetPool(
            TARGET, self.target, self.clock, START_LIMIT, PoolCounts()
        )
        self.asks: list[Ask] = []
        self.wrong: list[str] = []
        self.limit = self.allowed = START_LIMIT
        self.refused_until = 0.0
        self.waited: list[Ask] = []
        self.before = (0, 0)
        self.in_use_before = dict.fromkeys(ACCOUNTS, 0)
        self.has_accounts = self.had_accounts = False
        self.expected = None
        self.kept = None

    # What the test does.

    @rule(account=accounts, priority=priorities)
    def ask(self, account, priority):
        self.start(account, priority)
        self.settle()

    @rule(asked=st.lists(st.tuples(accounts, priorities), min_size=2, max_size=6))
    def ask_together(self, asked):
        for account, priority in asked:
            self.start(account, priority)
        self.settle()

    @precondition(lambda self: self.target.openings)
    @rule(choice=choices, outcome=outcomes)
    def finish_opening(self, choice, outcome):
        openings = self.target.openings
        openings[choice % len(openings)].finish(outcome)
        if outcome == "refused":
            self.refused_until = self.clock.now() + FULL_PAUSE_S
        self.settle()

    @precondition(lambda self: self.held())
    @rule(choice=choices, is_broken=st.booleans())
    def release(self, choice, is_broken):
        self.release_now(choice, is_broken)
        expected = self.expected
        self.settle()
        if expected in self.waiting():
            self.wrong.append(f"{expected.number} was not served first")

    @precondition(lambda self: self.held())
    @rule(choice=choices, account=accounts)
    def release_and_ask(self, choice, account):
        """A newcomer comes between a release and the request woken by it."""
        self.release_now(choice, False)
        newcomer = self.start(account, 1)
        for _ in range(TURNS_OF_THE_LOOP):
            sleep(0)
        for ask in self.waited if self.had_accounts else ():
            has_precedence = ask.account == account and ask.priority <= 1
            if has_precedence and not ask.is_done and newcomer.is_done:
                self.wrong.append(f"{newcomer.number} overtook {ask.number}")
        self.settle()

    @precondition(lambda self: self.held() and self.waiting())
    @rule(choice=choices, killed=choices)
    def release_and_kill(self, choice, killed):
        """The killed task may have been granted what was released."""
        waiting = self.waiting()
        self.release_now(choice, False)
        self.kill_task(waiting[killed % len(waiting)])
        self.settle()

    @precondition(lambda self: self.unfinished())
    @rule(choice=choices)
    def kill(self, choice):
        unfinished = self.unfinished()
        self.kill_task(unfinished[choice % len(unfinished)])
        self.settle()

    @precondition(lambda self: self.pool.idle)
    @rule(choice=choices)
    def break_idle(self, choice):
        """The target closes an idle connection."""
        idle = self.pool.idle
        idle[choice % len(idle)].connection.is_broken = True

    @rule(limit=st.integers(1, 6))
    def set_limit(self, limit):
        self.limit = self.pool.limit = limit
        self.kept = None
        self.allowed = max(limit, min(self.allowed, self.open_now()))
        self.reconsider()
        self.settle()

    @rule(seconds=st.sampled_from([0.2, 0.6, 11.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)
        self.reconsider()
        self.settle()

    def start(self, account, priority):
        ask = Ask(len(self.asks), account, priority)
        self.asks.append(ask)
        self.has_accounts = self.has_accounts or account != NO_ACCOUNT
        ask.task = spawn(self.acquire, ask)
        return ask

    def acquire(self, ask):
        try:
            ask.pooled = self.pool.acquire(ask.account, {}, ask.priority, TIMEOUT_S)
        except SessionsError:
            return
        finally:
            ask.is_done = True
        connection = ask.pooled.connection
        if connection.account != ask.account or ask.pooled.account != ask.account:
            self.wrong.append(f"{ask.account} got {connection.account}'s connection")
        if connection not in self.target.open:
            self.wrong.append(f"{ask.number} got a closed connection")

    def release_now(self, choice, is_broken):
        held = self.held()
        ask = held[choice % len(held)]
        pooled, ask.pooled = ask.pooled, None
        pooled.is_broken = is_broken
        self.expected = None if is_broken else self.next_served()
        if not self.held():
            # Others may be opened together now, before another is in use.
            self.before = (self.before[0], 0)
        self.pool.release(pooled)

    def kill_task(self, ask):
        ask.task.kill()
        ask.is_done = True

    def reconsider(self):
        """Takes the place of the next release or request."""
        if self.has_accounts:
            self.pool.wake()

    def settle(self):
        for _ in range(TURNS_OF_THE_LOOP):
            sleep(0)
        self.check_order()
        self.check_shares()
        self.check_kept()
        self.waited = self.waiting()
        self.check_openings()
        self.had_accounts = self.has_accounts

    # What the oracle knows.

    def unfinished(self):
        return [ask for ask in self.asks if not ask.is_done]

    def waiting(self):
        opening = [opening.task for opening in self.target.openings]
        return [ask for ask in self.unfinished() if ask.task not in opening]

    def held(self):
        return [ask for ask in self.asks if ask.pooled is not None]

    def open_now(self):
        return len(self.target.open) + len(self.target.openings)

    def open_of(self, account):
        connections = [*self.target.open, *self.target.openings]
        return sum(each.account == account for each in connections)

    def in_use_of(self, account):
        openings = sum(each.account == account for each in self.target.openings)
        return openings + sum(ask.account == account for ask in self.held())

    def idle_of(self, account):
        return self.open_of(account) - self.in_use_of(account)

    def is_below_its_share(self, account):
        if self.in_use_of(account) < max(self.limit // 2, 1):
            return True
        if any(ask.account != account for ask in self.waiting()):
            return False
        in_use = len(self.held()) + len(self.target.openings)
        return in_use < self.limit - self.limit // 4

    def is_reserved_missing(self):
        return self.limit > 1 and self.open_of(NO_ACCOUNT) == 0

    def can_be_evicted_for(self, account):
        """Returns how many idle connections an account may replace."""
        others = [a for a in ACCOUNTS if a not in (account, NO_ACCOUNT)]
        count = sum(self.idle_of(other) for other in others)
        if account != NO_ACCOUNT:
            spare = self.open_of(NO_ACCOUNT) - (self.limit > 1)
            count += max(min(spare, self.idle_of(NO_ACCOUNT)), 0)
        return count

    def may_open(self, account):
        """Whether a connection could be opened for an account now."""
        if self.clock.now() < self.refused_until:
            return False
        is_first_probe = account == NO_ACCOUNT and self.open_of(NO_ACCOUNT) == 0
        is_limited = self.held() and not is_first_probe
        if is_limited and len(self.target.openings) >= MAX_OPENING:
            return False
        missing = account != NO_ACCOUNT and self.is_reserved_missing()
        surplus = self.open_now() + missing + 1 - self.limit
        return self.can_be_evicted_for(account) >= surplus

    def next_served(self):
        """Returns the request that gets a connection that has just become idle."""
        has_broken = any(each.is_broken for each in self.target.open)
        held_now = self.open_now() + self.is_reserved_missing()
        if has_broken or held_now > self.limit or not self.had_accounts:
            return None
        first = {}
        for ask in sorted(self.waiting(), key=lambda a: (a.priority, a.number)):
            first.setdefault(ask.account, ask)
        served = [
            ask
            for ask in first.values()
            if self.is_below_its_share(ask.account)
            and (self.idle_of(ask.account) or self.may_open(ask.account))
        ]
        rank = {
            ask: (ask.priority, self.in_use_of(ask.account), ask.number)
            for ask in served
        }
        return min(served, key=rank.get, default=None)

    # What always holds.

    def check_connect(self, account):
        """Called when a connection begins to be opened, which is counted already."""
        if self.open_now() > self.limit:
            self.wrong.append(f"opened beyond the limit of {self.limit}")
        if account != NO_ACCOUNT and self.is_reserved_missing():
            others = self.open_now()
            if others > self.limit - 1:
                self.wrong.append("used the place that is kept for probes")

    def check_order(self):
        """A request is not served before an earlier one of its account and priority."""
        if not self.had_accounts:
            return
        for ask in self.waiting():
            for other in self.waited:
                is_later = other.number > ask.number and other.account == ask.account
                if is_later and other.priority >= ask.priority and other.pooled:
                    self.wrong.append(f"{other.number} overtook {ask.number}")

    def check_shares(self):
        """No account grows beyond half of the limit while others wait."""
        still_waiting = {ask.account for ask in self.waiting() if ask in self.waited}
        for account, before in self.in_use_before.items():
            in_use = self.in_use_of(account)
            is_large = in_use > max(before, self.limit // 2, 1)
            if self.had_accounts and is_large and still_waiting - {account}:
                self.wrong.append(f"{account} has {in_use} of {self.limit} in use")
            self.in_use_before[account] = in_use

    def check_kept(self):
        """The only connection for probes is not closed in favour of an account."""
        kept = self.kept
        if kept is not None and kept not in self.target.open and not kept.is_broken:
            self.wrong.append("evicted the connection that is kept for probes")
        mine = [each for each in self.target.open if each.account == NO_ACCOUNT]
        is_kept = 1 < self.limit >= self.open_now() and self.open_of(NO_ACCOUNT) == 1
        self.kept = mine[0] if is_kept and self.idle_of(NO_ACCOUNT) else None

    def check_openings(self):
        """Few are opened at once beside others in use, and the first for probes."""
        opening, held = len(self.target.openings), len(self.held())
        opening_before, held_before = self.before
        is_limited = self.had_accounts and min(held, held_before) > 0
        has_probe = any(each.account == NO_ACCOUNT for each in self.target.openings)
        if is_limited and opening > max(opening_before, MAX_OPENING) + has_probe:
            self.wrong.append(f"{opening} connections are being opened at once")
        self.before = (opening, held)

    @invariant()
    def nothing_went_wrong(self):
        assert not self.wrong

    @invariant()
    def stays_within_the_limit(self):
        self.allowed = max(self.limit, min(self.allowed, self.open_now()))
        assert self.open_now() <= self.allowed

    @invariant()
    def no_place_is_lost(self):
        assert self.pool.open_count == self.open_now()
        assert self.pool.opening == len(self.target.openings)
        assert len(self.pool.waiters) == len(self.waiting())
        assert self.pool.shares.in_use == len(self.held()) + self.pool.opening
        for account in ACCOUNTS:
            assert self.pool.shares.open_count(account) == self.open_of(account)
            assert self.pool.shares.in_use_of(account) == self.in_use_of(account)

    @invariant()
    def nobody_waits_beside_what_it_could_use(self):
        if not self.has_accounts:
            return
        for account in {ask.account for ask in self.waiting()}:
            if self.is_below_its_share(account):
                assert not self.idle_of(account)
                assert not self.may_open(account)

    def teardown(self):
        """Everyone is served as long as connections are released."""
        steps = 0
        while self.unfinished():
            steps += 1
            assert steps < 10 * (len(self.asks) + 1), "requests wait for ever"
            self.clock.advance(FULL_PAUSE_S)
            for opening in list(self.target.openings):
                opening.finish("opened")
            while self.held():
                self.release_now(0, False)
            self.reconsider()
            self.settle()
        while self.held():
            self.release_now(0, False)
        self.settle()
        assert not self.wrong
        self.pool.close()
        assert not self.target.open
        assert self.pool.open_count == self.pool.shares.in_use == 0
        uses = self.pool.shares.uses.values()
        assert not any(use.open_count or use.in_use for use in uses)


TestAccountPool = AccountPoolMachine.TestCase
TestAccountPool.settings = settings(max_examples=200, stateful_step_count=40)

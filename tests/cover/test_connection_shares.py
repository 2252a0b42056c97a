"""Which account gets, keeps and loses a pool's connections."""

from godwitwheel.decisions.connection_shares import (
    FORGET_AFTER_S,
    MAX_OPENING,
    ConnectionRequest,
    ConnectionShares,
    SharedConnection,
)

PROBES = ""
LIMIT = 30
NOW = 1000.0
COLD_AT = NOW - 11.0


class SharesHarness:
    """The shares of a pool, and its idle connections in order of their last use."""

    def __init__(self):
        self.shares = ConnectionShares(PROBES)
        self.idle: list[SharedConnection] = []

    def use(self, account, count):
        for _ in range(count):
            self.shares.record_opening(account, NOW)

    def leave(self, account, *last_uses):
        """Adds connections that were opened together, and used once."""
        for last_used_at in last_uses:
            self.shares.record_opening(account, last_used_at)
            self.idle.append(SharedConnection(account, last_used_at))
        for _ in last_uses:
            self.shares.record_released(account)
        self.idle.sort(key=lambda each: each.last_used_at)

    def ask(self, account, *times):
        """Takes the account's connection that was used last, at each of the times."""
        for now in times:
            self.shares.record_taken(account, now)
            self.shares.record_released(account)
            self.idle_of(account)[-1].last_used_at = now
            self.idle.sort(key=lambda each: each.last_used_at)

    def idle_of(self, account):
        return [each for each in self.idle if each.account == account]

    def evicted_for(self, account, limit=LIMIT):
        evicted = self.shares.choose_evicted(self.idle, account, limit, NOW)
        return None if evicted is None else (evicted.account, evicted.last_used_at)


def test_an_account_with_traffic_keeps_its_connections():
    """Equal shares would take them, since it has more than accounts that ask rarely."""
    harness = SharesHarness()
    harness.leave("busy", *[NOW - 4.0] * 3)
    harness.leave("rare", NOW - 20.0)
    assert harness.evicted_for("other") == ("rare", NOW - 20.0)


def test_an_account_that_asks_often_keeps_its_connection_after_a_short_pause():
    """The least recently used connection may be that of the account that asks most."""
    harness = SharesHarness()
    harness.leave("often", NOW - 9.0)
    harness.ask("often", NOW - 7.0, NOW - 5.0, NOW - 3.0)
    harness.leave("rare", NOW - 1.0)
    assert harness.evicted_for("other") == ("rare", NOW - 1.0)


def test_connections_left_from_a_burst_are_evicted_first():
    """Requests that need one connection do not keep the others of their account."""
    harness = SharesHarness()
    harness.leave("burst", *[NOW - 20.0] * 3)
    harness.ask("burst", NOW - 2.0, NOW - 1.0, NOW)
    harness.leave("rare", NOW - 10.0)
    assert harness.evicted_for("other") == ("burst", NOW - 20.0)


def test_among_equals_the_least_recently_used_connection_is_evicted():
    harness = SharesHarness()
    for account, last_used_at in (("a", NOW - 1.0), ("b", NOW - 3.0), ("c", NOW - 2.0)):
        harness.leave(account, NOW - 5.0)
        harness.idle_of(account)[0].last_used_at = last_used_at
    assert harness.evicted_for("other") == ("b", NOW - 3.0)


def test_connections_above_half_of_the_limit_are_evicted_first():
    """Otherwise an account with very many requests would keep all it has opened."""
    harness = SharesHarness()
    harness.leave("a", NOW - 3.0)
    harness.leave("hot", *[NOW - 1.0] * (LIMIT // 2 + 1))
    assert harness.evicted_for("other") == ("hot", NOW - 1.0)


def test_an_account_evicts_none_of_its_own():
    harness = SharesHarness()
    harness.leave("a", COLD_AT)
    assert harness.evicted_for("a") is None


def test_the_only_connection_for_probes_is_not_evicted():
    harness = SharesHarness()
    harness.leave(PROBES, COLD_AT)
    assert harness.evicted_for("a") is None
    harness = SharesHarness()
    harness.leave(PROBES, COLD_AT, COLD_AT + 0.5)
    assert harness.evicted_for("a") == (PROBES, COLD_AT)


def test_a_pool_of_one_connection_serves_all_accounts():
    harness = SharesHarness()
    harness.leave(PROBES, COLD_AT)
    assert harness.evicted_for("a", limit=1) == (PROBES, COLD_AT)
    assert ConnectionShares(PROBES).surplus("a", 0, 1) < 0
    assert ConnectionShares(PROBES).may_take("a", ["b"], 1)


def test_a_place_is_kept_for_probes():
    harness = SharesHarness()
    harness.use("a", LIMIT - 1)
    assert harness.shares.surplus("b", LIMIT - 1, LIMIT) == 0
    assert harness.shares.surplus(PROBES, LIMIT - 1, LIMIT) == -1
    harness.use(PROBES, 1)
    assert harness.shares.surplus(PROBES, LIMIT, LIMIT) == 0


def test_the_place_kept_for_probes_is_used_once():
    harness = SharesHarness()
    harness.use(PROBES, 1)
    assert harness.shares.surplus("a", LIMIT - 1, LIMIT) == -1


def test_idle_connections_are_counted_as_they_are_evicted():
    """Connections would otherwise be closed without making enough room."""
    harness = SharesHarness()
    harness.leave(PROBES, COLD_AT, COLD_AT, COLD_AT)
    harness.leave("a", COLD_AT)
    harness.leave("b", COLD_AT)
    counts = [
        harness.shares.count_evictable(harness.idle, account, LIMIT)
        for account in (PROBES, "a", "c")
    ]
    assert counts == [2, 3, 4]


def test_an_account_has_at_most_half_in_use_while_others_wait():
    harness = SharesHarness()
    harness.use("a", LIMIT // 2 - 1)
    assert harness.shares.may_take("a", ["a", "b"], LIMIT)
    harness.use("a", 1)
    assert not harness.shares.may_take("a", ["a", "b"], LIMIT)
    assert harness.shares.may_take("a", ["a"], LIMIT)


def test_an_account_alone_leaves_a_quarter_to_accounts_that_come_later():
    """Sessions idle in transactions would hold what it has when the others come."""
    harness = SharesHarness()
    taken = 0
    while harness.shares.may_take("a", ["a"], LIMIT):
        harness.use("a", 1)
        taken += 1
    assert taken == LIMIT - LIMIT // 4
    assert harness.shares.may_take("b", ["a", "b"], LIMIT)


def test_few_connections_are_opened_at_once_beside_statements():
    harness = SharesHarness()
    harness.use("a", MAX_OPENING)
    assert harness.shares.may_open("b", MAX_OPENING)
    harness.use("a", 1)
    assert not harness.shares.may_open("b", MAX_OPENING)
    assert harness.shares.may_open("b", MAX_OPENING - 1)


def test_the_first_connection_for_probes_does_not_wait_for_others_to_open():
    harness = SharesHarness()
    harness.use("a", MAX_OPENING + 1)
    assert harness.shares.may_open(PROBES, MAX_OPENING)
    harness.use(PROBES, 1)
    assert not harness.shares.may_open(PROBES, MAX_OPENING)


def test_requests_are_served_by_priority_then_fewest_in_use_then_arrival():
    harness = SharesHarness()
    harness.use("busy", 2)
    harness.use("calm", 1)
    requests = [
        ConnectionRequest("late", 2, 1),
        ConnectionRequest("busy", 1, 2),
        ConnectionRequest("new", 1, 5),
        ConnectionRequest("calm", 1, 3),
        ConnectionRequest("calm", 1, 4),
        ConnectionRequest("other", 1, 6),
    ]
    ordered = [request.number for request in harness.shares.order(requests)]
    assert ordered == [5, 6, 3, 2, 1]


def test_the_use_by_accounts_without_connections_is_forgotten():
    """The accounts of a long-lived pool would otherwise add up."""
    shares = ConnectionShares(PROBES)
    shares.record_opening("a", NOW)
    shares.record_released("a")
    shares.record_closed("a")
    shares.record_opening("b", NOW + FORGET_AFTER_S - 1.0)
    assert set(shares.uses) == {"a", "b"}
    shares.record_opening("c", NOW + FORGET_AFTER_S + 1.0)
    assert set(shares.uses) == {"b", "c"}

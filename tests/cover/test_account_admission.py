"""Rate limits at the process that connects to targets, and at its proxies."""

import msgspec
import pytest

from godwitwheel.accounts.limiter import RETRY_NO_SHARE_S, AccountLimiter
from godwitwheel.accounts.rate_shares import SLACK_OPERATIONS
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import PutTable, SetOwners
from godwitwheel.directory.member import DirectoryMember
from godwitwheel.directory.records import (
    AccountPolicy,
    OwnerEntry,
    ProxyReply,
    ProxyReport,
    RateReply,
    RateReport,
    RateShare,
    RoutingTable,
    ServicePolicy,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.metrics import NAMED_ACCOUNTS, SessionMetrics
from godwitwheel.sessions.owning.owner_messages import RunReply, reply_with
from godwitwheel.sessions.reporting.rates import apply_rate_reply, build_rate_report
from godwitwheel.sessions.running.admission import limit_answer
from godwitwheel.sessions.statements import Answer, ErrorCode
from godwitwheel.wire.codec import decode, encode
from tests.common.control import OneMemberLog
from tests.common.fake_sessions import (
    SERVICE,
    FakeGroup,
    begin,
    commit,
    read,
    write,
)
from tests.cover.test_owner import Deployment

LIMITED = AccountPolicy("limited", ["k1"], 1.0, 0.0)
FREE = AccountPolicy("free", ["k2"])


def set_accounts(group, *policies):
    view = group.board.view
    accounts = {policy.name: policy for policy in policies}
    routes = {
        name: msgspec.structs.replace(route, public=False)
        for name, route in view.table.routes.items()
    }
    table = msgspec.structs.replace(view.table, accounts=accounts, routes=routes)
    version = view.version + 1
    view = msgspec.structs.replace(view, version=version, table=table)
    assert group.board.apply_view(view)


def grant(group, operations):
    """Gives a runner a share of the limited account."""
    limiter = group.board.account_limiter
    now = group.clock.now()
    report = limiter.build_report(now)
    reply = RateReply(1, 1, [RateShare("limited", operations)])
    limiter.apply_reply(reply, report, now, now)


def session_with(session, key):
    session.state.key_digest = key
    return session


def used(group):
    use = group.board.account_limiter.uses.get("limited")
    return use.window.advance(group.clock.now()) if use is not None else 0


@pytest.fixture
def group():
    group = FakeGroup()
    set_accounts(group, LIMITED, FREE)
    grant(group, 3.0)
    return group


@pytest.fixture
def deployment(monkeypatch):
    deployment = Deployment(monkeypatch)
    for group in (deployment.targets, deployment.front):
        set_accounts(group, LIMITED, FREE)
    grant(deployment.targets, 3.0)
    return deployment


def test_a_proxy_with_its_own_connections_limits_an_account(group):
    session = session_with(group.session("primary"), "k1")
    answers = [session.execute(write(f"w{number}")) for number in range(4)]
    assert [answer.error for answer in answers[:3]] == [None] * 3
    assert answers[3].error is ErrorCode.overloaded
    assert answers[3].account_retry_ms > 0
    assert len(group.runs()) == 3


def test_an_account_without_a_limit_takes_nothing(group):
    session = session_with(group.session("primary"), "k2")
    for number in range(30):
        assert session.execute(write(f"w{number}")).error is None
    assert group.board.account_limiter.uses.keys() == set()


def test_a_public_route_takes_nothing():
    group = FakeGroup()
    for number in range(30):
        assert group.session("primary").execute(write(f"w{number}")).error is None
    assert group.board.account_limiter.uses == {}


def test_a_transaction_is_one_operation(group):
    session = session_with(group.session("primary"), "k1")
    session.execute(begin("-"))
    for number in range(6):
        assert session.execute(write(f"w{number}")).error is None
    assert session.execute(commit("c1")).error is None
    assert used(group) == 1


def test_a_refused_transaction_opens_nothing(group):
    grant(group, 0.0)
    session = session_with(group.session("primary"), "k1")
    session.execute(begin("-"))
    assert session.execute(write("w1")).error is ErrorCode.overloaded
    assert session.execute(commit("c1")).error is not None
    assert group.primary.opened == 0


def test_an_operation_that_reached_no_target_takes_nothing(group, monkeypatch):
    for module in ("single_run", "opening"):
        monkeypatch.setattr(
            f"godwitwheel.sessions.running.{module}.sleep", group.clock.advance
        )
    for target in group.targets.values():
        target.refuses = True
    session = session_with(group.session("primary"), "k1")
    assert session.execute(read("r1")).error is not None
    session.execute(begin("-"))
    assert session.execute(write("w1")).error is not None
    assert used(group) == 0
    assert group.board.account_limiter.uses["limited"].bucket.tokens == pytest.approx(
        SLACK_OPERATIONS
    )


def test_an_operation_that_waited_counts_from_when_it_reached_a_target():
    limiter = AccountLimiter()
    limiter.apply_reply(
        RateReply(1, 1, [RateShare("limited", 1.0)]),
        limiter.build_report(100.0),
        100.0,
        100.0,
    )
    assert limiter.take(LIMITED, 100.0) is None
    limiter.end("limited", 100.0, 102.5)
    limiter.expires_at = 200.0
    assert limiter.take(LIMITED, 107.4) is not None
    assert limiter.take(LIMITED, 107.7) is None


def test_a_lowered_limit_binds_before_the_next_reply(group):
    grant(group, 500.0)
    set_accounts(group, AccountPolicy("limited", ["k1"], 0.0, 0.0))
    session = session_with(group.session("primary"), "k1")
    answers = [session.execute(write(f"w{number}")) for number in range(30)]
    assert sum(answer.error is None for answer in answers) == SLACK_OPERATIONS


def test_operations_before_a_limit_was_lowered_count_for_the_lowered_one():
    limiter = AccountLimiter()
    reply = RateReply(1, 1, [RateShare("limited", 500.0)])
    limiter.apply_reply(reply, limiter.build_report(100.0), 100.0, 100.0)
    before = AccountPolicy("limited", ["k1"], 60.0, 290.0)
    for _ in range(300):
        assert limiter.take(before, 100.0) is None
    assert limiter.take(AccountPolicy("limited", ["k1"], 20.0, 0.0), 101.0) is not None


def test_only_the_owner_counts_an_operation(deployment):
    session = session_with(deployment.session(), "k1")
    assert session.execute(write("w1")).error is None
    assert used(deployment.targets) == 1
    assert used(deployment.front) == 0


def test_the_proxy_refuses_until_the_owner_admits_again(deployment):
    session = session_with(deployment.session(), "k1")
    for number in range(3):
        session.execute(write(f"w{number}"))
    refused = session.execute(write("w3"))
    assert refused.error is ErrorCode.overloaded
    deployment.client.fail_before = True
    again = session.execute(write("w4"))
    assert 0 < again.account_retry_ms <= refused.account_retry_ms
    session.execute(begin("-"))
    assert session.execute(write("w5")).error is ErrorCode.overloaded
    session.execute(commit("c1"))
    deployment.client.fail_before = False
    grant(deployment.targets, 10.0)
    deployment.targets.clock.advance(refused.account_retry_ms / 1000 + 0.001)
    assert session.execute(write("w6")).error is None


def test_the_owners_refusal_of_one_account_concerns_no_other(deployment):
    session = session_with(deployment.session(), "k1")
    for number in range(4):
        session.execute(write(f"w{number}"))
    other = session_with(deployment.session(), "k2")
    assert other.execute(write("w9")).error is None


def test_refusals_are_counted_with_a_bounded_number_of_accounts():
    metrics = SessionMetrics("p1")
    for number in range(NAMED_ACCOUNTS + 5):
        for _ in range(number + 1):
            metrics.limit_refusals.record(f"account-{number}")
    lines = [
        line
        for line in metrics.render().decode().splitlines()
        if line.startswith("godwitwheel_account_limit_refusals_total")
    ]
    assert len(lines) == NAMED_ACCOUNTS + 1
    assert any('account=""' in line and line.endswith(" 15") for line in lines)


def test_only_refusals_by_a_limit_lengthen_the_owners_reply():
    plain = encode(reply_with(Answer(), "", None))
    assert plain == b'[[],"",null,"","idle",null,"",null]'
    assert decode(plain, RunReply).account_retry_ms == 0
    refused = encode(reply_with(limit_answer(40), "", None))
    assert decode(refused, RunReply).account_retry_ms == 40


def test_without_limits_reports_and_replies_are_as_before():
    assert b"rates" not in encode(ProxyReport("p1", "dc-1", 0))
    assert b"rates" not in encode(ProxyReply(0, 1))
    group = FakeGroup()
    assert build_rate_report(group.board, group.clock.now()) is msgspec.UNSET
    set_accounts(group, FREE)
    assert build_rate_report(group.board, group.clock.now()) is msgspec.UNSET


def test_a_reply_with_the_first_limits_causes_a_report_at_once():
    group = FakeGroup()
    report = ProxyReport("p1", "dc-1", 0)
    apply_rate_reply(group.board, report, ProxyReply(0, 1), 0.0)
    assert not group.board.account_limiter.is_report_due
    set_accounts(group, LIMITED)
    apply_rate_reply(group.board, report, ProxyReply(0, 1), 0.0)
    assert group.board.account_limiter.is_report_due


class Member:
    """A member that leads, with one limited account."""

    def __init__(self):
        log = OneMemberLog()
        state = ControlState()
        log.state_machine = state
        log.leader_since = lambda: 100.0
        self.clock = ManualClock(100.0)
        self.member = DirectoryMember(log, state, self.clock, False)
        self.state = state
        accounts = {"limited": LIMITED}
        services = {SERVICE: ServicePolicy(SERVICE, 32)}
        table = RoutingTable(1, {}, services, accounts=accounts)
        state.directory.put_table(1, PutTable(encode(table)))

    def report(self, process_id, rates, owner_address=""):
        return self.member.report(
            ProxyReport(process_id, "dc-1", 0, owner_address=owner_address, rates=rates)
        ).rates


def test_a_leader_grants_the_limit_to_the_runners_in_use():
    member = Member()
    owner = OwnerEntry("o1", "10.0.0.9:1")
    member.state.directory.set_owners(2, SetOwners({SERVICE: owner}))
    rates = RateReport("run1", 1, held_shares=[])
    assert member.report("o1", rates, owner.address).shares == [RateShare("limited", 0)]
    member.clock.advance(10.0)
    rates = RateReport("run1", 2, held_shares=[])
    (share,) = member.report("o1", rates, owner.address).shares
    assert share.operations == pytest.approx(15.1)
    assert member.report("p1", RateReport("run2", 1, held_shares=[])).shares == []
    assert member.report("p1", msgspec.UNSET) is msgspec.UNSET


def test_a_process_without_a_share_refuses(group):
    group.board.account_limiter.expires_at = 0.0
    session = session_with(group.session("primary"), "k1")
    answer = session.execute(write("w1"))
    assert answer.error is ErrorCode.overloaded
    assert answer.account_retry_ms == 1000 * RETRY_NO_SHARE_S
    assert group.runs() == []

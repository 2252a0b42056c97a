"""Client accounts of sessions: keys, their withdrawal, and what targets are told."""

import msgspec
import pytest

from godwitwheel.accounts.authority import LEASE_SHARE
from godwitwheel.accounts.keys import digest_of
from godwitwheel.directory.errors import InvalidTable
from godwitwheel.directory.records import AccountPolicy
from godwitwheel.directory.tables import check_keys
from godwitwheel.sessions.context import SessionState
from godwitwheel.sessions.running.admission import admit
from godwitwheel.sessions.statements import ErrorCode, TransactionState
from tests.common.fake_sessions import (
    WITHDRAWAL_BOUND_S,
    KeyedGroup,
    begin,
    commit,
    read,
    rollback,
    write,
)


@pytest.fixture
def group(monkeypatch):
    """A group whose statements wait in simulated time."""
    made = KeyedGroup()
    for module in ("single_run", "transaction", "opening"):
        monkeypatch.setattr(
            f"godwitwheel.sessions.running.{module}.sleep", made.clock.advance
        )
    return made


def test_targets_are_told_the_account_and_never_the_key(group):
    assert group.keyed_session("k1").execute(write("w1")).error is None
    assert group.keyed_session("k3").execute(write("w2")).error is None
    assert group.accounts_told() == ["ferry", "school"]


def test_two_keys_of_one_account_share_its_connection(group):
    assert group.keyed_session("k1").execute(write("w1")).error is None
    assert group.keyed_session("k2").execute(write("w2")).error is None
    assert group.accounts_told() == ["ferry"]


@pytest.mark.parametrize("key", ["", "k9"])
def test_an_unknown_key_is_refused_before_anything_runs(group, key):
    session = group.keyed_session(key)
    assert session.execute(write("w1")).error is ErrorCode.unauthorized
    assert session.execute(begin("b1")).error is ErrorCode.unauthorized
    assert session.transaction_state() is TransactionState.idle
    assert group.runs() == []


def test_a_withdrawn_key_stops_at_the_next_statement_of_an_open_session(group):
    session = group.keyed_session("k3")
    assert session.execute(write("w1")).error is None
    group.publish({"ferry": ["k1", "k2"], "school": []})
    assert session.execute(write("w2")).error is ErrorCode.unauthorized
    assert [run.request_id for run in group.runs()] == ["w1"]


def test_a_withdrawn_key_rolls_back_its_open_transaction(group):
    session = group.keyed_session("k3")
    session.execute(begin("b1"))
    assert session.execute(write("w1")).error is None
    group.publish({"ferry": ["k1"], "school": []})
    refused = session.execute(write("w2"))
    assert refused.error is ErrorCode.unauthorized
    assert refused.state is TransactionState.failed
    assert session.execute(rollback("r1")).error is None
    assert group.primary.log == []


def test_a_withdrawn_key_commits_nothing(group):
    session = group.keyed_session("k3")
    session.execute(begin("b1"))
    assert session.execute(write("w1")).error is None
    group.publish({"ferry": ["k1"], "school": []})
    assert session.execute(commit("c1")).error is ErrorCode.unauthorized
    assert session.transaction_state() is TransactionState.idle
    assert group.primary.log == []


def test_a_key_given_to_another_account_never_serves_the_former_one(group):
    session = group.keyed_session("k1")
    session.execute(begin("b1"))
    assert session.execute(write("w1")).error is None
    group.publish({"ferry": ["k2"], "school": ["k1", "k3"]})
    assert session.execute(commit("c1")).error is ErrorCode.aborted
    assert group.primary.log == []
    assert session.execute(write("w2")).error is None
    assert group.accounts_told()[-1] == "school"


def test_without_a_lease_on_its_keys_a_proxy_refuses_and_nothing_runs(group):
    session = group.keyed_session("k1")
    assert session.execute(read("r1")).error is None
    group.clock.advance(LEASE_SHARE * WITHDRAWAL_BOUND_S)
    refused = session.execute(read("r2"))
    assert refused.error is ErrorCode.overloaded
    assert "retry after" in refused.detail
    assert [run.request_id for run in group.runs()] == ["r1"]


def test_a_lease_that_ends_in_a_transaction_rolls_it_back(group):
    session = group.keyed_session("k1")
    session.execute(begin("b1"))
    assert session.execute(write("w1")).error is None
    group.clock.advance(LEASE_SHARE * WITHDRAWAL_BOUND_S)
    assert session.execute(commit("c1")).error is ErrorCode.aborted
    assert group.primary.log == []


def test_an_account_that_the_table_lacks_is_not_admitted(group):
    """An owner with an older table than the proxy's would not limit it."""
    state = SessionState("s1", "primary")
    state.account = "newcomer"
    answer = admit(group.context, state, write("w1"))
    assert answer.error is ErrorCode.overloaded
    assert "retry after" in answer.detail


def test_a_public_route_needs_no_key_and_no_lease(group):
    view = group.view(9)
    group.board.apply_view(view)
    group.clock.advance(60.0)
    assert group.keyed_session("").execute(write("w1")).error is None
    assert group.accounts_told() == [""]


def test_a_key_shared_by_two_accounts_is_invalid_and_named_by_its_digest(group):
    accounts = {
        name: AccountPolicy(name, [digest_of("k1")]) for name in ("ferry", "school")
    }
    table = msgspec.structs.replace(group.board.view.table, accounts=accounts)
    with pytest.raises(InvalidTable, match="'ferry' and 'school'") as raised:
        check_keys(table)
    assert digest_of("k1") in str(raised.value)
    assert "k1" not in str(raised.value).replace(digest_of("k1"), "")

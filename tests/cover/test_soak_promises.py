"""The promise checker of the soak reports each kind of violation."""

import time

import pytest

from bench.soak.accounts import (
    LIMITS,
    QUOTA_OVERAGE,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
    WITHDRAWAL_BOUND_S,
    CallerKey,
    QuotaChecker,
)
from bench.soak.promises import Operation, PromiseChecker
from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.statements import ErrorCode

SERVICE = "bookings"
OTHER_CONNECTION = object()
CONNECTION = object()


class CheckedStatement:
    """A promise checker, and an operation of which one statement was sent."""

    def __init__(self, text="READ x", is_transaction=False, values=None, bound_s=1.5):
        self.promises = PromiseChecker()
        self.bound_s = bound_s
        self.operation = self.operation_of("s1", is_transaction, values or {})
        self.promises.record_sent(self.operation, "q1", text)

    def operation_of(
        self, session, is_transaction=False, values=None, kind=Consistency.primary
    ):
        return Operation(
            session, SERVICE, kind, self.bound_s, is_transaction, values or {}
        )

    def rules(self):
        return [each.partition(":")[0] for each in self.promises.violations]


def test_accepts_a_statement_that_runs_as_it_was_sent():
    checked = CheckedStatement()
    checked.promises.check_run("q1", "READ x", CONNECTION, 0, {})
    assert checked.rules() == []


@pytest.mark.parametrize(
    "request_id, text, values, rule",
    [
        ("q9", "READ x", {}, "UNASKED"),
        ("q1", "READ y", {}, "UNASKED"),
        ("q1", "READ x", {"v1": "2"}, "PINNED"),
    ],
)
def test_finds_statements_that_nobody_sent_or_with_other_values(
    request_id, text, values, rule
):
    checked = CheckedStatement()
    checked.promises.check_run(request_id, text, CONNECTION, 0, values)
    assert checked.rules() == [rule]


@pytest.mark.parametrize(
    "place", [(OTHER_CONNECTION, 3), (CONNECTION, 4), (CONNECTION, 0)]
)
def test_finds_statements_outside_their_transaction(place):
    checked = CheckedStatement(is_transaction=True)
    checked.promises.record_sent(checked.operation, "q2", "READ y")
    checked.promises.check_run("q1", "READ x", CONNECTION, 3, {})
    checked.promises.check_run("q2", "READ y", *place, {})
    assert checked.rules() == ["PINNED"]


def test_finds_a_statement_that_runs_for_another_account():
    checked = CheckedStatement()
    checked.operation.caller_key = CallerKey("k1", "charter")
    checked.promises.check_account(checked.operation, "q1", "charter")
    assert checked.rules() == []
    checked.promises.check_account(checked.operation, "q1", "school")
    assert checked.rules() == ["UNASKED"]


def test_finds_a_statement_sent_long_after_its_key_was_withdrawn():
    checked = CheckedStatement()
    key = checked.operation.caller_key = CallerKey("k1", "charter")
    key.withdrawn_at = time.monotonic() - WITHDRAWAL_BOUND_S + 1.0
    checked.promises.check_account(checked.operation, "q1", "charter")
    assert checked.rules() == []
    key.withdrawn_at -= 2.0
    checked.promises.check_account(checked.operation, "q1", "charter")
    assert checked.rules() == ["CONFIG"]


def test_finds_more_operations_than_the_limit_of_an_account():
    quotas = QuotaChecker()
    rate_per_s, burst = LIMITS["tower"]
    allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    results = [quotas.record_run("tower", 0.0, 1.0) for _ in range(int(allowed) + 1)]
    assert [bool(each) for each in results] == [False] * int(allowed) + [True]
    assert quotas.record_run("tower", 5.5, 5.5) == ""


def test_an_operation_that_runs_later_than_the_window_counts_for_none():
    # The checker failed on it, which ended the connection that ran it.
    quotas = QuotaChecker()
    assert quotas.record_run("tower", 0.0, QUOTA_WINDOW_S + 0.1) == ""


def test_finds_a_write_that_takes_effect_twice():
    checked = CheckedStatement("WRITE x d")
    checked.promises.check_commits(["q1"], checked.operation)
    checked.promises.check_commits(["q1"], checked.operation)
    assert checked.rules() == ["TWICE"]


def test_finds_a_commit_after_a_refusal():
    checked = CheckedStatement("WRITE x d")
    checked.promises.record_answer(checked.operation, ErrorCode.overloaded)
    checked.promises.check_commits(["q1"], checked.operation)
    assert checked.rules() == ["REFUSED"]


def test_finds_a_refusal_after_a_commit():
    checked = CheckedStatement("WRITE x d")
    checked.promises.check_commits(["q1"], checked.operation)
    checked.promises.record_answer(checked.operation, ErrorCode.aborted)
    checked.promises.check_refused_operations()
    assert checked.rules() == ["REFUSED"]


@pytest.mark.parametrize("code", [ErrorCode.in_doubt, ErrorCode.timed_out])
def test_accepts_a_commit_after_an_unknown_outcome(code):
    checked = CheckedStatement("WRITE x d")
    checked.promises.record_answer(checked.operation, code)
    checked.promises.check_commits(["q1"], checked.operation)
    checked.promises.check_refused_operations()
    assert checked.rules() == []


def test_finds_a_commit_that_the_caller_did_not_request():
    checked = CheckedStatement("WRITE x d", is_transaction=True)
    checked.promises.check_commits(["q1"], checked.operation)
    assert checked.rules() == ["UNASKED"]


def test_finds_an_acknowledged_write_that_was_never_committed():
    checked = CheckedStatement("WRITE x d")
    checked.promises.record_acknowledged_writes(checked.operation, ["q1"])
    assert checked.rules() == ["MIXED"]


@pytest.mark.parametrize(
    "kind, session, bound_s, must_see",
    [
        (Consistency.primary, "s2", 60.0, True),
        (Consistency.read_your_writes, "s1", 60.0, True),
        (Consistency.read_your_writes, "s2", 60.0, False),
        (Consistency.bounded_staleness, "s1", 60.0, False),
        (Consistency.bounded_staleness, "s2", 0.0, True),
    ],
)
def test_finds_reads_that_miss_writes_that_they_must_see(
    kind, session, bound_s, must_see
):
    checked = CheckedStatement("WRITE x d", bound_s=bound_s)
    checked.promises.check_commits(["q1"], checked.operation)
    checked.promises.record_acknowledged_writes(checked.operation, ["q1"])
    time.sleep(0.002)
    reading = checked.operation_of(session, kind=kind)
    checked.promises.check_read(reading, "q2", lambda request_id: False)
    assert checked.rules() == (["STALE"] if must_see else [])
    checked.promises.check_read(reading, "q2", lambda request_id: True)
    assert len(checked.rules()) == must_see

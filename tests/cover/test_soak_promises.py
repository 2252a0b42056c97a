"""The soak's checks find what they are there for."""

import time

import pytest

from bench.soak.promises import Operation, Promises
from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.statements import ErrorCode

SERVICE = "bookings"
ELSEWHERE = object()
HERE = object()


class Played:
    """Promises, and an operation that was sent as one statement."""

    def __init__(self, text="READ x", is_transaction=False, values=None, bound_s=1.5):
        self.promises = Promises()
        self.bound_s = bound_s
        self.operation = self.operation_of("s1", is_transaction, values or {})
        self.promises.sent(self.operation, "q1", text)

    def operation_of(
        self, session, is_transaction=False, values=None, kind=Consistency.primary
    ):
        return Operation(
            session, SERVICE, kind, self.bound_s, is_transaction, values or {}
        )

    def rules(self):
        return [each.partition(":")[0] for each in self.promises.violations]


def test_a_statement_that_runs_as_it_was_sent_breaks_nothing():
    played = Played()
    played.promises.ran("q1", "READ x", HERE, 0, {})
    assert played.rules() == []


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
    played = Played()
    played.promises.ran(request_id, text, HERE, 0, values)
    assert played.rules() == [rule]


@pytest.mark.parametrize("place", [(ELSEWHERE, 3), (HERE, 4), (HERE, 0)])
def test_finds_statements_outside_their_transaction(place):
    played = Played(is_transaction=True)
    played.promises.sent(played.operation, "q2", "READ y")
    played.promises.ran("q1", "READ x", HERE, 3, {})
    played.promises.ran("q2", "READ y", *place, {})
    assert played.rules() == ["PINNED"]


def test_finds_a_write_that_takes_effect_twice():
    played = Played("WRITE x d")
    played.promises.commits(["q1"], played.operation)
    played.promises.commits(["q1"], played.operation)
    assert played.rules() == ["TWICE"]


def test_finds_what_is_kept_although_it_was_refused():
    played = Played("WRITE x d")
    played.promises.told(played.operation, ErrorCode.overloaded)
    played.promises.commits(["q1"], played.operation)
    assert played.rules() == ["REFUSED"]


def test_finds_what_is_refused_although_it_is_kept():
    played = Played("WRITE x d")
    played.promises.commits(["q1"], played.operation)
    played.promises.told(played.operation, ErrorCode.aborted)
    played.promises.check_disowned()
    assert played.rules() == ["REFUSED"]


@pytest.mark.parametrize("code", [ErrorCode.in_doubt, ErrorCode.timed_out])
def test_doubt_promises_nothing(code):
    played = Played("WRITE x d")
    played.promises.told(played.operation, code)
    played.promises.commits(["q1"], played.operation)
    played.promises.check_disowned()
    assert played.rules() == []


def test_finds_a_commit_that_the_caller_has_not_asked_for():
    played = Played("WRITE x d", is_transaction=True)
    played.promises.commits(["q1"], played.operation)
    assert played.rules() == ["UNASKED"]


def test_finds_an_acknowledgement_of_what_was_never_committed():
    played = Played("WRITE x d")
    played.promises.told_committed(played.operation, ["q1"])
    assert played.rules() == ["MIXED"]


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
def test_finds_reads_that_miss_what_they_must_see(kind, session, bound_s, must_see):
    played = Played("WRITE x d", bound_s=bound_s)
    played.promises.commits(["q1"], played.operation)
    played.promises.told_committed(played.operation, ["q1"])
    time.sleep(0.002)
    reading = played.operation_of(session, kind=kind)
    played.promises.read_from(reading, "q2", lambda request_id: False)
    assert played.rules() == (["STALE"] if must_see else [])
    played.promises.read_from(reading, "q2", lambda request_id: True)
    assert len(played.rules()) == must_see

"""What control knows of the terms in which a service's targets have led."""

import pytest

from godwitwheel.directory.commands import (
    FencePrimary,
    PutEntry,
    RecordTerm,
    SetPrimary,
)
from godwitwheel.directory.primary_term_checks import (
    CHECK_INTERVAL_S,
    PrimaryTermChecks,
)
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.directory.target_queries import TargetQueries
from godwitwheel.internal.loop import sleep
from tests.common.fake_sessions import SERVICE, FakeGroup


@pytest.fixture
def directory():
    return Directory(JsonTableCodec())


def test_the_bound_of_an_order_is_kept_when_the_order_is_repeated(directory):
    """The promotion may have taken effect by then."""
    directory.fence_primary(1, FencePrimary(SERVICE, "t2", above_term=4))
    assert not directory.fence_primary(2, FencePrimary(SERVICE, "t2", 5)).applied
    assert directory.terms_of(SERVICE).above == 4


def test_the_bound_of_an_order_is_no_lower_than_a_term_that_was_seen(directory):
    directory.set_primary(1, SetPrimary(SERVICE, "t3", 7, term=3))
    directory.fence_primary(2, FencePrimary(SERVICE, "t1", above_term=1))
    assert directory.terms_of(SERVICE).above == 3


def test_a_term_is_recorded_for_the_named_primary_only(directory):
    directory.set_primary(1, SetPrimary(SERVICE, "t2", 7))
    assert not directory.record_term(2, RecordTerm(SERVICE, "t1", 9)).applied
    assert directory.record_term(3, RecordTerm(SERVICE, "t2", 2)).applied
    assert directory.terms_of(SERVICE).newest == 2


def test_a_snapshot_keeps_the_terms(directory):
    directory.set_primary(1, SetPrimary(SERVICE, "t2", 7, term=5))
    directory.fence_primary(2, FencePrimary(SERVICE, "t3", above_term=6))
    copy = Directory(JsonTableCodec())
    copy.restore(directory.snapshot())
    assert copy.terms_of(SERVICE) == directory.terms_of(SERVICE)


class FencingPlatform:
    """A directory whose primaries are named when their orders are answered."""

    def __init__(self):
        self.group = FakeGroup()
        self.directory = Directory(JsonTableCodec())
        for entry in self.group.board.view.targets.values():
            self.directory.put_entry(1, PutEntry(entry))
        queries = TargetQueries(self.group, self.group.clock, lambda: None)
        self.checks = PrimaryTermChecks(
            self.directory, queries, self.commit, self.group.clock
        )
        self.commits = []

    def commit(self, command):
        self.commits.append(command)
        return self.directory.record_term(2, command).applied

    def check(self):
        self.group.clock.advance(CHECK_INTERVAL_S)
        self.checks.decide(self.group.clock.now())
        for _ in range(20):
            sleep()
        return self.directory.terms_of(SERVICE)


def test_the_term_of_an_ordered_target_is_learnt_once_it_leads():
    platform = FencingPlatform()
    platform.directory.set_primary(3, SetPrimary(SERVICE, "t2", 7))
    assert platform.check().newest == 0
    platform.group.promote("t2")
    assert platform.check().newest == 2
    platform.check()
    assert platform.commits == [RecordTerm(SERVICE, "t2", 2)]


def test_the_term_of_a_primary_that_does_not_answer_stays_unknown():
    platform = FencingPlatform()
    platform.directory.set_primary(3, SetPrimary(SERVICE, "t1"))
    platform.group.primary.is_unresponsive = True
    assert not platform.check().is_current
    platform.group.primary.is_unresponsive = False
    assert platform.check().is_current


def test_a_fenced_primary_is_not_asked_for_its_term():
    platform = FencingPlatform()
    platform.directory.set_primary(3, SetPrimary(SERVICE, "t1"))
    platform.directory.fence_primary(4, FencePrimary(SERVICE))
    assert not platform.check().is_current

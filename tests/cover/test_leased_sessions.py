"""Sessions on a platform that doesn't stop a former primary: answers and leases."""

import pytest

from godwitwheel.directory.records import DirectoryView
from godwitwheel.directory.report_timing import PRIMARY_LEASE_S
from godwitwheel.sessions.connections.pool import TargetPool
from godwitwheel.sessions.reporting.authority import LeasedAuthority
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.sessions.running import opening, single_run, transaction
from godwitwheel.sessions.statements import ErrorCode
from tests.common.fake_sessions import (
    SERVICE,
    FakeConnection,
    FakeGroup,
    begin,
    commit,
    read,
    set_value,
    write,
)


class LeasedSessions:
    """A proxy that holds a lease, and a primary whose answers can be delayed."""

    def __init__(self, monkeypatch):
        self.group = FakeGroup()
        self.monkeypatch = monkeypatch
        for module in (single_run, transaction, opening):
            monkeypatch.setattr(module, "sleep", self.group.clock.advance)
        self.board = self.group.board
        self.board.authority = LeasedAuthority(self.board.changed.notify)
        self.board.authority.apply_view(self.board.view, self.group.clock.now())
        self.renew()
        self.probe("t1")

    def renew(self):
        now = self.group.clock.now()
        self.board.authority.renew(self.board.view.version, now, now)

    def probe(self, target_id):
        sampler = Sampler(self.group.context)
        return sampler.probe(self.board.view.targets[target_id])

    def fence(self):
        view = self.board.view
        fenced = DirectoryView(
            view.version + 1,
            view.table,
            view.targets,
            view.primaries,
            {},
            {SERVICE: ""},
        )
        self.board.apply_view(fenced)

    def delay_answers(self, seconds):
        """Lets every exchange take ``seconds``."""
        answer = FakeConnection.exchange
        clock = self.group.clock

        def exchange(connection, commands, timeout_s):
            answers = answer(connection, commands, timeout_s)
            clock.advance(seconds)
            return answers

        self.monkeypatch.setattr(FakeConnection, "exchange", exchange)


@pytest.fixture
def leased(monkeypatch):
    return LeasedSessions(monkeypatch)


def test_a_write_under_a_lease_is_acknowledged(leased):
    assert leased.group.session("primary").execute(write("w1")).error is None


def test_a_write_whose_answer_comes_after_the_lease_is_in_doubt(leased):
    leased.delay_answers(PRIMARY_LEASE_S)
    answer = leased.group.session("primary").execute(write("w1"))
    assert answer.error is ErrorCode.in_doubt


def test_a_write_without_a_lease_is_refused_and_not_sent(leased):
    leased.group.clock.advance(PRIMARY_LEASE_S)
    started_at = leased.group.clock.now()
    answer = leased.group.session("primary").execute(write("w1"))
    assert answer.error is ErrorCode.overloaded
    assert leased.group.targets["t1"].asked == 0
    assert leased.group.clock.now() - started_at < 0.05


def test_a_read_of_a_primary_route_is_refused_without_a_lease(leased):
    leased.group.clock.advance(PRIMARY_LEASE_S)
    answer = leased.group.session("primary").execute(read("r1"))
    assert answer.error is ErrorCode.overloaded


def test_a_commit_whose_answer_comes_after_the_lease_is_in_doubt(leased):
    session = leased.group.session("primary")
    session.execute(begin("b1"))
    session.execute(write("w1"))
    leased.delay_answers(PRIMARY_LEASE_S)
    assert session.execute(commit("c1")).error is ErrorCode.in_doubt


def test_a_transaction_whose_primary_is_fenced_is_rolled_back(leased):
    session = leased.group.session("primary")
    session.execute(begin("b1"))
    session.execute(write("w1"))
    leased.fence()
    assert session.execute(commit("c1")).error is ErrorCode.aborted
    assert leased.group.targets["t1"].log == []
    assert leased.board.pools["t1"].open_count == 1


def test_a_statement_of_a_transaction_at_a_fenced_primary_is_not_run(leased):
    session = leased.group.session("primary")
    session.execute(begin("b1"))
    session.execute(write("w1"))
    leased.fence()
    assert session.execute(write("w2")).error is ErrorCode.aborted
    assert leased.group.targets["t1"].asked == 1


def test_a_read_transaction_at_a_replica_needs_no_lease(leased):
    session = leased.group.session("bounded_staleness")
    session.execute(begin("b1", read_only=True))
    assert session.execute(read("r1")).error is None
    leased.group.clock.advance(PRIMARY_LEASE_S)
    assert session.execute(read("r2")).error is None


def test_reads_go_on_at_replicas_while_the_last_sample_is_recent(leased):
    session = leased.group.session("bounded_staleness")
    leased.group.clock.advance(PRIMARY_LEASE_S)
    assert session.execute(read("r1")).error is None


def test_no_floor_is_taken_without_a_lease(leased):
    leased.group.clock.advance(PRIMARY_LEASE_S)
    count = len(leased.board.history(SERVICE).samples)
    assert leased.probe("t1")
    assert len(leased.board.history(SERVICE).samples) == count


def test_a_former_primary_is_not_taken_for_the_primary(leased):
    leased.group.primary = leased.group.targets["t2"]
    leased.probe("t2")
    assert leased.board.known_primary(SERVICE).target_id == "t1"


def test_a_fenced_primary_is_not_confirmed(leased):
    leased.fence()
    leased.probe("t1")
    assert leased.board.known_primary(SERVICE).confirmed_at is None


def test_connection_keeps_its_values_if_the_lease_ends_while_it_is_acquired(
    leased, monkeypatch
):
    # A connection that is believed to carry values which were never sent to it runs
    # the next statement of the session without them.
    session = leased.group.session("primary")
    session.execute(set_value("region", "west"))
    acquire = TargetPool.acquire

    def acquire_after_lease(pool, *args):
        leased.group.clock.advance(PRIMARY_LEASE_S)
        return acquire(pool, *args)

    with monkeypatch.context() as patched:
        patched.setattr(TargetPool, "acquire", acquire_after_lease)
        assert session.execute(write("w1")).error is ErrorCode.overloaded
    leased.renew()
    assert session.execute(write("w2")).error is None
    assert [run.values for run in leased.group.targets["t1"].ran] == [
        {"region": "west"}
    ]

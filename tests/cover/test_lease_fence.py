"""Replacing a primary that the platform doesn't stop: leases, late orders."""

import pytest

from godwitwheel.directory import effects, fencing
from godwitwheel.directory.commands import FencePrimary
from godwitwheel.directory.effects import LATE_ORDER_S
from godwitwheel.directory.errors import PromotionFailed
from godwitwheel.directory.failover import Observation, Verdict, assess
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.records import ProxyReport
from godwitwheel.directory.report_timing import PRIMARY_LEASE_S
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from tests.common.fake_sessions import SERVICE, FakeGroup
from tests.common.promoters import lease_fence_of, promoter_of
from tests.cover.test_promoter import ScriptedPromotionClient

OBSERVATIONS = [Observation("p1", "t1", False, 900, [])]


class PromptPlatform(ScriptedPromotionClient):
    """Carries out each order that it answers with success at once."""

    def __init__(self, group, *failures):
        super().__init__(*failures)
        self.group = group

    def promote(self, service, target_id, token, timeout_s):
        super().promote(service, target_id, token, timeout_s)
        if self.group.primary.target_id != target_id:
            self.group.promote(target_id)


class LeasedGroup:
    """A leader that grants leases, and a group whose primary is to be replaced.

    :ivar commits: commands in the order of their commits.
    """

    def __init__(self, monkeypatch, *failures):
        self.group = FakeGroup()
        self.clock = self.group.clock
        self.directory = Directory(JsonTableCodec())
        self.directory.view = self.group.board.view
        self.client = PromptPlatform(self.group, *failures)
        self.commits = []
        self.restart_leadership(self.clock.now() - 60.0)
        monkeypatch.setattr(fencing, "sleep", self.clock.advance)
        monkeypatch.setattr(effects, "sleep", self.clock.advance)
        fence = lease_fence_of(self.group, self.directory, self.commit)
        self.promoter = promoter_of(self.group, self.client, self.commit, fence)

    def restart_leadership(self, since):
        self.leadership = DirectoryLeadership(since, 3)

    def commit(self, command):
        self.commits.append(command)
        index = self.directory.view.version + 1
        if isinstance(command, FencePrimary):
            return self.directory.fence_primary(index, command).applied
        return self.directory.set_primary(index, command).applied

    def grant(self, proxy_id, drained_version=0):
        report = ProxyReport(proxy_id, "dc-1", 1, drained_version=drained_version)
        version = self.directory.view.version
        self.leadership.grant_lease(report, version, self.clock.now())

    def replace(self):
        self.promoter.replace(
            self.leadership, SERVICE, self.directory.view, OBSERVATIONS, "lost"
        )

    def ordered_targets(self):
        return [target_id for target_id, _ in self.client.orders]


@pytest.fixture
def leased(monkeypatch):
    return LeasedGroup(monkeypatch)


def test_the_order_waits_until_the_leases_have_ended(leased):
    leased.grant("p1")
    started_at = leased.clock.now()
    leased.replace()
    assert len(leased.client.orders) == 1
    assert leased.clock.now() - started_at >= PRIMARY_LEASE_S


def test_the_order_does_not_wait_for_a_proxy_that_has_drained(leased):
    leased.commit(FencePrimary(SERVICE))
    leased.grant("p1", drained_version=leased.directory.view.version)
    started_at = leased.clock.now()
    leased.replace()
    assert leased.clock.now() == started_at


def test_the_order_waits_for_leases_of_an_earlier_leader(leased):
    leased.restart_leadership(leased.clock.now())
    started_at = leased.clock.now()
    leased.replace()
    assert leased.clock.now() - started_at >= PRIMARY_LEASE_S


def test_the_fence_and_the_candidate_are_committed_before_the_order(leased):
    leased.replace()
    fence, candidate, primary = leased.commits
    assert fence == FencePrimary(SERVICE)
    assert candidate == FencePrimary(SERVICE, primary.target_id, above_term=1)
    assert leased.directory.view.fences == {}
    assert leased.directory.view.primaries == {SERVICE: primary.target_id}


def test_nothing_is_fenced_while_no_candidate_answers(leased):
    leased.group.targets["t2"].is_unresponsive = True
    leased.group.targets["t3"].is_unresponsive = True
    with pytest.raises(PromotionFailed):
        leased.replace()
    assert leased.commits == []


def test_a_fenced_primary_takes_over_again_if_no_other_target_answers(leased):
    leased.commit(FencePrimary(SERVICE))
    leased.group.targets["t2"].is_unresponsive = True
    leased.group.targets["t3"].is_unresponsive = True
    leased.replace()
    assert leased.ordered_targets() == ["t1"]


def test_the_fenced_primary_is_not_preferred_for_its_position(leased):
    leased.group.commit("w1")
    leased.commit(FencePrimary(SERVICE))
    leased.replace()
    assert leased.ordered_targets()[0] in ("t2", "t3")


def test_no_other_target_is_ordered_while_an_order_may_be_carried_out(monkeypatch):
    leased = LeasedGroup(monkeypatch, PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        leased.replace()
    first = leased.ordered_targets()[0]
    leased.group.targets[first].is_unresponsive = True
    with pytest.raises(PromotionFailed):
        leased.replace()
    assert leased.ordered_targets() == [first]
    leased.clock.advance(LATE_ORDER_S)
    leased.replace()
    assert leased.ordered_targets()[1] != first


def test_the_next_leader_repeats_the_order_of_the_earlier_one(monkeypatch):
    leased = LeasedGroup(monkeypatch, PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        leased.replace()
    first = leased.ordered_targets()[0]
    other = "t2" if first == "t3" else "t3"
    leased.group.commit("w1")
    leased.group.replicate(other)
    leased.restart_leadership(leased.clock.now())
    leased.replace()
    assert leased.ordered_targets() == [first, first]


def test_the_next_leader_finishes_a_replacement(leased):
    leased.commit(FencePrimary(SERVICE))
    view = leased.directory.view
    confirmed = [Observation("p1", "t1", True, 10, [])]
    assert assess(SERVICE, view, confirmed, 1, 60.0).verdict is Verdict.replace


def test_a_target_that_still_acts_as_primary_is_not_adopted(leased):
    view = leased.directory.view
    former = [Observation("p1", "t2", True, 10, [])]
    found = assess(SERVICE, view, former, 1, 60.0, may_adopt=False)
    assert found.verdict is Verdict.keep


def test_a_dead_primary_that_is_fenced_does_not_hold_up_a_synchronous_group(leased):
    """Its replicas hold every acknowledged commit, and both answer."""
    view = leased.directory.view
    policy = view.table.services[SERVICE]
    view.table.services[SERVICE] = type(policy)(SERVICE, policy.max_connections, 1)
    leased.commit(FencePrimary(SERVICE))
    leased.group.targets["t1"].is_unresponsive = True
    leased.replace()
    assert leased.ordered_targets()[0] in ("t2", "t3")

"""Promotion orders to a platform that refuses them or does not answer."""

import pytest

from godwitwheel.directory.errors import PromotionFailed, PromotionFenced
from godwitwheel.directory.failover import Observation
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.promotion import PromotionClient
from tests.common.fake_sessions import SERVICE, FakeGroup
from tests.common.promoters import promoter_of

OBSERVATIONS = [Observation("p1", "t1", False, 900, [])]


class ScriptedPromotionClient(PromotionClient):
    """Raises the given failures in turn, then succeeds.

    :ivar orders: target and token of each order.
    """

    def __init__(self, *failures):
        self.failures = list(failures)
        self.orders = []

    def promote(self, service, target_id, token, timeout_s):
        self.orders.append((target_id, token))
        if self.failures:
            raise self.failures.pop(0)


class LostPrimary:
    """A leader, and a group whose primary does not answer."""

    def __init__(self, *failures):
        self.group = FakeGroup()
        self.group.primary.is_unresponsive = True
        self.promotion_client = ScriptedPromotionClient(*failures)
        self.committed = []
        self.leadership = DirectoryLeadership(0.0, 3)
        self.promoter = promoter_of(self.group, self.promotion_client, self.commit)

    def commit(self, command):
        self.committed.append(command)
        return True

    def replace(self):
        view = self.group.board.view
        self.promoter.replace(self.leadership, SERVICE, view, OBSERVATIONS, "lost")


def test_the_replica_with_the_highest_position_is_promoted_and_committed():
    scenario = LostPrimary()
    scenario.group.commit("w1")
    scenario.group.replicate("t3")
    scenario.replace()
    assert [target for target, _ in scenario.promotion_client.orders] == ["t3"]
    assert scenario.committed[0].target_id == "t3"


def test_an_unanswered_order_is_retried_with_the_same_token():
    """It may still be carried out, and its own retry must not fence it off."""
    scenario = LostPrimary(PromotionFailed("no answer"), PromotionFailed("no answer"))
    for _ in range(2):
        with pytest.raises(PromotionFailed):
            scenario.replace()
    scenario.replace()
    assert len(set(scenario.promotion_client.orders)) == 1


def test_an_order_for_another_target_gets_a_higher_token():
    scenario = LostPrimary(PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        scenario.replace()
    first_target, first_token = scenario.promotion_client.orders[0]
    scenario.group.targets[first_target].is_unresponsive = True
    scenario.replace()
    second_target, second_token = scenario.promotion_client.orders[1]
    assert second_target != first_target
    assert second_token > first_token


def test_a_fenced_order_is_retried_with_a_higher_token():
    scenario = LostPrimary(PromotionFenced("409"))
    with pytest.raises(PromotionFenced):
        scenario.replace()
    scenario.replace()
    assert (
        scenario.promotion_client.orders[1][1] > scenario.promotion_client.orders[0][1]
    )


def test_no_primary_is_committed_before_the_platform_has_answered():
    scenario = LostPrimary(PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        scenario.replace()
    assert scenario.committed == []


def test_a_synchronous_group_is_not_promoted_while_a_replica_does_not_answer():
    scenario = LostPrimary()
    view = scenario.group.view(2)
    policy = view.table.services[SERVICE]
    strict = type(policy)(SERVICE, policy.max_connections, synchronous_replicas=1)
    view.table.services[SERVICE] = strict
    scenario.group.board.apply_view(view)
    scenario.group.targets["t3"].is_unresponsive = True
    with pytest.raises(PromotionFailed):
        scenario.replace()
    assert scenario.promotion_client.orders == []


def test_a_leader_that_was_paused_during_its_confirmation_sends_no_order():
    """Another member may lead by now, and may have sent an order of its own."""
    scenario = LostPrimary()
    scenario.promoter.confirm = lambda: scenario.group.clock.advance(4.0)
    with pytest.raises(PromotionFailed):
        scenario.replace()
    assert scenario.promotion_client.orders == []

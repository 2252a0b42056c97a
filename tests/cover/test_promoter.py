"""Orders to promote, against a platform that answers late or not at all."""

import pytest

from godwitwheel.directory.errors import PromotionFailed, PromotionFenced
from godwitwheel.directory.failover import Observation
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.promotion import Promoter, PromotionCall
from tests.common.fake_sessions import SERVICE, FakeGroup

SIGHTS = [Observation("p1", "t1", False, 900, [])]


class ScriptedCall(PromotionCall):
    """Fails as the script says, then succeeds.

    :ivar orders: target and token of each order.
    """

    def __init__(self, *failures):
        self.failures = list(failures)
        self.orders = []

    def promote(self, service, target_id, token, timeout_s):
        self.orders.append((target_id, token))
        if self.failures:
            raise self.failures.pop(0)


class Case:
    """A leader with a group whose primary is lost."""

    def __init__(self, *failures):
        self.group = FakeGroup()
        self.group.primary.is_dark = True
        self.call = ScriptedCall(*failures)
        self.committed = []
        self.leadership = DirectoryLeadership(0.0, 3)
        self.promoter = Promoter(
            self.group, self.call, self.group.clock, self.commit, lambda: None
        )

    def commit(self, command):
        self.committed.append(command)
        return True

    def replace(self):
        view = self.group.board.view
        self.promoter.replace(self.leadership, SERVICE, view, SIGHTS, "lost")


def test_the_replica_that_received_most_is_ordered_and_then_named():
    case = Case()
    case.group.commit("w1")
    case.group.replicate("t3")
    case.replace()
    assert [target for target, _ in case.call.orders] == ["t3"]
    assert case.committed[0].target_id == "t3"


def test_an_order_without_an_answer_is_given_again_with_the_same_token():
    """It may still be carried out, and must not be fenced off by its own repeat."""
    case = Case(PromotionFailed("no answer"), PromotionFailed("no answer"))
    for _ in range(2):
        with pytest.raises(PromotionFailed):
            case.replace()
    case.replace()
    assert len(set(case.call.orders)) == 1


def test_another_target_gets_a_higher_token():
    case = Case(PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        case.replace()
    first_target, first_token = case.call.orders[0]
    case.group.targets[first_target].is_dark = True
    case.replace()
    second_target, second_token = case.call.orders[1]
    assert second_target != first_target
    assert second_token > first_token


def test_a_fenced_order_is_given_again_with_a_higher_token():
    case = Case(PromotionFenced("409"))
    with pytest.raises(PromotionFenced):
        case.replace()
    case.replace()
    assert case.call.orders[1][1] > case.call.orders[0][1]


def test_nothing_is_named_before_the_platform_has_answered():
    case = Case(PromotionFailed("no answer"))
    with pytest.raises(PromotionFailed):
        case.replace()
    assert case.committed == []


def test_a_synchronous_group_waits_for_a_replica_that_is_silent():
    case = Case()
    view = case.group.view(2)
    policy = view.table.services[SERVICE]
    strict = type(policy)(SERVICE, policy.max_connections, synchronous_replicas=1)
    view.table.services[SERVICE] = strict
    case.group.board.apply_view(view)
    case.group.targets["t3"].is_dark = True
    with pytest.raises(PromotionFailed):
        case.replace()
    assert case.call.orders == []

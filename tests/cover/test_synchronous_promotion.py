"""Promotions at services whose commits are acknowledged by replicas."""

import pytest

from godwitwheel.directory.errors import PromotionFailed
from godwitwheel.directory.failover import Observation
from godwitwheel.directory.fencing import PlatformFence
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.promotion import Promoter
from tests.common.sync_group import SERVICE, SyncGroup

UNCONFIRMED = [Observation("p1", "t1", False, 900, [])]
CONFIRMED = [Observation("p1", "t1", True, 50, [])]


def replace(group, view, observations=CONFIRMED):
    promoter = Promoter(
        group, group, group.clock, lambda command: True, lambda: None, PlatformFence()
    )
    leadership = DirectoryLeadership(0.0, 3)
    promoter.replace(leadership, SERVICE, view, observations, "leaving")


def test_a_replica_that_leaves_stops_receiving_as_well():
    """It went on acknowledging, so that the promoted target lacked 50 to 60 commits."""
    group = SyncGroup(("t1", "t2", "t3", "t4"))
    replace(group, group.view(leaving=["t1", "t2"]))
    assert group.primary.target_id in ("t3", "t4")
    assert group.acknowledged > 0
    assert group.lost == 0


@pytest.mark.parametrize("names", [("t1", "t2"), ("t1", "t2", "t3")])
def test_a_replica_that_leaves_is_promoted_if_it_alone_has_all_commits(names):
    """Whichever target leads next can be replaced again; a lost commit can't."""
    group = SyncGroup(names)
    for name in names[2:]:
        group.targets[name].is_deaf = True
    replace(group, group.view(leaving=["t1", "t2"]))
    assert group.primary.target_id == "t2"
    assert group.lost == 0


def test_a_target_that_stays_is_preferred_among_those_with_all_commits():
    group = SyncGroup()
    replace(group, group.view(leaving=["t1", "t2"]))
    assert group.primary.target_id == "t3"


def test_a_replica_that_leaves_and_does_not_answer_holds_up_the_promotion():
    """It may be the only one that holds a commit, and may acknowledge more."""
    group = SyncGroup()
    group.targets["t2"].is_silent = True
    with pytest.raises(PromotionFailed):
        replace(group, group.view(leaving=["t1", "t2"]))
    assert group.orders == []


def test_a_service_without_synchronous_replicas_asks_no_target_that_leaves():
    group = SyncGroup()
    view = group.view(leaving=["t1", "t2"])
    policy = view.table.services[SERVICE]
    view.table.services[SERVICE] = type(policy)(SERVICE, policy.max_connections, 0)
    asked = []
    group.before_command = lambda target, command: asked.append(target.target_id)
    replace(group, view)
    assert asked == ["t3"]

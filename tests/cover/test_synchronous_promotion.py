"""Promotions at services whose commits are acknowledged by replicas."""

import pytest

from godwitwheel.directory import fencing
from godwitwheel.directory.candidates import (
    Candidate,
    Replacement,
    SynchronousRule,
)
from godwitwheel.directory.commands import FencePrimary, PutEntry
from godwitwheel.directory.errors import PromotionFailed
from godwitwheel.directory.failover import Observation
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.records import TargetEntry
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.sessions.statements import Position
from tests.common.promoters import lease_fence_of, promoter_of
from tests.common.sync_group import SERVICE, SyncGroup, SyncTarget

UNCONFIRMED = [Observation("p1", "t1", False, 900, [])]
CONFIRMED = [Observation("p1", "t1", True, 50, [])]


def replace(group, view, observations=CONFIRMED):
    promoter = promoter_of(group, group, lambda command: True)
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


def proxies(count, missing, unreachable):
    """Returns observations of proxies, the first of which miss targets.

    :param missing: how many of them miss the primary and the other targets.
    """
    return [
        Observation(f"p{n}", "t1", False, 5000, list(unreachable))
        if n < missing
        else Observation(f"p{n}", "t1", True, 50, [])
        for n in range(count)
    ]


def group_with_deaf_replica():
    """Returns a group in which ``t2`` alone holds the acknowledged commits."""
    group = SyncGroup()
    group.targets["t3"].is_deaf = True
    group.write()
    return group


def test_the_replica_with_all_commits_is_promoted_though_some_proxies_miss_it():
    """It was passed over for one that lacked 200 to 390 acknowledged commits."""
    group = group_with_deaf_replica()
    replace(group, group.view(leaving=["t1"]), proxies(10, 3, ["t1", "t2"]))
    assert group.primary.target_id == "t2"
    assert group.lost == 0


def test_a_replica_that_no_proxy_reaches_is_promoted_if_it_alone_has_all_commits():
    """The next replacement can choose a target that has received its commits."""
    group = group_with_deaf_replica()
    replace(group, group.view(), proxies(3, 3, ["t1", "t2"]))
    assert group.primary.target_id == "t2"
    assert group.lost == 0


def test_a_primary_that_serves_is_kept_if_no_complete_replica_is_better_reached():
    group = group_with_deaf_replica()
    with pytest.raises(PromotionFailed):
        replace(group, group.view(), proxies(10, 4, ["t1", "t2"]))
    assert group.orders == []


def candidate(name, number, unreachable_from=0, term=1):
    entry = TargetEntry(name, SERVICE, f"10.0.0.{name[1]}:1", "dc-1", 2, 0)
    received = None if number is None else Position(term, number)
    return Candidate(entry, received, term, unreachable_from)


def choose(*candidates, ordered_id="", synchronous_replicas=1):
    replacement = Replacement(list(candidates), UNCONFIRMED, "t1", ordered_id, False)
    chosen = SynchronousRule(synchronous_replicas).choose(replacement)
    return chosen and chosen.entry.target_id


def test_a_target_that_was_ordered_before_is_not_chosen_if_it_lacks_commits():
    """It was taken without a comparison, because its order may still be carried out."""
    assert choose(candidate("t2", 8), candidate("t3", 9), ordered_id="t2") == "t3"
    assert choose(candidate("t2", 9), candidate("t3", 9), ordered_id="t2") == "t2"


def test_commits_of_a_later_term_count_more_than_many_of_an_earlier_one():
    assert choose(candidate("t2", 90), candidate("t3", 9, term=2)) == "t3"


def test_equally_complete_replicas_are_chosen_by_how_many_proxies_reach_them():
    assert choose(candidate("t2", 9, 3), candidate("t3", 9, 1)) == "t3"


def test_a_fenced_primary_takes_over_if_too_many_replicas_are_silent():
    assert choose(candidate("t1", 9), candidate("t2", 8), candidate("t3", None)) == "t1"
    assert choose(candidate("t1", 9), candidate("t2", 8)) == "t2"


def test_fewer_silent_replicas_than_hold_each_commit_do_not_matter():
    silent = candidate("t3", None)
    assert choose(candidate("t2", 9), silent, synchronous_replicas=2) == "t2"
    assert choose(candidate("t2", 9), silent, synchronous_replicas=1) is None


def test_a_replica_that_appears_while_leases_are_waited_for_is_asked(monkeypatch):
    """After the fence only those were asked that had answered before it."""
    group = SyncGroup()
    directory = Directory(JsonTableCodec())
    directory.view = group.view()

    def commit(command):
        index = directory.view.version + 1
        if isinstance(command, FencePrimary):
            return directory.fence_primary(index, command).applied
        return directory.set_primary(index, command).applied

    def wait_for_leases(seconds):
        if "t4" not in group.targets:
            group.targets["t4"] = SyncTarget("t4")
            entry = TargetEntry("t4", SERVICE, "10.0.0.4:1", "dc-1", 2, 0)
            directory.put_entry(directory.view.version + 1, PutEntry(entry))
        group.write()
        group.clock.advance(seconds)

    monkeypatch.setattr(fencing, "sleep", wait_for_leases)
    fence = lease_fence_of(group, directory, commit)
    promoter = promoter_of(group, group, commit, fence)
    leadership = DirectoryLeadership(group.clock.now(), 3)
    promoter.replace(leadership, SERVICE, directory.view, UNCONFIRMED, "lost")
    assert group.acknowledged > 1
    assert group.lost == 0


def test_a_replica_that_control_does_not_know_yet_loses_no_commit():
    # It isn't paused, and acknowledges commits that the promoted target lacks.
    group = SyncGroup()
    view = group.view(leaving=["t1"])
    del view.targets["t3"]
    replace(group, view)
    assert group.primary.target_id == "t2"
    assert group.lost == 0


def test_a_replica_that_lags_behind_an_unknown_one_catches_up_before_it_is_promoted():
    # The primary had stepped down; the end of its log was on its way to the replica.
    group = SyncGroup()
    group.targets["t2"].is_deaf = True
    view = group.view(leaving=["t1"])
    del view.targets["t3"]
    asked_after_stepping_down = []

    def catch_up_at_the_third_question(target, command):
        if group.has_stepped_down:
            asked_after_stepping_down.append(type(command).__name__)
        if len(asked_after_stepping_down) == 3:
            group.targets["t2"].log = list(group.primary.log)

    group.before_command = catch_up_at_the_third_question
    group.write()
    replace(group, view)
    assert asked_after_stepping_down[:3] == ["AskStatus"] * 3
    assert group.primary.target_id == "t2"
    assert group.acknowledged > 0
    assert group.lost == 0


def test_a_primary_that_goes_on_serving_is_not_told_to_step_down():
    group = group_with_deaf_replica()
    with pytest.raises(PromotionFailed):
        replace(group, group.view(), proxies(10, 4, ["t1", "t2"]))
    assert not group.has_stepped_down
    assert group.write()

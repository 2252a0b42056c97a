"""Reports arrive in time for what control decides by them, in fleets of any size."""

import pytest

from godwitwheel.directory.failover import NEW_LEADER_GRACE_S
from tests.common.fleet import Fleet

SIZES = [7, 80, 160, 200, 300, 660]
STEADY_S = 10.0


def ids(processes):
    return {process.board.process_id for process in processes}


@pytest.mark.parametrize("proxies", SIZES)
def test_no_owner_that_runs_loses_the_services_that_it_is_given(proxies):
    fleet = Fleet(proxies)
    fleet.run(NEW_LEADER_GRACE_S)
    fleet.run_with_decisions(STEADY_S)
    assert fleet.replaced == []


@pytest.mark.parametrize("proxies", SIZES)
def test_owners_without_services_are_known_as_long_as_they_run(proxies):
    fleet = Fleet(proxies)
    fleet.run(STEADY_S / 2)
    leadership = fleet.leader.member.current_leadership()
    for _ in range(40):
        fleet.run(STEADY_S / 40)
        assert leadership.live_owners(fleet.clock.now()).keys() == ids(fleet.owners)


@pytest.mark.parametrize("proxies", SIZES)
def test_a_new_leader_knows_every_owner_before_it_replaces_any(proxies):
    fleet = Fleet(proxies)
    fleet.run_with_decisions(STEADY_S)
    elected_at = fleet.clock.now()
    fleet.leader.log.leader_since = lambda: elected_at
    fleet.run(NEW_LEADER_GRACE_S)
    leadership = fleet.leader.member.current_leadership()
    assert leadership.leader_since == elected_at
    assert leadership.live_owners(fleet.clock.now()).keys() == ids(fleet.owners)

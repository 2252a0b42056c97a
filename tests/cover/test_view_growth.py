"""What reports, views and tables cost as the number of proxies grows.

Each size has a third as many services, of 3 targets each.
"""

import functools
import itertools

import pytest

from godwitwheel.directory.controllers import DECISION_INTERVAL_S
from tests.common.fleet import Fleet

SIZES = [30, 100, 300, 660]
# Largest number of bytes that one more service may cost a proxy that joins: its name
# in the table and with its owner, and its connection cap.
BYTES_PER_SERVICE = 60
JOINING_S = 10.0
STEADY_S = 60.0
# What a result may exceed proportional growth by, because of the owners' share.
TOLERANCE = 1.05


class Cost:
    """What a span of time cost control, and the proxies."""

    def __init__(self, fleet):
        self.proxies = len(fleet.proxies)
        self.services = fleet.services
        self.messages = sum(process.messages() for process in fleet.processes())
        self.bytes = sum(process.size() for process in fleet.processes())
        self.proxy_messages = max(process.messages() for process in fleet.proxies)
        self.proxy_bytes = max(process.size() for process in fleet.proxies)
        self.largest_reply = max(
            len(call.answered) for each in fleet.proxies for call in each.client.calls
        )


@functools.cache
def costs(proxies):
    """Returns the cost of joining and of a steady minute, and the time to join."""
    fleet = Fleet(proxies)
    settled_at = None
    for _ in range(round(JOINING_S / DECISION_INTERVAL_S)):
        fleet.run_with_decisions(DECISION_INTERVAL_S)
        is_settled = all(each.is_settled(fleet.view()) for each in fleet.processes())
        if is_settled and settled_at is None and fleet.view().owners:
            settled_at = fleet.clock.now() - 100.0
            joining = Cost(fleet)
    assert settled_at is not None
    assert not any(each.board.has_targets for each in fleet.proxies)
    fleet.reset()
    for second in range(round(STEADY_S)):
        fleet.put_target(second % (3 * fleet.services), 1 + second)
        fleet.run(1.0)
    return joining, Cost(fleet), settled_at


pairs = pytest.mark.parametrize("small, large", list(itertools.pairwise(SIZES)))


@pairs
def test_joining_costs_control_messages_in_proportion_to_the_proxies(small, large):
    before, after = costs(small)[0], costs(large)[0]
    assert after.messages <= TOLERANCE * before.messages * large / small


@pairs
def test_joining_costs_a_proxy_no_more_than_the_names_of_more_services(small, large):
    before, after = costs(small)[0], costs(large)[0]
    added = BYTES_PER_SERVICE * (after.services - before.services)
    assert after.proxy_bytes <= TOLERANCE * before.proxy_bytes + added
    mean_before = before.bytes / before.proxies
    assert after.bytes / after.proxies <= TOLERANCE * mean_before + added


@pytest.mark.parametrize("proxies", SIZES)
def test_all_processes_have_joined_within_seconds(proxies):
    assert costs(proxies)[2] <= 4.0


@pytest.mark.parametrize("proxies", SIZES)
def test_no_message_to_a_proxy_is_larger_than_a_chunk(proxies):
    """A larger one does not arrive over a slow link within a report's timeout."""
    joining, steady, _ = costs(proxies)
    assert joining.largest_reply <= 12 * 1024
    assert steady.largest_reply <= 1024


@pairs
def test_a_steady_minute_costs_control_in_proportion_to_the_proxies(small, large):
    before, after = costs(small)[1], costs(large)[1]
    assert after.messages <= TOLERANCE * before.messages * large / small
    assert after.bytes <= TOLERANCE * before.bytes * large / small


@pairs
def test_a_steady_minute_costs_a_proxy_no_more_in_a_larger_fleet(small, large):
    before, after = costs(small)[1], costs(large)[1]
    assert after.proxy_messages <= before.proxy_messages
    assert after.proxy_bytes <= before.proxy_bytes

"""Which control member a proxy calls next."""

import random

from godwitwheel.sessions.reporting.members import (
    UNRESPONSIVE_PAUSE_S,
    ControlMembers,
)

SEEDS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]


def test_a_member_that_did_not_answer_is_tried_after_the_others():
    members = ControlMembers(SEEDS, random.Random(1))
    members.mark_unresponsive(SEEDS[0], 0.4, 10.0)
    tried = {members.next_address(10.1) for _ in range(50)}
    assert tried == set(SEEDS[1:])
    assert SEEDS[0] in {
        members.next_address(10.1 + UNRESPONSIVE_PAUSE_S) for _ in range(50)
    }


def test_a_redirect_to_an_unresponsive_leader_is_not_followed():
    members = ControlMembers(SEEDS, random.Random(1))
    members.mark_unresponsive(SEEDS[0], 0.4, 10.0)
    members.record_leader(SEEDS[0], 10.1)
    assert members.next_address(10.1) != SEEDS[0]


def test_a_redirect_to_an_unresponsive_leader_that_was_heard_since_is_followed():
    # Otherwise one lost answer would keep a process from reporting for seconds.
    members = ControlMembers(SEEDS, random.Random(1))
    members.mark_unresponsive(SEEDS[0], 0.4, 10.0)
    members.record_leader(SEEDS[0], 10.1, heard_at=10.0)
    assert members.next_address(10.1) != SEEDS[0]
    members.record_leader(SEEDS[0], 10.1, heard_at=10.05)
    assert members.next_address(10.1) == SEEDS[0]


def test_a_member_that_refused_the_connection_is_retried_soon():
    members = ControlMembers(SEEDS, random.Random(1))
    members.mark_unresponsive(SEEDS[0], 0.001, 10.0)
    members.record_leader(SEEDS[0], 10.3)
    assert members.next_address(10.3) == SEEDS[0]


def test_a_redirect_to_the_leader_is_followed():
    members = ControlMembers(SEEDS, random.Random(1))
    members.record_leader(SEEDS[2], 10.0)
    assert members.next_address(10.0) == SEEDS[2]


def test_unresponsive_members_are_retried_if_there_are_no_others():
    members = ControlMembers(SEEDS, random.Random(1))
    for seed in SEEDS:
        members.mark_unresponsive(seed, 0.4, 10.0)
    assert members.next_address(10.1) in SEEDS

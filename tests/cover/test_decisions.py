"""Edge cases of routing and acknowledgement that the state machines rarely reach."""

import msgspec
import pytest

from godwitwheel.blackboard import Blackboard, Lease, PositionSample, ProxyIdentity
from godwitwheel.decisions.acknowledgement import (
    AckDecision,
    AnsweredWrite,
    check_acknowledgement,
)
from godwitwheel.decisions.routing import (
    RouteProblem,
    eligible_for_read,
    read_requirements,
    reply_includes_floor,
)
from godwitwheel.decisions.sessions import (
    LogPosition,
    Session,
    TokenProblem,
    decode_token,
    encode_token,
)
from godwitwheel.decisions.staleness import add_new_terms
from tests.common.group_model import GROUP, TOKEN_KEY, ModelControl

NOW = 50.0


@pytest.fixture
def board():
    control = ModelControl(["t0", "t1", "t2"])
    board = Blackboard(ProxyIdentity("p0", 1, "dc", "127.0.0.1:2"))
    board.view = control.view
    for target in control.targets.values():
        target.log = list(range(10))
        board.target_state(target.target_id).status = target.status()
        board.target_state(target.target_id).answered_at = NOW
    board.group_samples(GROUP).append(PositionSample(1, 10, NOW - 0.1))
    board.lease = Lease(NOW + 0.1)
    return board


def test_proxy_isolated_right_after_a_promotion_reads_at_a_replica(board):
    """The proxy has no sample of the new primary and gets none while isolated."""
    before = board.view
    old = before.groups[GROUP]
    new = msgspec.structs.replace(
        old, term=2, primary="t1", term_start=10, previous={1: 0}, promotable=[]
    )
    board.view = msgspec.structs.replace(
        before, version=before.version + 1, groups={GROUP: new}
    )
    status = board.target_state("t2").status
    board.target_state("t2").status = msgspec.structs.replace(status, term=2)
    requirements = read_requirements(
        GROUP, Session({GROUP: LogPosition(1, 10)}, True), 60_000
    )
    add_new_terms(board, before, NOW - 0.3)
    assert eligible_for_read(requirements, board, NOW + 10.0) == ["t2"]
    refusal = eligible_for_read(requirements, board, NOW + 59.8)
    assert refusal.reason is RouteProblem.no_fresh_replica


def test_position_of_another_term_does_not_cover_a_write(board):
    write = AnsweredWrite("t0", 1, LogPosition(1, 10))
    view = board.view.groups[GROUP]
    seen = {"t1": LogPosition(0, 99)}
    decision = check_acknowledgement(write, view, board.lease, seen, NOW)
    assert decision is AckDecision.wait


def test_reads_at_a_promotable_target_without_a_token_only_under_a_lease(board):
    requirements = read_requirements(GROUP, Session({}, is_complete=False), 1000)
    assert eligible_for_read(requirements, board, NOW) == ["t1"]
    refusal = eligible_for_read(requirements, board, NOW + 0.2)
    assert refusal.reason is RouteProblem.no_lease


@pytest.mark.parametrize("term, covered", [(1, False), (2, True)])
def test_reply_of_an_older_term_never_covers_a_write(board, term, covered):
    session = Session({GROUP: LogPosition(2, 5)}, is_complete=True)
    requirements = read_requirements(GROUP, session, 1000)
    view = board.view.groups[GROUP]
    assert reply_includes_floor(requirements, LogPosition(term, 8), view) is covered


def test_proxy_without_a_lease_reads_within_the_staleness_bound_only(board):
    session = Session({GROUP: LogPosition(1, 10)}, is_complete=True)
    requirements = read_requirements(GROUP, session, 1000)
    assert eligible_for_read(requirements, board, NOW + 0.8) == ["t0", "t1", "t2"]
    assert not eligible_for_read(requirements, board, NOW + 1.0)


@pytest.mark.parametrize(
    "unresponsive, expected",
    [
        (["t1"], ["t0", "t2"]),
        (["t0", "t2"], ["t1"]),
        (["t0", "t1", "t2"], ["t0", "t1", "t2"]),
    ],
)
def test_prefers_responsive_targets_for_reads(board, unresponsive, expected):
    board.lease = Lease(NOW)
    session = Session({GROUP: LogPosition(1, 10)}, is_complete=True)
    for target_id in unresponsive:
        board.targets[target_id].answered_at = NOW - 0.6
    assert (
        eligible_for_read(read_requirements(GROUP, session, 1000), board, NOW)
        == expected
    )


def test_reads_at_the_primary_if_no_replica_is_responsive(board):
    requirements = read_requirements(GROUP, Session({}, is_complete=True), 1000)
    for target_id in ("t1", "t2"):
        board.targets[target_id].answered_at = NOW - 0.6
    assert eligible_for_read(requirements, board, NOW) == ["t0"]


def test_rejects_forged_tokens():
    token = encode_token(Session({GROUP: LogPosition(1, 10)}, True), TOKEN_KEY)
    assert decode_token(token, TOKEN_KEY).points == {GROUP: LogPosition(1, 10)}
    refusals = {
        decode_token(token, "00" * 16).reason,
        decode_token(token[:-2] + "AA", TOKEN_KEY).reason,
    }
    assert refusals == {TokenProblem.forged}
    for broken in ("", "1..", "2.a.b", "1.!.?", "x" * 9000, token + ".", "1.é.é"):
        assert not decode_token(broken, TOKEN_KEY)

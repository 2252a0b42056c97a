"""Targets in the replicated log whose entries can't be used: other writers' entries.

An earlier version has accepted them, so that refusing them now does not suffice.
"""

import msgspec
import pytest

from fleet.targets import LineConnector
from godwitwheel.directory.leadership import DirectoryLeadership
from godwitwheel.directory.records import NO_ACCOUNT, TargetEntry
from godwitwheel.sessions.errors import ConnectFailed
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import NotSent
from tests.common.fake_sessions import SERVICE, FakeGroup, read
from tests.common.promoters import promoter_of
from tests.cover.test_promoter import OBSERVATIONS, ScriptedPromotionClient

UNUSABLE = [
    "127.0.0.9\0:9999",
    "127.0.0.9:99999",
    "127.0.0.9:" + "9" * 30,
    "127.0.0.9:0",
    "127.0.0.9:port",
    "127.0.0.9",
    "",
    ":80",
    "\u00b2.0.0.1:80",
    "x" * 70 + ".example:80",
    "backend.example:80",
]


class MixedGroup(FakeGroup):
    """A group that lists one more target, which is reached over the network."""

    def __init__(self, address):
        super().__init__()
        foreign = TargetEntry("x-0", SERVICE, address, "dc-1", 2, 0)
        view = self.view(2)
        targets = {**view.targets, "x-0": foreign}
        self.board.apply_view(msgspec.structs.replace(view, targets=targets))

    def connect(self, target, account, timeout_s):
        if target.target_id == "x-0":
            return LineConnector().connect(target, account, timeout_s)
        return super().connect(target, account, timeout_s)


@pytest.mark.parametrize("address", UNUSABLE)
def test_a_target_without_a_usable_address_is_unreachable(address):
    """The connect failed with an error that no caller expects."""
    entry = TargetEntry("x-0", "huvo11a", address, "dc-1", 2, 0)
    with pytest.raises(ConnectFailed):
        LineConnector().connect(entry, NO_ACCOUNT, 1.0)


@pytest.mark.parametrize("address", UNUSABLE)
def test_a_peer_without_a_usable_address_gets_no_request(address):
    with Client() as client, pytest.raises(NotSent):
        client.exchange(address, "POST", "/", b"{}", 1.0)


@pytest.mark.parametrize("address", UNUSABLE)
def test_reads_are_served_beside_a_target_without_a_usable_address(address):
    """Reads that went there ended without an answer, for good."""
    group = MixedGroup(address)
    for number in range(40):
        session = group.session("bounded_staleness")
        answer = session.execute(read(f"r{number}"))
        assert answer.error is None
        group.clock.advance(0.05)


@pytest.mark.parametrize("address", UNUSABLE)
def test_the_search_for_a_primary_survives_a_target_without_a_usable_address(address):
    group = MixedGroup(address)
    sampler = Sampler(group.context)
    entry = group.board.view.targets["x-0"]
    assert not sampler.probe(entry)
    assert group.board.status("x-0").failing_since is not None


@pytest.mark.parametrize("address", UNUSABLE)
def test_a_primary_is_replaced_beside_a_target_without_a_usable_address(address):
    """The promotion failed at that target each time, so no write was served again."""
    group = MixedGroup(address)
    group.primary.is_unresponsive = True
    orders = ScriptedPromotionClient()
    promoter = promoter_of(group, orders, lambda command: True)
    leadership = DirectoryLeadership(0.0, 3)
    promoter.replace(leadership, SERVICE, group.board.view, OBSERVATIONS, "lost")
    assert [target_id for target_id, _ in orders.orders] in (["t2"], ["t3"])


def test_an_unexpected_error_at_one_candidate_ends_no_promotion():
    """Other candidates may answer."""

    class FaultyGroup(FakeGroup):
        def connect(self, target, account, timeout_s):
            if target.target_id == "t2":
                raise ZeroDivisionError
            return super().connect(target, account, timeout_s)

    group = FaultyGroup()
    group.primary.is_unresponsive = True
    orders = ScriptedPromotionClient()
    promoter = promoter_of(group, orders, lambda command: True)
    leadership = DirectoryLeadership(0.0, 3)
    promoter.replace(leadership, SERVICE, group.board.view, OBSERVATIONS, "lost")
    assert [target_id for target_id, _ in orders.orders] == ["t3"]

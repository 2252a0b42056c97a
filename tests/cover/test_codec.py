"""Messages round-trip, and bad ones are refused with the field's name."""

import pytest

from godwitwheel.wire.codec import decode, encode
from godwitwheel.wire.control import ClusterView, GroupPhase, GroupView
from godwitwheel.wire.errors import BadMessage


def test_view_survives_a_round_trip():
    group = GroupView(group="bays", term=3, phase=GroupPhase.fenced, previous={2: 9})
    view = ClusterView(version=7, groups={"bays": group})
    assert decode(encode(view), ClusterView) == view


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b'{"version": "7"}', b"[]"])
def test_rejects_malformed_bodies(body):
    with pytest.raises(BadMessage, match="ClusterView"):
        decode(body, ClusterView)

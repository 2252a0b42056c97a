"""The platform's settings file."""

import json

import pytest

from fleet.core import directory_settings
from fleet.front import proxy_settings
from fleet.settings import (
    InvalidSettingsFile,
    SettingsFile,
    decode_settings,
    key_authority,
)
from godwitwheel.accounts.authority import LeasedKeys, UnleasedKeys

SETTINGS = {
    "node_name": "core-1",
    "ip": "10.1.0.10",
    "zone": "carrasco",
    "listen_addresses": {"control": "10.1.0.10:8782"},
    "internal_port_range": [7440, 7455],
    "seeds": ["10.1.0.10:8782", "10.2.0.9:8782"],
    "bootstrap": True,
    "data_dir": "/data/core",
    "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
    "bounds": {"grace_period_s": 6},
    "cloud_api": {"address": "10.200.0.160:8783", "duties": ["failover"]},
    "a_field_of_next_year": {"x": 1},
}


def settings(**changes):
    return decode_settings(json.dumps({**SETTINGS, **changes}).encode())


def test_a_member_is_identified_by_its_internal_address():
    member = directory_settings(settings())
    assert member.member_id == "10.1.0.10:7440"
    assert member.founders == {
        "10.1.0.10:7440": "10.1.0.10:7440",
        "10.2.0.9:7440": "10.2.0.9:7440",
    }
    assert member.may_bootstrap


def test_the_number_of_voters_follows_the_fault_tolerance():
    assert directory_settings(settings()).voters == 5


def test_keys_are_leased_only_where_withdrawals_are_bounded():
    bounds = {"strict_revocation": True, "revoke_ms": 4000}
    leased = key_authority(settings(bounds=bounds))
    assert isinstance(leased, LeasedKeys)
    assert leased.lease_s < 4.0
    assert isinstance(key_authority(settings()), UnleasedKeys)


@pytest.mark.parametrize(
    "changes", [{"bootstrap": False}, {"seeds": ["10.9.0.1:8782"]}]
)
def test_only_a_seed_at_the_first_start_may_bootstrap(changes):
    assert not directory_settings(settings(**changes)).may_bootstrap


def test_a_proxy_looks_for_control_at_the_seeds():
    listen = {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"}
    proxy = proxy_settings(settings(listen_addresses=listen))
    assert proxy.seeds == ["10.1.0.10:7440", "10.2.0.9:7440"]
    assert proxy.listen == "10.1.0.8:8784"
    assert proxy.grace_period_s == 6


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{",
        json.dumps(SETTINGS).encode()[:-20],
        b"\xff\xfe",
        b"[]",
        # Deeper than the decoder's own stack.
        b'{"node_name": "n", "unknown": ' + b"[" * 100_000,
        json.dumps({**SETTINGS, "seeds": 7}).encode(),
        json.dumps({**SETTINGS, "internal_port_range": []}).encode(),
    ],
)
def test_an_incomplete_or_invalid_file_is_refused(content):
    with pytest.raises(InvalidSettingsFile):
        decode_settings(content)


def test_a_change_without_a_signal_is_detected(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    file = SettingsFile(str(path))
    file.read()
    assert not file.has_changed()
    path.write_text(json.dumps({**SETTINGS, "seeds": []}))
    assert file.has_changed()
    assert file.read().seeds == []


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(InvalidSettingsFile):
        SettingsFile(str(tmp_path / "none")).read()

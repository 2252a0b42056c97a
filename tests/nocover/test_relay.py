"""The relay cuts exactly the requested links and restores them without loss."""

import contextlib
import json

import pytest

from bench.links import SetLinks
from bench.processes import ManagedProcess
from godwitwheel.wire.client import Client
from godwitwheel.wire.errors import NoReply, WireError
from godwitwheel.wire.target import Role, TargetStatus
from tests.common.processes import free_address, wait_until


@contextlib.contextmanager
def running(process):
    process.start()
    try:
        yield process
    finally:
        process.kill()


@pytest.fixture
def pair(tmp_path):
    """Yields the listen addresses, by name, and a client."""
    listen = {name: free_address() for name in ("t1", "t2", "relayed", "control")}
    common = ["--group", "g", "--data-centre", "dc", "--schema", "bench/services/"]
    common[-1] += "schema.sql"
    flags = ["--id", "t1", "--listen", listen["t1"], "--role", Role.primary]
    primary = ManagedProcess("t1", "bench.target", common + flags, tmp_path / "t1")
    flags = ["--id", "t2", "--listen", listen["t2"], "--follow", listen["relayed"]]
    arguments = common + flags
    replica = ManagedProcess(
        "t2", "bench.target", arguments, tmp_path / "t2", "127.0.1.2"
    )
    link = f"t1={listen['relayed']}={listen['t1']}"
    arguments = ["--control", listen["control"], "--link", link]
    arguments += ["--source", "127.0.1.2=t2"]
    relay = ManagedProcess("relay", "bench.relay", arguments, tmp_path / "relay")
    with running(primary), running(relay), running(replica), Client() as client:
        yield listen, client


def position(client, address):
    with contextlib.suppress(WireError):
        return client.call(address, "/v1/status", None, TargetStatus, 2.0).position
    return -1


def test_cut_link_withholds_traffic_until_it_is_healed(pair):
    listen, client = pair
    wait_until(lambda: position(client, listen["t2"]) == 1, "the replica follows")
    cut = SetLinks(cuts=[("t1", "t2"), ("t1", "caller")])
    client.call(listen["control"], "/links", cut, dict, 2.0)
    with pytest.raises(NoReply):
        client.call(listen["relayed"], "/v1/status", None, TargetStatus, 0.2)
    cut = SetLinks(cuts=[("t1", "t2")])
    client.call(listen["control"], "/links", cut, dict, 2.0)
    assert position(client, listen["relayed"]) == 1
    insert = {"request_id": 1, "sql": "INSERT INTO entries (key, caller) VALUES (1,1)"}
    body = json.dumps(insert).encode()
    client.exchange(listen["t1"], "POST", "/v1/session", b"", 2.0)
    status, _ = client.exchange(listen["t1"], "POST", "/v1/statement", body, 2.0)
    assert (status, position(client, listen["t1"])) == (200, 2)
    assert position(client, listen["t2"]) == 1
    client.call(listen["control"], "/links", SetLinks(), dict, 2.0)
    wait_until(lambda: position(client, listen["t2"]) == 2, "the replica catches up")

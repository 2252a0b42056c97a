"""Heartbeats and the operator's calls, in a cell of one member."""

import copy
import json
import time

import eliot
import msgspec
import pytest

from bench.slopes.odd_bodies import invalid_bodies
from fleet.control_api import ControlApi
from fleet.tables import FleetTableCodec
from godwitwheel.accounts.keys import digest_of
from godwitwheel.control.committer import MAX_BATCH_BYTES
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import PutTable
from godwitwheel.directory.documents import pack_document
from godwitwheel.directory.errors import InvalidTable
from godwitwheel.directory.member import DirectoryMember
from godwitwheel.directory.state import Directory
from godwitwheel.internal.clock import ManualClock
from godwitwheel.wire.codec import MAX_NESTING, encode
from godwitwheel.wire.server import Server
from tests.common.control import OneMemberLog

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "database": "fiti",
            "path_prefix": "/",
            "type": "read_your_writes",
            "timeout_ms": 800,
            "target_latency_ms": 250,
            "priority": 2,
            "service": "huvo",
            "max_attempts": 2,
            "max_staleness_ms": 2500,
        }
    ],
    "services": [
        {"name": "huvo", "max_connections": 41, "protocol": "h1", "sync_replicas": 0}
    ],
    "limits": {"header_timeout_ms": 3000, "tx_idle_ms": 2000},
}
HEARTBEAT = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "parana-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "db_role": "replica",
    "sequence": 4,
    "born": 100,
}


class Api:
    """The routes of a member whose log commits at once."""

    def __init__(self):
        self.log = OneMemberLog()
        self.state = ControlState(table_codec=FleetTableCodec())
        self.log.state_machine = self.state
        self.member = DirectoryMember(self.log, self.state, ManualClock())
        self.server = Server(ControlApi(self.member, None, 8782).routes(), self.fail)

    def fail(self, error):
        raise error

    def call(self, method, path, body=None):
        content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()

        class Input:
            def read(self, length):
                return content

        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(content)),
            "wsgi.input": Input(),
        }
        return self.server.respond(environ)

    def put(self, body):
        return self.call("POST", "/api/config/put", body)

    def heartbeat(self, target_id="i-1", **changes):
        path = f"/api/instances/{target_id}/heartbeat"
        return self.call("POST", path, {**HEARTBEAT, **changes})


@pytest.fixture
def api():
    return Api()


def test_a_configuration_is_read_back_as_it_was_sent(api):
    assert api.call("GET", "/api/config/get").status == 503
    document = json.dumps(CONFIG, indent=1).encode()
    assert api.put(document).status == 200
    reply = api.call("GET", "/api/config/get")
    assert (reply.status, reply.body) == (200, document)


def test_a_configuration_of_3000_routes_is_kept_as_it_was_sent(api):
    """As JSON it is larger than an entry of the log, so it was never acknowledged."""
    routes = [
        {**CONFIG["routes"][0], "name": f"r-{n}", "database": f"d{n * 7919:08x}"}
        for n in range(3000)
    ]
    document = json.dumps({**CONFIG, "routes": routes}).encode()
    assert len(document) > MAX_BATCH_BYTES
    assert api.put(document).status == 200
    assert api.call("GET", "/api/config/get").body == document
    restored = Directory(FleetTableCodec())
    restored.restore(api.state.directory.snapshot())
    assert restored.view.table == api.state.directory.view.table


def test_an_outdated_configuration_is_acknowledged_and_changes_nothing(api):
    api.put(CONFIG)
    assert api.put({**CONFIG, "version": 6}).status == 200
    assert api.put({**CONFIG, "routes": []}).status == 200
    assert json.loads(api.call("GET", "/api/config/get").body) == CONFIG
    assert api.put(CONFIG).status == 200


ACCOUNTS = [
    {
        "name": "bode960",
        "api_keys": ["ta828m82thhk", "h5mgjy5rcpih"],
        "priority": 1,
        "rate_per_s": 176,
        "burst": 17.5,
    },
    {"name": "dale51", "api_keys": []},
]


@pytest.mark.parametrize(
    "change",
    [
        {"tenants": [*ACCOUNTS, {"name": "t3", "api_keys": ["ta828m82thhk"]}]},
        {"tenants": [*ACCOUNTS, {**ACCOUNTS[1]}]},
        {"tenants": [*ACCOUNTS, {"name": "", "api_keys": ["k"]}]},
        {"tenants": [*ACCOUNTS, {"name": "t 3", "api_keys": ["k"]}]},
        {"tenants": [*ACCOUNTS, {"name": "t3\r\n", "api_keys": ["k"]}]},
        {"tenants": [*ACCOUNTS, {"name": "t3", "api_keys": [""]}]},
        {"tenants": [*ACCOUNTS, {"name": "t3", "rate_per_s": -1}]},
        {"routes": [{**CONFIG["routes"][0], "service": "none"}]},
        {"routes": [{**CONFIG["routes"][0], "timeout_ms": 0}]},
        {"services": [*CONFIG["services"], {"name": "s 3"}]},
        {"services": [*CONFIG["services"], {"name": "s3\r\nQUERY"}]},
        {"services": [*CONFIG["services"], {"name": ""}]},
        {"routes": [CONFIG["routes"][0], {**CONFIG["routes"][0], "name": "r-2"}]},
        {"version": "eight"},
        {"routes": None},
    ],
)
def test_an_invalid_configuration_is_refused_and_changes_nothing(api, change):
    api.put(CONFIG)
    assert api.put({**CONFIG, "version": 8, **change}).status == 400
    assert json.loads(api.call("GET", "/api/config/get").body) == CONFIG


def test_a_truncated_configuration_is_refused(api):
    assert api.put(json.dumps(CONFIG).encode()[:-9]).status == 400


def test_a_key_that_two_accounts_share_is_not_shown(api):
    shared = {"name": "t3", "api_keys": ["ta828m82thhk"]}
    reply = api.put({**CONFIG, "tenants": [*ACCOUNTS, shared]})
    assert reply.status == 400
    assert b"bode960" in reply.body and b"t3" in reply.body
    assert b"ta828m82thhk" not in reply.body


def test_accounts_decode_with_digests_of_their_keys(api):
    api.put({**CONFIG, "tenants": ACCOUNTS})
    table = api.state.directory.view.table
    account = table.accounts["bode960"]
    assert account.key_digests == [digest_of("ta828m82thhk"), digest_of("h5mgjy5rcpih")]
    assert (account.rate_per_s, account.burst) == (176.0, 17.5)
    assert table.accounts["dale51"].rate_per_s is None
    assert not table.routes["fiti"].public


def test_without_accounts_every_route_is_public(api):
    api.put(CONFIG)
    assert api.state.directory.view.table.routes["fiti"].public


def test_a_configuration_decodes_into_a_routing_table(api):
    api.put(CONFIG)
    table = api.state.directory.view.table
    route = table.routes["fiti"]
    assert route.max_staleness_ms == 2500
    assert route.statement_timeout_ms == 800
    assert table.services["huvo"].max_connections == 41
    assert table.limits.transaction_idle_ms == 2000


def test_a_heartbeat_is_committed_before_it_is_acknowledged(api):
    assert api.heartbeat().status == 200
    entry = api.state.directory.view.targets["i-1"]
    assert entry.address == "10.128.0.9:8080"
    assert entry.data_centre == "parana-a"
    assert api.heartbeat(state="draining", sequence=5).status == 200
    assert api.state.directory.view.targets["i-1"].leaving


def test_an_outdated_heartbeat_changes_nothing(api):
    api.heartbeat(state="draining", sequence=9)
    assert api.heartbeat(sequence=8).status == 200
    assert api.state.directory.view.targets["i-1"].leaving


def test_an_unchanged_heartbeat_commits_nothing(api):
    api.heartbeat()
    proposed = api.log.proposed
    api.heartbeat(sequence=5)
    assert api.log.proposed == proposed


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "three"},
        {"address": "nowhere"},
        {"address": "127.0.0.9\0:9999"},
        {"address": "10.0.0.9\r\n:8080"},
        {"address": "backend.example:8080"},
        {"address": "10.0.0.\u0664:8080"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:" + "9" * 400},
        {"address": "x" * 300 + ":8080"},
        {"service": ""},
        {"service": "huvo i-2\r\nQUERY"},
        {"zone": "x" * 5000},
        {"db_role": "witness"},
        {"born": "then"},
        {"born": -1},
        {"born": 10**30},
        {"sequence": None},
        {"sequence": 10**30},
        {"slots": 0},
        {"slots": 2**62},
        {"slots": 1e300},
        {"version": 7},
        {"cold_remaining_ms": "soon"},
        {"cold_remaining_ms": 10**400},
    ],
)
def test_an_invalid_heartbeat_is_refused_and_adds_no_target(api, change):
    """Of another writer: each process that used such an entry failed at it again."""
    assert api.heartbeat(**change).status == 400
    assert api.state.directory.view.targets == {}


@pytest.mark.parametrize("field", sorted(HEARTBEAT))
def test_a_heartbeat_without_a_field_is_refused_and_adds_no_target(api, field):
    """Targets send all fields; an entry with defaults in their place was used."""
    body = {name: value for name, value in HEARTBEAT.items() if name != field}
    assert api.call("POST", "/api/instances/i-1/heartbeat", body).status == 400
    assert api.state.directory.view.targets == {}


@pytest.mark.parametrize("target_id", ["i-1\r\n", "i 1", "i" * 200, "é"])
def test_a_heartbeat_under_an_id_of_no_target_is_refused(api, target_id):
    assert api.heartbeat(target_id).status == 400
    assert api.state.directory.view.targets == {}


@pytest.mark.parametrize("depth", range(60, 1200, 20))
def test_a_deeply_nested_heartbeat_is_refused_or_names_a_target(api, depth):
    """A field that nobody reads, nested beyond what the decoder follows."""
    nested = b"[" * depth + b"]" * depth
    body = json.dumps(HEARTBEAT).encode()[:-1] + b', "more": ' + nested + b"}"
    status = api.call("POST", "/api/instances/i-1/heartbeat", body).status
    assert (status, "i-1" in api.state.directory.view.targets) in (
        (200, True),
        (400, False),
    )


def test_a_heartbeat_of_an_unknown_service_replaces_no_known_target(api):
    """Another writer may name the address, or the id, of a target."""
    api.heartbeat(service="kafi", born=90)
    api.put(CONFIG)
    assert set(api.state.directory.view.targets) == {"i-1"}
    api.heartbeat()
    known = api.state.directory.view.targets
    assert api.heartbeat("x-1", service="kafi", born=500).status == 200
    assert api.heartbeat(service="kafi", born=500).status == 200
    assert api.state.directory.view.targets == known


@pytest.mark.parametrize("depth", range(60, 1200, 20))
def test_a_deeply_nested_configuration_is_refused_or_can_be_restored(api, depth):
    """The deeper stack of another process could not decode what one had accepted."""
    nested = b"[" * depth + b"]" * depth
    document = json.dumps(CONFIG).encode()[:-1] + b', "more": ' + nested + b"}"
    reply = api.put(document)
    assert reply.status == (200 if depth < MAX_NESTING else 400)
    restored = Directory(FleetTableCodec())
    restored.restore(api.state.directory.snapshot())
    assert restored.view.table == api.state.directory.view.table


@pytest.mark.parametrize("number", [10**30, 1e300, -(10**30), 2**63])
@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("routes", 0, "timeout_ms"),
        ("routes", 0, "target_latency_ms"),
        ("routes", 0, "priority"),
        ("routes", 0, "max_staleness_ms"),
        ("services", 0, "max_connections"),
        ("services", 0, "sync_replicas"),
        ("limits", "tx_idle_ms"),
    ],
)
def test_a_configuration_with_a_number_too_large_is_refused(api, path, number):
    """It was acknowledged, but could not be sent to any process."""
    changed = copy.deepcopy(CONFIG)
    holder = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = number
    assert api.put(changed).status == 400
    encode(api.state.directory.view.table)
    assert api.put({**CONFIG, "version": 8}).status == 200


def test_a_document_in_the_log_that_is_no_longer_valid_ends_no_process(api):
    """Every member failed at it, and at each restart again."""
    api.put(CONFIG)
    refused = {**CONFIG, "version": 9, "routes": [{"name": "no database"}]}
    stored = pack_document(json.dumps(refused).encode())
    result = api.state.directory.put_table(50, PutTable(stored))
    assert (result.applied, result.version) == (False, 7)
    restored = Directory(FleetTableCodec())
    restored.restore(
        msgspec.structs.replace(api.state.directory.snapshot(), document=stored)
    )
    assert restored.put_table(51, PutTable(api.state.directory.document)).applied


def test_a_heartbeat_that_is_not_text_is_refused_and_logged(api):
    messages = []
    eliot.add_destinations(messages.append)
    path = "/api/instances/i-1/heartbeat"
    assert api.call("POST", path, b"\xff\xfe").status == 400
    eliot.remove_destination(messages.append)
    lines = [m for m in messages if m.get("message_type") == "call_refused"]
    assert len(lines) == 1


def test_a_late_heartbeat_does_not_restore_a_deregistered_target(api):
    api.heartbeat()
    assert api.call("POST", "/api/instances/i-1/deregister").status == 200
    api.heartbeat(sequence=50)
    assert api.state.directory.view.targets == {}
    api.heartbeat(born=200, sequence=1)
    assert "i-1" in api.state.directory.view.targets


@pytest.mark.parametrize(
    "body", [b'{"born": null}', b'{"born": 1e400}', b'{"born": ' + b"[" * 900, b"\xff"]
)
def test_an_invalid_departure_removes_no_target(api, body):
    """Of another writer: the target that it names runs on."""
    api.heartbeat()
    assert api.call("POST", "/api/instances/i-1/deregister", body).status == 400
    assert "i-1" in api.state.directory.view.targets


def test_without_a_leader_nothing_is_acknowledged(api):
    api.log.is_leader = False
    assert api.heartbeat().status == 503
    assert api.put(CONFIG).status == 503
    assert api.call("GET", "/api/config/get").status == 503


def test_a_follower_redirects_the_operator_to_the_leader(api):
    api.log.is_leader = False
    api.log.leader = "10.0.0.4:7440"
    reply = api.put(CONFIG)
    assert reply.status == 307
    location = dict(reply.headers)["Location"]
    assert location == "http://10.0.0.4:8782/api/config/put"


def test_the_codec_names_the_unknown_service():
    with pytest.raises(InvalidTable, match="none"):
        broken = {**CONFIG, "routes": [{**CONFIG["routes"][0], "service": "none"}]}
        FleetTableCodec().decode(json.dumps(broken).encode())


@pytest.mark.parametrize("kind", invalid_bodies(0))
def test_a_large_invalid_configuration_is_refused_at_once(kind):
    """One of 167 KB that was cut short occupied every member of control for 35 s."""
    api = Api()
    assert api.call("POST", "/api/config/put", CONFIG).status == 200
    body = invalid_bodies(260 * 1024)[kind]
    begun_at = time.process_time()
    assert api.call("POST", "/api/config/put", body).status == 400
    assert time.process_time() - begun_at < 1.0
    assert json.loads(api.call("GET", "/api/config/get").body)["version"] == 7

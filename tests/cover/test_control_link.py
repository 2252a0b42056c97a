"""A proxy records each view and revision once, when it becomes active."""

import msgspec

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.internal.clock import BootClock
from godwitwheel.observe.log import process_log
from godwitwheel.observe.metrics import ProcessMetrics
from godwitwheel.proxy.pools import TargetPools
from godwitwheel.proxy.process import Proxy
from godwitwheel.proxy.settings import ProxySettings
from godwitwheel.targets.http_target import HttpTargetConnection
from godwitwheel.wire.client import Client
from godwitwheel.wire.control import ClusterView, HeartbeatReply
from godwitwheel.wire.service import Configuration


def test_records_only_newer_views_and_revisions(tmp_path):
    settings = ProxySettings("p1", "melilla", "127.0.0.1:1", ["127.0.0.1:2"])
    board = Blackboard(ProxyIdentity("p1", 1, "melilla", "127.0.0.1:1"))
    clock = BootClock()
    log = tmp_path / "p1.log"
    with (
        TargetPools(board, HttpTargetConnection, clock) as pools,
        Client() as client,
        process_log(str(log), "p1", "proxy", "melilla"),
    ):
        metrics = ProcessMetrics("p1", "proxy")
        link = Proxy(settings, clock, client, pools, metrics).link
        for version, revision in [(2, 1), (3, 1), (3, 2), (2, 1)]:
            view = ClusterView(version=version)
            configuration = Configuration(revision)
            reply = HeartbeatReply(0, version, revision, view, configuration)
            link.apply_reply(reply, clock.now())
    events = [msgspec.json.decode(line) for line in log.read_bytes().splitlines()]
    recorded = [
        event.get("view_version", event.get("revision"))
        for event in events
        if event["message_type"].endswith("_in_force")
    ]
    assert recorded == [2, 1, 3, 2]

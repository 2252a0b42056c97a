"""A proxy with callers and a target that speak the line protocol over loopback."""

import contextlib

import msgspec

from fleet.callers import LineCallerLink
from fleet.targets import LineConnector
from godwitwheel.directory.records import OwnerEntry
from godwitwheel.internal.clock import BootClock
from godwitwheel.internal.loop import sleep
from godwitwheel.sessions.http_api import HttpSessions
from godwitwheel.sessions.owning.owner import Owner
from godwitwheel.sessions.owning.owner_calls import OwnerCalls
from godwitwheel.sessions.owning.owner_process import MAX_REQUEST_BYTES
from godwitwheel.sessions.owning.remote import RemoteRunner
from godwitwheel.sessions.running.runner import RunnerSelector
from godwitwheel.sessions.serving import SessionServer
from godwitwheel.wire.client import Client
from godwitwheel.wire.server import Server
from godwitwheel.wire.streams import StreamServer, open_stream

from .fake_sessions import SERVICE, FakeGroup
from .framing import MessageReader, Reply, read_reply
from .line_target import EchoTarget
from .processes import wait_until

TIMEOUT_S = 10.0
# Shorter than the callers wait, and far above what a statement takes.
STATEMENT_TIMEOUT_MS = 8000


class LineCaller:
    """A session of a caller that frames its messages itself."""

    def __init__(self, address):
        self.stream = open_stream(address, TIMEOUT_S)
        self.reader = MessageReader(self.stream)

    def start(self, database="primary"):
        """Opens the session."""
        self.send(f"START {database} -")
        assert self.reader.read(TIMEOUT_S) == "READY I -"
        return self

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stream.close()

    def send(self, message):
        self.stream.write(f"{message}\r\n".encode(), TIMEOUT_S)

    def query(self, request_id, text) -> Reply:
        self.send(f"QUERY {request_id} {text}")
        return read_reply(self.reader, TIMEOUT_S)


class LineProxy:
    """A proxy of one target, the primary.

    :ivar address: for callers of the line protocol.
    :ivar http_address: for callers of sessions over HTTP.
    """

    def __init__(self, target, address, http_address):
        self.target = target
        self.address = address
        self.http_address = http_address

    def open(self, database="primary"):
        """Forgets what the target has run, and opens a session."""
        self.target.queries.clear()
        self.target.ran.clear()
        self.target.refusals.clear()
        return LineCaller(self.address).start(database)


@contextlib.contextmanager
def running_proxy(has_owner=False):
    """Runs a proxy inside the block.

    :param has_owner: whether an owner holds the connections to the target.
    """
    errors = []
    with contextlib.ExitStack() as stack:
        target = stack.enter_context(EchoTarget().running())
        group = group_with(target)
        runners = RunnerSelector(group.context)
        if has_owner:
            group, runners = put_owner_before(stack, group, target, errors)
        server = SessionServer(group.context, runners)
        listener = StreamServer(
            lambda s: server.serve(LineCallerLink(s)), errors.append
        )
        callers = stack.enter_context(listener.listening("127.0.0.1:0"))
        sessions = HttpSessions(group.context, runners, "run1")
        http = Server(sessions.routes(), errors.append)
        stack.enter_context(http.listening("127.0.0.1:0"))
        yield LineProxy(target, callers.address, http.address)
        # A statement that is left would go on in the tests that follow.
        wait_until(lambda: sleep(0.01) or not server.open_sessions, "sessions end")
    assert errors == []


def group_with(target, version=2):
    """Returns a group of one target, which is reached over loopback."""
    group = FakeGroup()
    # With the group's own clock, which stands still, no statement would ever expire.
    group.board.clock = BootClock()
    group.board.connector = LineConnector()
    view = group.view(version)
    replace = msgspec.structs.replace
    routes = {
        name: replace(
            route,
            statement_timeout_ms=STATEMENT_TIMEOUT_MS,
            latency_objective_ms=STATEMENT_TIMEOUT_MS,
        )
        for name, route in view.table.routes.items()
    }
    table = replace(view.table, routes=routes)
    entry = replace(view.targets["t1"], address=target.address)
    group.board.apply_view(replace(view, table=table, targets={"t1": entry}))
    return group


def put_owner_before(stack, group, target, errors):
    """Makes a group's process the owner; returns another group that uses it."""
    group.board.process_id = "owner-1"
    routes = Owner(group.context, "run1").routes()
    server = Server(routes, errors.append, max_body_bytes=MAX_REQUEST_BYTES)
    stack.enter_context(server.listening("127.0.0.1:0"))
    owners = {SERVICE: OwnerEntry("owner-1", server.address)}
    front = group_with(target)
    for each in (group, front):
        view = msgspec.structs.replace(each.board.view, version=9, owners=owners)
        each.board.apply_view(view)
    client = stack.enter_context(Client())
    calls = OwnerCalls(front.context, client, "front-1")
    return front, RunnerSelector(front.context, RemoteRunner(calls))

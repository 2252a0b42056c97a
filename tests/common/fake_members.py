"""Control members without a network, and a client that calls their handlers."""

import io

from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import PutTable
from godwitwheel.directory.member import DirectoryMember
from godwitwheel.directory.records import (
    Consistency,
    Route,
    RoutingTable,
    ServicePolicy,
)
from godwitwheel.directory.routes import directory_routes
from godwitwheel.wire.codec import encode
from godwitwheel.wire.errors import NoReply
from godwitwheel.wire.server import Server

from .control import OneMemberLog


def large_table(version, routes=1500, services=4, changed=1):
    """Returns a table in which the first ``changed`` routes depend on the version."""
    return RoutingTable(
        version,
        {
            f"database-{number:04}": Route(
                f"database-{number:04}",
                f"service-{number % services}",
                Consistency.primary,
                800 + (version if number < changed else 7919 * number % 997),
                100 + 104729 * number % 499,
                number % 5,
            )
            for number in range(routes)
        },
        {
            f"service-{number}": ServicePolicy(f"service-{number}", 40)
            for number in range(services)
        },
    )


class FakeMember:
    """A control member whose log commits at once.

    :ivar is_silent: whether it leaves requests unanswered.
    """

    def __init__(self, clock):
        self.log = OneMemberLog()
        self.state = ControlState()
        self.log.state_machine = self.state
        self.member = DirectoryMember(self.log, self.state, clock)
        self.server = Server(directory_routes(self.member), self._fail)
        self.is_silent = False

    def publish(self, table):
        """Commits a table."""
        self.member.commit_entry(PutTable(encode(table)))

    def restart(self, clock):
        """Loses everything but a snapshot."""
        snapshot = self.state.take_snapshot()
        self.__init__(clock)
        self.state.load_snapshot(snapshot)

    def _fail(self, error):
        raise error


class Call:
    """A call of a member and its answer."""

    def __init__(self, address, method, path, status, asked, answered):
        self.address = address
        self.method = method
        self.path = path
        self.status = status
        self.asked = asked
        self.answered = answered

    def size(self):
        """Returns the bytes of both bodies."""
        return len(self.asked) + len(self.answered)


class FakeClient:
    """Calls members directly.

    :ivar calls: calls that were answered.
    :ivar distort: changes the status, headers and body of an answer.
    """

    def __init__(self, members):
        self.members = members
        self.calls = []
        self.distort = lambda status, headers, body: (status, headers, body)

    def exchange(self, address, method, path, body, timeout_s, headers=None):
        status, _, answer = self._call(address, method, path, body)
        return status, answer

    def fetch(self, address, path, timeout_s):
        status, headers, body = self._call(address, "GET", path, b"")
        return self.distort(status, headers, body)

    def _call(self, address, method, path, body):
        member = self.members[address]
        if member.is_silent:
            raise NoReply(address)
        response = member.server.respond(environ_of(method, path, body))
        call = Call(address, method, path, response.status, body, response.body)
        self.calls.append(call)
        headers = {name.lower(): value for name, value in response.headers}
        return response.status, headers, response.body


def environ_of(method, path, body):
    """Returns the environment of a request."""
    return {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }

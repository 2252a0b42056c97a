"""The directory's HTTP routes for proxies and other control members."""

import msgspec

from ..control.errors import ControlError, NotLeading
from ..sessions.reporting.reporting import REPORT_PATH
from ..wire.codec import decode
from ..wire.control import ControlProblem
from ..wire.server import Handler, Request, Response
from ..wire.status import MISDIRECTED, UNAVAILABLE
from .member import DirectoryMember
from .records import ProxyReport, Redirect, TargetEntry

ANNOUNCE_PATH = "/v1/directory/announce"
REMOVE_PATH = "/v1/directory/remove"


class Announcement(msgspec.Struct, frozen=True):
    """A target's announcement, forwarded to the leader."""

    entry: TargetEntry
    sequence: int


class Removal(msgspec.Struct, frozen=True):
    """A target's departure, forwarded to the leader."""

    target_id: str
    started_at_ms: int | None = None


class Accepted(msgspec.Struct, frozen=True):
    """The leader's reply once a forwarded message has been processed."""


def directory_routes(member: DirectoryMember) -> dict[tuple[str, str], Handler]:
    """Returns the routes of a member."""

    def report(request: Request) -> Response:
        return Response(member.report(decode(request.body, ProxyReport)))

    def announce(request: Request) -> Response:
        message = decode(request.body, Announcement)
        member.announce(message.entry, message.sequence)
        return Response(Accepted())

    def remove(request: Request) -> Response:
        message = decode(request.body, Removal)
        member.remove(message.target_id, message.started_at_ms)
        return Response(Accepted())

    return {
        ("POST", REPORT_PATH): guarded(member, report),
        ("POST", ANNOUNCE_PATH): guarded(member, announce),
        ("POST", REMOVE_PATH): guarded(member, remove),
    }


def guarded(member: DirectoryMember, handler: Handler) -> Handler:
    """Wraps a handler: redirects to the leader, or replies with a control problem.

    The redirect applies if this member doesn't lead, the problem to other errors.
    """

    def guarded_handler(request: Request) -> Response:
        try:
            return handler(request)
        except NotLeading:
            return Response(Redirect(member.log.leader_address()), MISDIRECTED)
        except ControlError as error:
            return Response(ControlProblem(str(error)), UNAVAILABLE)

    return guarded_handler

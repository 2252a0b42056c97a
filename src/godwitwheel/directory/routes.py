"""The directory's HTTP routes for proxies and other control members."""

import msgspec

from ..control.errors import ControlError, NotLeading
from ..internal.validation import is_whole_number
from ..sessions.reporting.reporting import REPORT_PATH
from ..wire.codec import decode
from ..wire.control import ControlProblem
from ..wire.errors import BadMessage
from ..wire.numbers import MAX_NUMBER
from ..wire.server import Handler, Request, Response
from ..wire.status import GONE, MISDIRECTED, NOT_FOUND, PARTIAL, UNAVAILABLE
from .errors import AssemblyPostponed, UnknownBase, UnknownTable
from .member import DirectoryMember
from .records import ProxyReport, Redirect, TargetEntry
from .table_chunks import TABLE_PATH

ANNOUNCE_PATH = "/v1/directory/announce"
REMOVE_PATH = "/v1/directory/remove"
BUILD_PATH = "/v1/directory/build"


class Announcement(msgspec.Struct, frozen=True):
    """A target's announcement, forwarded to the leader."""

    entry: TargetEntry
    sequence: int


class Removal(msgspec.Struct, frozen=True):
    """A target's departure, forwarded to the leader."""

    target_id: str
    started_at_ms: int | None = None


class BuildReport(msgspec.Struct, frozen=True):
    """What a member of control runs; proxies say it in their reports."""

    process_id: str
    build: str


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

    def build(request: Request) -> Response:
        message = decode(request.body, BuildReport)
        member.record_build(message.process_id, message.build)
        return Response(Accepted())

    def remove(request: Request) -> Response:
        message = decode(request.body, Removal)
        member.remove(message.target_id, message.started_at_ms)
        return Response(Accepted())

    def table(request: Request) -> Response:
        try:
            chunk = member.table_chunk(*map(_whole_number, request.parameters))
        except UnknownTable as error:
            return Response(ControlProblem(str(error)), NOT_FOUND)
        except AssemblyPostponed as error:
            return Response(ControlProblem(str(error)), UNAVAILABLE)
        except UnknownBase as error:
            return Response(ControlProblem(str(error)), GONE)
        headers = [("Content-Range", chunk.content_range())]
        return Response(chunk.data, PARTIAL, headers, "application/octet-stream")

    return {
        ("GET", f"{TABLE_PATH}/{{}}/{{}}/{{}}"): table,
        ("POST", REPORT_PATH): guarded(member, report),
        ("POST", ANNOUNCE_PATH): guarded(member, announce),
        ("POST", REMOVE_PATH): guarded(member, remove),
        ("POST", BUILD_PATH): guarded(member, build),
    }


def guarded(member: DirectoryMember, handler: Handler) -> Handler:
    """Wraps a handler: redirects to the leader, or replies with a control problem.

    The redirect applies if this member doesn't lead, the problem to other errors.
    """

    def guarded_handler(request: Request) -> Response:
        try:
            return handler(request)
        except NotLeading:
            silence_ms = min(round(1000 * member.log.leader_silence_s()), MAX_NUMBER)
            redirect = Redirect(member.log.leader_address(), silence_ms)
            return Response(redirect, MISDIRECTED)
        except ControlError as error:
            return Response(ControlProblem(str(error)), UNAVAILABLE)

    return guarded_handler


def _whole_number(text: str) -> int:
    if not is_whole_number(text, MAX_NUMBER):
        raise BadMessage(f"got {text[:40]!r}, expected a whole number")
    return int(text)

"""The control member's HTTP routes."""

from collections.abc import Callable

from ..wire.codec import decode
from ..wire.control import (
    Claim,
    ControlProblem,
    Heartbeat,
    NotLeading,
    Publish,
    PublishReply,
    RecordOutcome,
    Watch,
)
from ..wire.server import Handler, Request, Response
from ..wire.status import CONFLICT, MISDIRECTED, TOO_LARGE, UNAVAILABLE
from . import errors
from .member import Member
from .publish_check import check_publish


def control_routes(
    member: Member, leader_address: Callable[[], str]
) -> dict[tuple[str, str], Handler]:
    """Returns the routes of a member.

    :param leader_address: returns the leader's address, if known.
    """

    def guarded(handler: Handler) -> Handler:
        def guarded_handler(request: Request) -> Response:
            try:
                return handler(request)
            except errors.NotLeading:
                return Response(NotLeading(leader_address()), MISDIRECTED)
            except errors.StaleHeartbeat as error:
                return Response(ControlProblem(str(error)), CONFLICT)
            except errors.TooLarge as error:
                return Response(ControlProblem(str(error)), TOO_LARGE)
            except errors.ControlError as error:
                return Response(ControlProblem(str(error)), UNAVAILABLE)

        return guarded_handler

    def posted(kind: type, answer: Callable[[object], object]) -> Handler:
        def handler(request: Request) -> Response:
            return Response(answer(decode(request.body, kind)))

        return guarded(handler)

    def publish(message: Publish) -> PublishReply:
        return member.publish(check_publish(message))

    def in_force(request: Request) -> Response:
        return Response(member.in_force())

    return {
        ("POST", "/v1/heartbeat"): posted(Heartbeat, member.heartbeat),
        ("POST", "/v1/watch"): posted(Watch, member.watch),
        ("POST", "/v1/claim"): posted(Claim, member.claim),
        ("POST", "/v1/outcome"): posted(RecordOutcome, member.record_outcome),
        ("POST", "/v1/publish"): posted(Publish, publish),
        ("GET", "/v1/in-force"): guarded(in_force),
    }

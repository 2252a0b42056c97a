"""The interface to targets: receives their announcements."""

from ..blackboard import Blackboard
from ..internal.errors import InvalidValue
from ..internal.validation import check_address, check_between, check_name
from ..observe.events import EventName, record_event
from ..wire.codec import decode
from ..wire.control import ControlProblem
from ..wire.errors import BadMessage
from ..wire.numbers import MAX_SLOTS
from ..wire.server import Request, Response
from ..wire.target import TargetStatus
from .control_link import ControlLink

MAX_CONNECTIONS = 100_000
MAX_ANNOUNCED = 2_000
HIGHEST_POSITION = 2**62


class AnnounceApi:
    """Serves ``POST /v1/announce``; the next heartbeat forwards the announcements."""

    __slots__ = ("blackboard", "link")

    def __init__(self, blackboard: Blackboard, link: ControlLink):
        self.blackboard = blackboard
        self.link = link

    def handle(self, request: Request) -> Response:
        """Records one announcement and replies to it."""
        status = decode(request.body, TargetStatus)
        try:
            check_status(status)
        except InvalidValue as error:
            raise BadMessage(str(error)) from error
        waiting = self.blackboard.announcements
        if status.target_id not in waiting and len(waiting) >= MAX_ANNOUNCED:
            return Response(ControlProblem("too many targets announced"), 503)
        self._record_announcement(status)
        return Response({})

    def _record_announcement(self, status: TargetStatus) -> None:
        board = self.blackboard
        record = board.view.targets.get(status.target_id)
        board.announcements[status.target_id] = status
        if status.leaving and (record is None or not record.leaving):
            record_event(EventName.target_leaving, target=status.target_id)
            self.link.heartbeat_due.notify()


def check_status(status: TargetStatus) -> None:
    """Checks the values that a target announces.

    :raises InvalidValue: if one is out of range.
    """
    check_name(status.target_id, "target_id")
    check_name(status.group, "group")
    check_name(status.data_centre, "data_centre")
    check_address(status.address, "address")
    check_between(status.term, 0, HIGHEST_POSITION, "term")
    check_between(status.position, 0, HIGHEST_POSITION, "position")
    check_between(status.term_start, 0, HIGHEST_POSITION, "term_start")
    check_between(status.slots, 1, MAX_SLOTS, "slots")
    check_between(status.connection_cap, 1, MAX_CONNECTIONS, "connection_cap")
    check_between(status.connections_open, 0, MAX_CONNECTIONS, "connections_open")

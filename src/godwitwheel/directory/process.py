"""Assembles and runs the directory's control process."""

import contextlib
import random
from collections.abc import Callable

from ..consensus.driver import ConsensusLog
from ..consensus.errors import MemberFailed, StorageError
from ..consensus.http_transport import consensus_routes
from ..consensus.running import running_log
from ..consensus.state import ConsensusOptions
from ..control.state import ControlState
from ..internal.clock import BootClock
from ..internal.loop import running_task, sleep
from ..internal.requests import StopRequest
from ..observe.events import EventName, record_event, record_failure
from ..observe.health import observe_routes
from ..sessions.connections.connection import Connector
from ..wire.client import Client
from ..wire.server import Handler, Server
from .build_reports import BuildReporter
from .controllers import DirectoryControllers
from .member import DirectoryMember
from .metrics import DirectoryMetrics
from .promotion import PromotionClient
from .routes import directory_routes
from .tables import TableCodec

# Interval at which a stop request and a failed disk are noticed, in seconds.
STOP_POLL_S = 0.2
# Delay before a member whose disk failed reopens its log, in seconds.
REOPEN_DELAY_S = 0.5
ELECTION_TIMEOUT_S = 0.4
APPEND_INTERVAL_S = 0.08

Routes = dict[tuple[str, str], Handler]


class DirectorySettings:
    """Settings of a directory member.

    :ivar internal_listen: address for proxies and other members.
    :ivar control_listen: address for targets and operators.
    :ivar founders: addresses of the initial members by id.
    :ivar may_bootstrap: whether the member may bootstrap the cell; true at its first
        start.
    :ivar voters: number of members that vote; the others are standbys.
    :ivar grants_leases: see :class:`DirectoryMember`.
    """

    __slots__ = (
        "member_id",
        "internal_listen",
        "control_listen",
        "data_folder",
        "founders",
        "may_bootstrap",
        "voters",
        "grants_leases",
    )

    def __init__(
        self,
        member_id: str,
        internal_listen: str,
        control_listen: str,
        data_folder: str,
        founders: dict[str, str],
        may_bootstrap: bool,
        voters: int,
        grants_leases: bool = False,
    ):
        self.member_id = member_id
        self.internal_listen = internal_listen
        self.control_listen = control_listen
        self.data_folder = data_folder
        self.founders = founders
        self.may_bootstrap = may_bootstrap
        self.voters = voters
        self.grants_leases = grants_leases


def run_directory(
    settings: DirectorySettings,
    stop: StopRequest,
    codec: TableCodec,
    connector: Connector,
    promotion_client: PromotionClient,
    control_routes: Callable[[DirectoryMember, Client], Routes],
) -> None:
    """Runs a member until the process is told to stop.

    A failed write to the disk stops the member but not the process: the log is reopened
    until that succeeds, so that a full disk needs no operator to restart the process.
    The same holds for an unexpected error, after which the member would go on without
    applying anything.

    :param control_routes: builds the routes for targets and operators.
    """
    while not stop.requested:
        try:
            _run_once(
                settings, stop, codec, connector, promotion_client, control_routes
            )
        except (StorageError, OSError) as error:
            record_event(EventName.storage_failed, error=str(error))
            sleep(REOPEN_DELAY_S)
        except MemberFailed as error:
            record_event(EventName.member_failed, error=str(error))
            sleep(REOPEN_DELAY_S)


def _run_once(
    settings: DirectorySettings,
    stop: StopRequest,
    codec: TableCodec,
    connector: Connector,
    promotion_client: PromotionClient,
    control_routes: Callable[[DirectoryMember, Client], Routes],
) -> None:
    state = ControlState(table_codec=codec)
    clock = BootClock()
    options = ConsensusOptions(
        settings.member_id,
        settings.internal_listen,
        settings.founders,
        may_bootstrap=settings.may_bootstrap,
        election_timeout_s=ELECTION_TIMEOUT_S,
        append_interval_s=APPEND_INTERVAL_S,
        voters=settings.voters,
    )
    with contextlib.ExitStack() as stack:
        log = stack.enter_context(
            running_log(options, state, settings.data_folder, clock, random.Random())
        )
        client = stack.enter_context(Client())
        member = DirectoryMember(log, state, clock, settings.grants_leases)
        controllers = DirectoryControllers(member, connector, promotion_client)
        metrics = DirectoryMetrics(settings.member_id, member)
        internal = {
            **consensus_routes(log),
            **directory_routes(member),
            **observe_routes(metrics, lambda: bool(log.leader_id())),
        }
        external = control_routes(member, client)
        for address, routes in (
            (settings.internal_listen, internal),
            (settings.control_listen, external),
        ):
            server = Server(routes, record_failure)
            stack.enter_context(server.listening(address))
        stack.enter_context(running_task(controllers.run, record_failure))
        builds = BuildReporter(member, client, settings.member_id)
        stack.enter_context(running_task(builds.run, record_failure))
        _wait(stop, log)


def _wait(stop: StopRequest, log: ConsensusLog) -> None:
    while not stop.requested:
        if log.failure is not None:
            raise log.failure
        sleep(STOP_POLL_S)
    record_event(EventName.process_stopping)

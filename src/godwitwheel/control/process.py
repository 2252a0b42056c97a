"""Assembles and runs the control process."""

import random
import secrets

from ..consensus.driver import ConsensusLog
from ..consensus.http_transport import consensus_routes
from ..consensus.running import running_log
from ..consensus.state import ConsensusOptions
from ..decisions.leadership import LeadershipOptions
from ..internal.clock import BootClock
from ..internal.loop import patch_standard_library, running_task, sleep
from ..internal.requests import StopRequest
from ..observe.events import EventName, record_event, record_failure, record_start
from ..observe.health import observe_routes
from ..observe.log import process_log
from ..targets.http_target import HttpTargetAdmin
from ..wire.client import Client
from ..wire.server import Handler, Server
from .member import Member
from .metrics import MemberMetrics
from .routes import control_routes
from .settings import ControlSettings
from .state import ControlState

TOKEN_KEY_BYTES = 32
STOP_POLL_S = 0.05
EXIT_FAILURE = 1


def run_control(settings: ControlSettings) -> int:
    """Runs a control member until SIGTERM.

    :returns: the exit status; 1 if reading or writing the data folder failed.
    """
    patch_standard_library()
    stop = StopRequest()
    stop.install()
    with process_log(
        settings.log_file, settings.member_id, "control", settings.data_centre
    ):
        record_start(address=settings.advertise)
        status = _run_member(settings, stop)
        record_event(EventName.process_stopped, status=status)
    return status


def _run_member(settings: ControlSettings, stop: StopRequest) -> int:
    state = ControlState()
    clock = BootClock()
    folder = settings.data_folder
    rng = random.Random()
    options = _consensus_options(settings)
    with Client() as client, running_log(options, state, folder, clock, rng) as log:
        member = Member(
            log,
            state,
            clock,
            HttpTargetAdmin(client),
            _leadership_options(settings),
            _make_token_key,
        )
        server = Server(_routes(settings, member, log), record_failure)
        controllers = running_task(member.run_controllers, record_failure)
        with server.listening(settings.listen), controllers:
            return _wait_for_stop(stop, log)


def _wait_for_stop(stop: StopRequest, log: ConsensusLog) -> int:
    while not stop.requested and log.failure is None:
        sleep(STOP_POLL_S)
    record_event(EventName.process_stopping, failure=str(log.failure or ""))
    return 0 if log.failure is None else EXIT_FAILURE


def _routes(
    settings: ControlSettings, member: Member, log: ConsensusLog
) -> dict[tuple[str, str], Handler]:
    metrics = MemberMetrics(settings.member_id, member)
    return {
        **consensus_routes(log),
        **control_routes(member, log.leader_address),
        **observe_routes(metrics, lambda: bool(log.leader_id())),
    }


def _consensus_options(settings: ControlSettings) -> ConsensusOptions:
    return ConsensusOptions(
        settings.member_id,
        settings.advertise,
        settings.members,
        may_bootstrap=not settings.join,
        election_timeout_s=settings.election_timeout_s,
        append_interval_s=settings.append_interval_s,
    )


def _leadership_options(settings: ControlSettings) -> LeadershipOptions:
    return LeadershipOptions(
        settings.lease_s,
        settings.clock_drift,
        settings.detection_s,
        settings.in_sync_lag_s,
    )


def _make_token_key() -> str:
    return secrets.token_hex(TOKEN_KEY_BYTES)

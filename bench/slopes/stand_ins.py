"""A control member with fakes: a log that commits at once, unreachable targets."""

from godwitwheel.consensus.driver import MAX_COMMAND_BYTES
from godwitwheel.consensus.replicated import ReplicatedLog
from godwitwheel.control.commands import Batch, ChangeGroup, PutTarget
from godwitwheel.control.member import Member
from godwitwheel.control.routes import control_routes
from godwitwheel.control.state import ControlState
from godwitwheel.decisions.leadership import LeadershipOptions
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.errors import InvalidValue
from godwitwheel.targets.base import TargetAdmin
from godwitwheel.targets.errors import NotRun
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import (
    GroupPhase,
    GroupView,
    Heartbeat,
    TargetObservation,
    TargetRecord,
)
from godwitwheel.wire.server import Server
from godwitwheel.wire.target import Role, TargetStatus

TARGETS_A_GROUP = 3
LEASE_S = 0.6


class InstantLog(ReplicatedLog):
    """The log of a cell of one member, which commits at once."""

    def __init__(self, state: ControlState):
        self.state = state
        self.index = 0

    def propose(self, command: bytes, timeout_s: float) -> bytes:
        if len(command) > MAX_COMMAND_BYTES:
            raise InvalidValue(f"command of {len(command)} bytes")
        self.index += 1
        return self.state.apply(self.index, command)

    def confirm_leadership(self, timeout_s: float) -> None:
        pass

    def leader_id(self) -> str:
        return "c1"

    def leader_silence_s(self) -> float:
        return 0.0

    def leader_since(self) -> float:
        return 0.0


class UnreachableAdmin(TargetAdmin):
    """Target admin to which every target is unreachable."""

    def status(self, address: str, timeout_s: float) -> TargetStatus:
        raise NotRun(address)

    def promote(self, address: str, term: int, timeout_s: float) -> TargetStatus:
        raise NotRun(address)

    def follow(
        self,
        address: str,
        term: int,
        primary_id: str,
        primary_address: str,
        timeout_s: float,
    ) -> TargetStatus:
        raise NotRun(address)


class Control:
    """A control leader with its real HTTP routes, a fake log and unreachable targets.

    :ivar failures: exceptions that its handlers raised.
    """

    __slots__ = ("state", "log", "clock", "member", "failures", "server")

    def __init__(self):
        self.state = ControlState()
        self.log = InstantLog(self.state)
        self.clock = ManualClock(10.0)
        options = LeadershipOptions(LEASE_S, 0.01, 0.4, 0.5)
        self.member = Member(
            self.log,
            self.state,
            self.clock,
            UnreachableAdmin(),
            options,
            lambda: "00" * 32,
        )
        self.failures: list[Exception] = []
        routes = control_routes(self.member, lambda: "127.0.0.1:7")
        self.server = Server(routes, self.failures.append)

    def commit(self, *commands: object) -> None:
        """Applies commands to the replicated state, without the log's size limit."""
        self.log.index += 1
        self.state.apply(self.log.index, encode(Batch(list(commands))))


def target_status(number: int) -> TargetStatus:
    """Returns the status of target ``number``."""
    group, index_in_group = divmod(number, TARGETS_A_GROUP)
    return TargetStatus(
        f"db-{group:04d}-{index_in_group}",
        f"db-{group:04d}",
        f"dc-{index_in_group}",
        f"10.1.{number // 250}.{number % 250}:5432",
        Role.replica if index_in_group else Role.primary,
        1,
        123_456_789,
        0,
        3,
        40,
    )


def commit_targets(control: Control, count: int) -> None:
    """Commits ``count`` targets, in groups in the serving phase."""
    groups: dict[str, list[str]] = {}
    for number in range(count):
        status = target_status(number)
        record = TargetRecord(
            status.target_id,
            status.group,
            status.data_centre,
            status.address,
            status.slots,
            status.connection_cap,
        )
        control.commit(PutTarget(record))
        groups.setdefault(status.group, []).append(status.target_id)
    for group, members in groups.items():
        view = GroupView(
            group, 1, GroupPhase.serving, members[0], 0, {}, members, members
        )
        control.commit(ChangeGroup(view, 0))


def heartbeat(number: int, targets: int, sequence: int, version: int) -> Heartbeat:
    """Returns a heartbeat of proxy ``number`` that has probed every target."""
    statuses = [target_status(item) for item in range(targets)]
    ids = [status.target_id for status in statuses]
    return Heartbeat(
        proxy_id=f"proxy-{number:04d}",
        incarnation=number,
        data_centre=f"dc-{number % 8}",
        address=f"10.0.{number // 250}.{number % 250}:7100",
        view_version=version,
        revision=0,
        observations=[TargetObservation(s.target_id, 40, s) for s in statuses],
        held=dict.fromkeys(ids, 1),
        demand=dict.fromkeys(ids, 1),
        sequence=sequence,
        quotas=dict.fromkeys(ids, 1),
    )

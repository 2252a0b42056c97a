"""A simulated service with synchronous replicas, and the platform that promotes.

A commit is acknowledged once ``SYNCHRONOUS_REPLICAS`` replicas have received it. Writes
go on all the time: also before and after each command that control sends. Whatever was
acknowledged has to be in the log of the target that is promoted.
"""

from collections.abc import Callable

from godwitwheel.directory.candidates import rule_for
from godwitwheel.directory.errors import PromotionFailed, PromotionFenced
from godwitwheel.directory.promotion import PromotionClient
from godwitwheel.directory.records import (
    Consistency,
    DirectoryView,
    Route,
    RoutingTable,
    ServicePolicy,
    TargetEntry,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.connections.connection import (
    AskStatus,
    Connector,
    DatabaseConnection,
    PauseReceiving,
    ReplicaStatus,
    ResumeReceiving,
    StepDown,
)
from godwitwheel.sessions.errors import ConnectFailed, ConnectionLost
from godwitwheel.sessions.statements import Answer, Position

SERVICE = "bookings"
SYNCHRONOUS_REPLICAS = 1


class SyncTarget:
    """One target.

    :ivar log: the term of each commit, in order of their numbers.
    :ivar paused_below: term below which it receives nothing, 0 if it isn't paused.
    :ivar is_deaf: whether it receives nothing though it is not paused.
    :ivar is_silent: whether it leaves control's commands unanswered.
    :ivar has_ended: whether its process has ended.
    """

    def __init__(self, target_id: str):
        self.target_id = target_id
        self.log: list[int] = []
        self.paused_below = 0
        self.is_deaf = False
        self.is_silent = False
        self.has_ended = False

    def received(self) -> Position:
        return Position(self.log[-1] if self.log else 1, len(self.log))


class SyncConnection(DatabaseConnection):
    """A connection of control to a target."""

    def __init__(self, group: "SyncGroup", target: SyncTarget):
        self.group = group
        self.target = target

    def exchange(self, commands, timeout_s):
        (command,) = commands
        self.group.before_command(self.target, command)
        self.group.write()
        if self.target.is_silent or self.target.has_ended:
            raise ConnectionLost("silent", [], timed_out=True)
        self.group.carry_out(self.target, command)
        self.group.write()
        return [Answer(rows=[self.target.target_id.encode()])]

    def is_usable(self):
        return True

    def reset_on_close(self):
        pass

    def close(self):
        pass


class SyncGroup(Connector, PromotionClient):
    """Targets ``t1`` (the primary) to ``t3``, their clients, and the platform.

    :ivar acknowledged: highest number of a commit that was acknowledged.
    :ivar lost: acknowledged commits that a promoted target lacked.
    :ivar orders: target and token of each order that has arrived.
    :ivar unanswered_orders: orders that are answered, and perhaps carried out, late.
    :ivar is_platform_down: whether orders arrive and are not answered.
    :ivar has_stepped_down: whether the primary was told to step down; it commits
        nothing until another target is promoted.
    :ivar before_command: called before a target gets a command.
    """

    def __init__(self, names=("t1", "t2", "t3")):
        self.clock = ManualClock(100.0)
        self.targets = {name: SyncTarget(name) for name in names}
        self.primary = self.targets["t1"]
        self.term = 1
        self.acknowledged = 0
        self.lost = 0
        self.highest_token = 0
        self.orders: list[tuple[str, int]] = []
        self.unanswered_orders: list[tuple[str, int]] = []
        self.is_platform_down = False
        self.has_stepped_down = False
        self.before_command: Callable = lambda target, command: None

    # Replication.

    def write(self) -> bool:
        """Commits a write at the primary.

        :returns: whether it was acknowledged.
        """
        if not self.is_led():
            return False
        self.primary.log.append(self.term)
        number = len(self.primary.log)
        for target in self.targets.values():
            self._receive(target)
        holders = sum(
            1
            for target in self.targets.values()
            if target is not self.primary and len(target.log) >= number
        )
        if holders < SYNCHRONOUS_REPLICAS:
            return False
        self.acknowledged = number
        return True

    def is_led(self) -> bool:
        """Whether the primary commits writes."""
        primary = self.primary
        is_running = not primary.has_ended and not primary.is_silent
        return is_running and not self.has_stepped_down

    def _receive(self, target: SyncTarget) -> None:
        receives = not target.has_ended and not target.is_deaf
        if receives and target.paused_below <= self.term:
            target.log = list(self.primary.log)

    # Control's commands.

    def connect(self, target, account, timeout_s):
        if target.target_id not in self.targets:
            raise ConnectFailed("no such target")
        return SyncConnection(self, self.targets[target.target_id])

    def carry_out(self, target: SyncTarget, command) -> None:
        match command:
            case AskStatus():
                pass
            case PauseReceiving():
                if command.term > self.term and target is not self.primary:
                    target.paused_below = command.term
            case ResumeReceiving():
                target.paused_below = 0
            case StepDown():
                if target is self.primary and command.term > self.term:
                    self.has_stepped_down = True
            case _:
                raise TypeError(command)

    def check_statement(self, statement):
        pass

    def read_status(self, answer):
        target = self.targets[answer.rows[0].decode()]
        is_primary = target is self.primary and not self.has_stepped_down
        return ReplicaStatus(is_primary, self.term, target.received())

    # The platform.

    def promote(self, service, target_id, token, timeout_s):
        self.orders.append((target_id, token))
        if self.is_platform_down:
            self.unanswered_orders.append((target_id, token))
            raise PromotionFailed("no answer")
        self.carry_out_order(target_id, token)

    def carry_out_order(self, target_id: str, token: int) -> None:
        """Promotes a target, unless a later order has been seen.

        :raises PromotionFenced: if it is refused.
        """
        target = self.targets[target_id]
        if token < self.highest_token or target.has_ended:
            raise PromotionFenced("409")
        self.highest_token = token
        # The promotion takes effect after some hundred milliseconds.
        self.write()
        if target is self.primary:
            return
        self.lost += max(self.acknowledged - len(target.log), 0)
        self.acknowledged = min(self.acknowledged, len(target.log))
        self.term += 1
        self.primary = target
        self.has_stepped_down = False
        for other in self.targets.values():
            other.paused_below = 0
            del other.log[len(target.log) :]

    # The directory.

    def view(self, leaving=(), primary_id="t1") -> DirectoryView:
        """Returns a view of the targets, of which some are leaving."""
        entries = {
            name: TargetEntry(
                name, SERVICE, f"10.0.0.{number}:1", "dc-1", 2, 0, name in leaving
            )
            for number, name in enumerate(self.targets, 1)
        }
        route = Route("primary", SERVICE, Consistency.primary, 800, 200)
        policy = ServicePolicy(SERVICE, 32, SYNCHRONOUS_REPLICAS)
        table = RoutingTable(1, {"primary": route}, {SERVICE: policy})
        view = DirectoryView(1, table, entries, {SERVICE: primary_id})
        assert rule_for(SERVICE, view).pauses_replicas
        return view

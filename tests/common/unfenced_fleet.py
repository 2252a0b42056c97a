"""Control, proxies and targets on a platform that stops no former primary.

The decisions are those of the product: reports, leases, samplers, controllers and the
directory. Targets and platform are simulated: an order is answered at once, and takes
effect later or never. The fleet records what must not happen as it happens.
"""

import enum
import random

from greenlet import GreenletExit

from godwitwheel.control.errors import ControlError
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import FencePrimary, PutEntry, SetPrimary
from godwitwheel.directory.controllers import DirectoryControllers
from godwitwheel.directory.errors import PromotionFailed, PromotionFenced
from godwitwheel.directory.promotion import PromotionClient
from godwitwheel.directory.records import (
    Consistency,
    Route,
    RoutingTable,
    ServicePolicy,
    TargetEntry,
)
from godwitwheel.internal.clock import ManualClock
from godwitwheel.internal.loop import sleep
from godwitwheel.internal.sentinel import Refusal
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.connections.connection import (
    AskStatus,
    Begin,
    Connector,
    DatabaseConnection,
    ReplicaStatus,
)
from godwitwheel.sessions.context import SessionContext
from godwitwheel.sessions.errors import ConnectFailed, ConnectionLost
from godwitwheel.sessions.events import StatementLog
from godwitwheel.sessions.metrics import SessionMetrics
from godwitwheel.sessions.queueing.choosing import choose_primary
from godwitwheel.sessions.reporting.authority import LeasedAuthority
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import Reporter
from godwitwheel.sessions.reporting.sampler import Sampler
from godwitwheel.sessions.statements import Answer, ErrorCode, Position
from tests.common.sync_fleet import LeaderPort, SharedMember

SERVICE = "bookings"
CONTROL = "control"
STEP_S = 0.05
# Switches to other tasks after which all of them wait for time to pass.
SWITCHES_PER_STEP = 40
STEPS_PER_REPORT = 2
STEPS_PER_ANNOUNCEMENT = 24
PROMOTION_S = 1.0
# How long a former primary goes on once it can reach the new one, in seconds.
STEP_DOWN_S = 1.0
# A fence that is committed this long after a primary was last faulty is not for that
# fault, in seconds.
FAULT_MEMORY_S = 1.5


class Failure(enum.Enum):
    """What must not happen."""

    acknowledged_in_an_ended_term = "acknowledged in an ended term"
    commits_came_back = "commits came back"
    read_missed_commits = "a read missed commits"
    replaced_without_a_fault = "replaced without a fault"


class Commit:
    """A write that a target has committed.

    :ivar newest_term: newest term of the service at that moment.
    """

    def __init__(self, term, newest_term):
        self.term = term
        self.newest_term = newest_term


class Write:
    """A write that a proxy has sent to a target."""

    def __init__(self, target, sent_at, held):
        self.target = target
        self.sent_at = sent_at
        self.held = held
        self.commit = None


class Target:
    """A target, with a log and a term of its own.

    :ivar leads: whether it accepts writes, perhaps in a term that has ended.
    :ivar cut_from: names of those that can't reach it.
    :ivar is_deaf: whether it receives no commits.
    :ivar steps_down_at: when it hears of a newer primary, ``None`` if it doesn't.
    """

    def __init__(self, target_id):
        self.target_id = target_id
        self.term = 1
        self.leads = False
        self.log = []
        self.is_dark = False
        self.is_deaf = False
        self.cut_from = set()
        self.steps_down_at = None

    def position(self):
        return Position(self.log[-1].term if self.log else 1, len(self.log))

    def is_reached_by(self, name):
        return not self.is_dark and name not in self.cut_from


class Link(Connector, DatabaseConnection):
    """The targets as one process reaches them; also a connection to one of them."""

    def __init__(self, fleet, name, target=None):
        self.fleet = fleet
        self.name = name
        self.target = target

    def connect(self, target, account, timeout_s):
        found = self.fleet.targets[target.target_id]
        if not found.is_reached_by(self.name):
            raise ConnectFailed("no answer")
        return Link(self.fleet, self.name, found)

    def exchange(self, commands, timeout_s):
        if not self.target.is_reached_by(self.name):
            raise ConnectionLost("silent", [], timed_out=True)
        return [self._answer(command) for command in commands]

    def _answer(self, command):
        answer = Answer()
        if isinstance(command, AskStatus):
            answer.rows = [self.target]
        elif isinstance(command, Begin) and not self.target.leads:
            answer.error = ErrorCode.read_only
        answer.position = self.target.position()
        return answer

    def read_status(self, answer):
        (target,) = answer.rows
        return ReplicaStatus(target.leads, target.term, target.position())

    def check_statement(self, statement):
        pass

    def is_usable(self):
        return self.target.is_reached_by(self.name)

    def reset_on_close(self):
        pass

    def close(self):
        pass


class ControlLink(Link, PromotionClient):
    """The targets and the platform as control reaches them."""

    def promote(self, service, target_id, token, timeout_s):
        self.fleet.receive_order(target_id)


class Proxy:
    """A proxy that writes to the primary, and reads there, all the time."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.reaches_control = True
        self.board = SessionBoard(fleet.clock, Link(fleet, name), "dc-1", name)
        self.board.authority = LeasedAuthority()
        log = StatementLog(0, 0)
        self.context = SessionContext(self.board, log, SessionMetrics(name))
        self.sampler = Sampler(self.context)
        members = ControlMembers([], random.Random(0))
        self.reporter = Reporter(self.board, members, None, name)
        self.writes = []
        self.board.apply_view(fleet.state.directory.view)

    def step(self):
        self.sampler.sample(SERVICE)
        for write in [each for each in self.writes if each.commit is not None]:
            self._end(write)
        for write in self.writes:
            self._commit(write)
        target = self._primary()
        if target is not None and target.leads:
            self.fleet.check_read(target)
            self._send(target)

    def _primary(self):
        """Returns the target that this proxy relies on, if it reaches that."""
        found = choose_primary(self.board, SERVICE, self.fleet.clock.now())
        if isinstance(found, Refusal):
            return None
        target = self.fleet.targets[found.target_id]
        return target if target.is_reached_by(self.name) else None

    def _send(self, target):
        held = self.board.authority.in_flight(SERVICE)
        held.__enter__()
        self.writes.append(Write(target, self.fleet.clock.now(), held))

    def _commit(self, write):
        if write.target.is_reached_by(self.name) and write.target.leads:
            write.commit = Commit(write.target.term, self.fleet.newest_term)
            write.target.log.append(write.commit)
        else:
            write.held.__exit__(None, None, None)
            self.writes = [each for each in self.writes if each is not write]

    def _end(self, write):
        now = self.fleet.clock.now()
        target_id = write.target.target_id
        authority = self.board.authority
        is_covered = authority.covers(SERVICE, target_id, write.sent_at, now)
        write.held.__exit__(None, None, None)
        self.writes.remove(write)
        if is_covered and write.target.is_reached_by(self.name):
            self.fleet.acknowledge(write)

    def report(self):
        if not self.reaches_control or self.fleet.member.is_stopped:
            return
        sent_at = self.fleet.clock.now()
        report = self.reporter.build()
        reply = answer_of(lambda: self.fleet.member.report(report))
        if reply is None:
            return
        self.reporter._apply_reply("10.0.0.1:7440", reply, sent_at)


def answer_of(call):
    """Returns what a leader answers; ``None`` if it does not lead, or is killed."""
    try:
        return call()
    except (ControlError, GreenletExit):
        return None


class WatchedMember(SharedMember):
    """A leader whose first fence of a replacement is checked."""

    __slots__ = ()

    def commit_entry(self, command):
        if isinstance(command, FencePrimary) and not command.candidate:
            self.fleet.check_fence()
        return super().commit_entry(command)


class UnfencedFleet:
    """Three targets, three proxies, the platform and one leader after the other.

    :ivar newest_term: term of the last promotion that has taken effect.
    :ivar rolled_back: acknowledged commits that a promoted target lacked.
    :ivar orders: those that are still to be carried out, as ``(when, target)``.
    :ivar lost_answers: number of the next orders whose answers are lost.
    :ivar dropped_orders: number of the next orders that take no effect.
    :ivar faults: faults that end by themselves, as ``(when, action)``.
    :ivar faulty_until: until when a primary may be fenced for a fault of it.
    :ivar failures: what must not have happened, when it first did, and where.
    """

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.group = self
        self.steps = 0
        self.index = 10
        self.targets = {name: Target(name) for name in ("t1", "t2", "t3")}
        self.leader = self.targets["t1"]
        self.leader.leads = True
        self.newest_term = 1
        self.acknowledged = []
        self.rolled_back = set()
        self.orders = []
        self.lost_answers = 0
        self.dropped_orders = 0
        self.faults = []
        self.faulty_until = 0.0
        self.failures = {}
        self.state = ControlState()
        self._publish()
        self.members = []
        self.proxies = [Proxy(self, f"p{number}") for number in range(3)]
        self.elect()
        self.run(2.0)

    def _publish(self):
        directory = self.state.directory
        route = Route("primary", SERVICE, Consistency.primary, 800, 200)
        policy = ServicePolicy(SERVICE, 32)
        table = RoutingTable(1, {"primary": route}, {SERVICE: policy})
        directory.view = type(directory.view)(1, table)
        for entry in self._entries():
            self.index += 1
            directory.put_entry(self.index, PutEntry(entry))
        directory.set_primary(self.index, SetPrimary(SERVICE, "t1"))

    def _entries(self):
        return [
            TargetEntry(name, SERVICE, f"10.0.0.{number}:1", "dc-1", 2, 0)
            for number, name in enumerate(self.targets, 1)
        ]

    def elect(self):
        """Lets another member lead from now on."""
        for member in self.members:
            member.log.is_leader = False
        self.member = WatchedMember(self, len(self.members) + 2)
        self.member.grants_leases = True
        self.members.append(self.member)
        port = LeaderPort(self.member, ControlLink(self, CONTROL))
        self.controllers = DirectoryControllers(self.member, port, port)

    def wait(self, seconds):
        """Stands in for the sleep of the leader's tasks, of one step at least."""
        until = self.clock.now() + max(seconds, STEP_S)
        while self.clock.now() < until - STEP_S / 2:
            sleep()

    # Time.

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def _step(self):
        self.steps += 1
        self.clock.advance(STEP_S)
        now = self.clock.now()
        for due_at, action in [each for each in self.faults if each[0] <= now]:
            self.faults.remove((due_at, action))
            action()
        self._carry_out(now)
        self._replicate(now)
        if self._is_leader_faulty():
            self.faulty_until = now + FAULT_MEMORY_S
        for proxy in self.proxies:
            proxy.step()
            if self.steps % STEPS_PER_REPORT == 0:
                proxy.report()
        if not self.member.is_stopped:
            self._lead(now)
        for _ in range(SWITCHES_PER_STEP):
            sleep()

    def _lead(self, now):
        if self.steps % STEPS_PER_ANNOUNCEMENT == 0:
            for entry in self._entries():
                target = self.targets[entry.target_id]
                if target.is_reached_by(CONTROL):
                    answer_of(lambda e=entry: self.member.announce(e, self.steps))
        self.controllers._decide(self.member.current_leadership(), now)

    def _replicate(self, now):
        if self.leader.is_dark:
            return
        for target in self.targets.values():
            is_cut = "replicas" in target.cut_from | self.leader.cut_from
            if target is self.leader or target.is_dark or is_cut:
                continue
            if target.leads:
                target.steps_down_at = target.steps_down_at or now + STEP_DOWN_S
                target.leads = now < target.steps_down_at
            else:
                target.term = self.newest_term
                if not target.is_deaf:
                    target.log = list(self.leader.log)

    # The platform.

    def receive_order(self, target_id):
        target = self.targets[target_id]
        if target.is_dark:
            raise PromotionFenced("409")
        if self.dropped_orders:
            self.dropped_orders -= 1
        elif target is not self.leader:
            self.orders.append((self.clock.now() + PROMOTION_S, target))
        if self.lost_answers:
            self.lost_answers -= 1
            raise PromotionFailed("no answer")

    def _carry_out(self, now):
        for due_at, target in [each for each in self.orders if each[0] <= now]:
            self.orders.remove((due_at, target))
            if not target.is_dark and target is not self.leader:
                self._take_over(target)

    def _take_over(self, target):
        self.newest_term += 1
        self.leader = target
        target.term = self.newest_term
        target.leads = True
        target.steps_down_at = None
        held = set(target.log)
        returned = self.rolled_back & held
        if returned:
            self.fail(
                Failure.commits_came_back, f"{len(returned)} with {target.target_id}"
            )
        missing = [each for each in self.acknowledged if each not in held]
        self.rolled_back.update(missing)

    # Faults.

    def go_dark(self, target_id, seconds):
        target = self.targets[target_id]
        if target.is_dark:
            return
        target.is_dark = True
        self._end_after(seconds, lambda: self._come_back(target))

    def _come_back(self, target):
        """Its process starts again, as a replica if another one leads."""
        target.is_dark = False
        target.leads = target.leads and target.term == self.newest_term

    def restart(self, target_id, seconds):
        """Restarts a target that still leads its term afterwards."""
        target = self.targets[target_id]
        target.is_dark = True
        self._end_after(seconds, lambda: setattr(target, "is_dark", False))

    def cut(self, target_id, proxies, seconds):
        """Cuts a target off from control, the other targets and some proxies."""
        target = self.targets[target_id]
        if target.cut_from:
            return
        target.cut_from = {CONTROL, "replicas", *(f"p{number}" for number in proxies)}
        self._end_after(seconds, target.cut_from.clear)

    def cut_from_control(self, proxies, seconds):
        for number in proxies:
            proxy = self.proxies[number]
            if proxy.reaches_control:
                proxy.reaches_control = False
                self._end_after(seconds, lambda p=proxy: self._reconnect(p))

    def _reconnect(self, proxy):
        proxy.reaches_control = True

    def deafen(self, target_id, seconds):
        target = self.targets[target_id]
        if not target.is_deaf:
            target.is_deaf = True
            self._end_after(seconds, lambda: setattr(target, "is_deaf", False))

    def end_leader_after(self, actions):
        """Ends the leader of control, and elects the next one two seconds later."""
        if self.member.actions_left is None:
            self.member.stop_after(actions, dies=True)
            self._end_after(2.0, self.elect)

    def heal(self):
        """Ends all faults."""
        self.lost_answers = self.dropped_orders = 0
        faults, self.faults = self.faults, []
        for _, action in faults:
            action()

    def _end_after(self, seconds, action):
        self.faults.append((self.clock.now() + seconds, action))

    # What must not happen.

    def fail(self, failure, detail):
        self.failures.setdefault(failure, f"at {self.clock.now():.2f}: {detail}")

    def acknowledge(self, write):
        commit = write.commit
        if commit.term < commit.newest_term:
            self.fail(
                Failure.acknowledged_in_an_ended_term,
                f"{write.target.target_id} in {commit.term}, not {commit.newest_term}",
            )
        self.acknowledged.append(commit)

    def check_read(self, target):
        """A read at the primary misses no commit that was acknowledged before."""
        held = set(target.log)
        missing = [
            each
            for each in self.acknowledged
            if each not in held and each not in self.rolled_back
        ]
        if missing:
            self.fail(
                Failure.read_missed_commits, f"{len(missing)} at {target.target_id}"
            )

    def check_fence(self):
        """No primary is replaced that has had no fault."""
        if self.clock.now() > self.faulty_until:
            self.fail(Failure.replaced_without_a_fault, self.leader.target_id)

    def _is_leader_faulty(self):
        """Whether the primary has a fault, or isn't the one that control has named."""
        view = self.state.directory.view
        is_named = view.primaries.get(SERVICE) == self.leader.target_id
        is_reached = not self.leader.is_dark and not self.leader.cut_from
        return not is_named or not is_reached or SERVICE in view.fences

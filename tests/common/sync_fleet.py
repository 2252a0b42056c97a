"""Leaders of control that follow one another, over a synchronous group.

A leader can be killed or paused before each of its actions. A paused one goes on where
it stopped, also after another has been elected.
"""

import contextlib

from greenlet import GreenletExit

from godwitwheel.control.errors import NotLeading
from godwitwheel.control.state import ControlState
from godwitwheel.directory.commands import (
    DropEntry,
    FencePrimary,
    ForgetLost,
    PauseReplicas,
    PutEntry,
    RecordTerm,
    ResumeReplicas,
    SetPrimary,
)
from godwitwheel.directory.controllers import DirectoryControllers
from godwitwheel.directory.errors import PromotionFenced
from godwitwheel.directory.member import DirectoryMember
from godwitwheel.directory.promotion import PromotionClient
from godwitwheel.directory.records import PrimaryReport, ProxyReport
from godwitwheel.internal.loop import Event, sleep
from godwitwheel.sessions.connections.connection import Connector
from tests.common.control import OneMemberLog
from tests.common.sync_group import SERVICE, SyncGroup

STEP_S = 0.05
# Switches to other tasks after which all of them wait for time to pass.
SWITCHES_PER_STEP = 40
PROXIES = ("p1", "p2", "p3")


class SharedMember(DirectoryMember):
    """A leader that commits to the state that all leaders share.

    :ivar actions_left: actions before it stops, ``None`` if it doesn't.
    :ivar dies: whether it is killed when it stops, or paused.
    :ivar is_stopped: whether it has been killed or is paused.
    :ivar resumed: sent when a paused leader goes on.
    """

    __slots__ = ("fleet", "actions_left", "dies", "is_stopped", "resumed")

    def __init__(self, fleet: "SyncFleet", term: int):
        log = OneMemberLog()
        super().__init__(log, fleet.state, fleet.group.clock)
        self.fleet = fleet
        self.actions_left: int | None = None
        self.dies = False
        self.is_stopped = False
        self.resumed = Event()
        since = fleet.group.clock.now()
        log.leader_since = lambda: since if log.is_leader else None
        log.term = lambda: term

    def stop_after(self, actions: int, dies: bool) -> None:
        self.actions_left = actions
        self.dies = dies

    def go_on(self) -> None:
        if self.is_stopped and not self.dies:
            self.actions_left = None
            self.is_stopped = False
            self.resumed.send()
            self.resumed = Event()

    def act(self) -> None:
        """Called before each action of the leader."""
        if self.is_stopped and self.dies:
            raise GreenletExit
        if self.actions_left is not None:
            self.actions_left -= 1
            self.is_stopped = self.is_stopped or self.actions_left < 0
        if self.is_stopped and self.dies:
            raise GreenletExit
        if self.is_stopped:
            self.resumed.wait()

    def confirm(self, is_urgent=False):
        is_confirmed = self.log.is_leader
        # The confirmation may be the first thing that it finds after a pause.
        self.act()
        if not is_confirmed:
            raise NotLeading("deposed")

    def commit_entry(self, command):
        self.act()
        if not self.log.is_leader:
            raise NotLeading("deposed")
        directory = self.state.directory
        apply = {
            PutEntry: directory.put_entry,
            SetPrimary: directory.set_primary,
            RecordTerm: directory.record_term,
            FencePrimary: directory.fence_primary,
            PauseReplicas: directory.pause_replicas,
            ResumeReplicas: directory.resume_replicas,
            DropEntry: directory.drop_entry,
            ForgetLost: directory.forget_lost,
        }[type(command)]
        self.fleet.index += 1
        return apply(self.fleet.index, command).applied


class LeaderPort(Connector, PromotionClient):
    """Targets and platform as one leader reaches them."""

    def __init__(self, member: SharedMember, group: SyncGroup):
        self.member = member
        self.group = group

    def connect(self, target, account, timeout_s):
        self.member.act()
        return self.group.connect(target, account, timeout_s)

    def check_statement(self, statement):
        pass

    def read_status(self, answer):
        return self.group.read_status(answer)

    def promote(self, service, target_id, token, timeout_s):
        self.member.act()
        self.group.promote(service, target_id, token, timeout_s)
        self.member.act()


class SyncFleet:
    """A synchronous group, three proxies that report, and the leaders so far.

    :ivar index: index of the last committed command.
    """

    def __init__(self, names=("t1", "t2", "t3")):
        self.group = SyncGroup(names)
        self.state = ControlState()
        self.state.directory.view = self.group.view()
        self.index = 10
        self.members: list[SharedMember] = []
        self.elect()
        self.run(1.0)

    def elect(self) -> None:
        """Lets another member lead from now on."""
        for member in self.members:
            member.log.is_leader = False
        self.member = SharedMember(self, len(self.members) + 2)
        self.members.append(self.member)
        port = LeaderPort(self.member, self.group)
        self.controllers = DirectoryControllers(self.member, port, port)

    def run(self, seconds: float) -> None:
        """Lets proxies write and report, and the leader decide."""
        for _ in range(round(seconds / STEP_S)):
            self.group.clock.advance(STEP_S)
            self.group.write()
            if not self.member.is_stopped:
                self._decide(self.group.clock.now())
            for _ in range(SWITCHES_PER_STEP):
                sleep()

    def _decide(self, now: float) -> None:
        leadership = self.member.current_leadership()
        primary = self.group.primary
        is_confirmed = self.group.is_led()
        named = self.state.directory.view.primaries[SERVICE]
        if is_confirmed:
            named = primary.target_id
        age_ms = 50 if is_confirmed else 5000
        reports = [PrimaryReport(SERVICE, named, is_confirmed, age_ms)]
        for proxy_id in PROXIES:
            report = ProxyReport(proxy_id, "dc-1", 0, reports)
            leadership.receive_report(report, now)
        self.controllers._decide(leadership, now)

    def carry_out_late_order(self, number: int) -> None:
        """Lets the platform carry out an order that it has not answered."""
        orders = self.group.unanswered_orders
        if orders:
            target_id, token = orders.pop(number % len(orders))
            with contextlib.suppress(PromotionFenced):
                self.group.carry_out_order(target_id, token)

    def heal(self) -> None:
        """Ends all faults; a member leads that runs."""
        for target in self.group.targets.values():
            target.is_silent = False
            target.is_deaf = False
        self.group.is_platform_down = False
        for member in self.members:
            member.go_on()
        if self.member.is_stopped:
            self.elect()
        self.member.actions_left = None

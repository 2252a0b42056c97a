"""A simulated group of targets and proxies that runs the real control decisions.

Time is a number, messages are calls that can be delayed, and each process is on one
side of a network partition. The control leader is on side 0.
"""

import functools
import random

from godwitwheel.control.commands import Batch
from godwitwheel.control.state import ControlState
from godwitwheel.decisions.actions import (
    Action,
    OrderFollow,
    OrderPromotion,
    Propose,
    QueryStatus,
)
from godwitwheel.decisions.leadership import Leadership, LeadershipOptions
from godwitwheel.wire.codec import encode
from godwitwheel.wire.control import (
    ClusterView,
    GroupPhase,
    Heartbeat,
    HeartbeatReply,
    TargetObservation,
)
from godwitwheel.wire.target import Role, TargetStatus

GROUP = "g"
# Leases last much longer than failure detection, so that a promotion that does not wait
# for them is caught.
OPTIONS = LeadershipOptions(1.2, 0.01, 0.3, 0.4)
HEARTBEAT_INTERVAL_S = 0.15
HEARTBEAT_TIMEOUT_S = 0.25
STEP_S = 0.02
WRITE_CHANCE = 0.15
CHECKED_WRITES = 6


class FakeTarget:
    """A target whose log is a list of ``(term, write)``.

    :ivar side: side of the network partition.
    """

    def __init__(self, target_id: str, role: Role):
        self.target_id = target_id
        self.side = 0
        self.alive = True
        self.leaving = False
        self.role = role
        self.term = 0
        self.term_start = 0
        self.log: list[tuple[int, int]] = []
        self.source: FakeTarget | None = None

    def status(self) -> TargetStatus:
        return TargetStatus(
            self.target_id, GROUP, "dc", f"{self.target_id}:1", self.role, self.term,
            len(self.log), self.term_start, 2, 15, leaving=self.leaving,
        )  # fmt: skip

    def promote(self, term: int) -> None:
        if term > self.term:
            self.role = Role.primary
            self.term = term
            self.term_start = len(self.log)
            self.source = None

    def follow(self, term: int, primary: "FakeTarget") -> None:
        is_primary = primary.role is Role.primary and primary.term == term
        if term < self.term or not is_primary or self is primary or not primary.alive:
            return
        common = 0
        for own, theirs in zip(self.log, primary.log, strict=False):
            if own != theirs:
                break
            common += 1
        del self.log[common:]
        self.role = Role.replica
        self.term = term
        self.term_start = primary.term_start
        self.source = primary

    def pull(self, count: int) -> None:
        source = self.source
        if source is None or not self.alive or not source.alive:
            return
        if source.side != self.side or source.term != self.term:
            return
        self.log += source.log[len(self.log) : len(self.log) + count]

    def wipe(self) -> None:
        self.__init__(self.target_id, Role.replica)


class FakeWrite:
    """A write that a proxy has sent to the primary and not acknowledged yet."""

    def __init__(self, number: int, term: int, position: int):
        self.number = number
        self.term = term
        self.position = position


class FakeProxy:
    """A proxy that follows the rules of leases and views.

    :ivar rate: rate of its clock relative to the leader's.
    :ivar side: side of the network partition.
    :ivar deaf: whether replies to it are dropped.
    :ivar in_flight: a heartbeat reply that it has not received yet.
    :ivar seen: when each target last answered a probe, and its status.
    """

    def __init__(self, proxy_id: str, rate: float):
        self.proxy_id = proxy_id
        self.rate = rate
        self.side = 0
        self.deaf = False
        self.sequence = 0
        self.next_heartbeat_at = 0.0
        self.sent_at = 0.0
        self.in_flight: HeartbeatReply | None = None
        self.lease_until = 0.0
        self.view = ClusterView()
        self.seen: dict[str, tuple[float, TargetStatus]] = {}
        self.writes: list[FakeWrite] = []

    def group(self):
        return self.view.groups.get(GROUP)

    def may_serve(self, now: float) -> bool:
        group = self.group()
        serving = group is not None and group.phase is GroupPhase.serving
        return serving and now * self.rate < self.lease_until

    def heartbeat(self, now: float, announced: list[TargetStatus]) -> Heartbeat:
        self.sequence += 1
        self.sent_at = now * self.rate
        self.in_flight = None
        observations = [
            TargetObservation(name, round((now - at) * 1000), status)
            for name, (at, status) in self.seen.items()
        ]
        return Heartbeat(
            self.proxy_id, 1, "dc", "p:1", self.view.version, 0,
            announcements=announced, observations=observations,
            sequence=self.sequence,
        )  # fmt: skip

    def receive_reply(self, cell: "FakeCell") -> None:
        now = cell.now
        reply, self.in_flight = self.in_flight, None
        if (
            reply is None
            or self.deaf
            or now * self.rate > self.sent_at + HEARTBEAT_TIMEOUT_S
        ):
            return
        lease_s = reply.lease_ms / 1000.0 * (1.0 - OPTIONS.clock_drift)
        self.lease_until = max(self.lease_until, self.sent_at + lease_s)
        if reply.view is not None and reply.view.version > self.view.version:
            self.view = reply.view


class FakeCell:
    """The leader, its log, three targets and three proxies.

    :ivar acknowledged: the writes that a proxy has acknowledged.
    :ivar wiped: targets that have ever lost their log.
    :ivar pending: actions not carried out yet, each with the leadership that began it.
    """

    def __init__(self, options: LeadershipOptions = OPTIONS):
        self.options = options
        self.now = 100.0
        self.index = 0
        self.state = ControlState()
        roles = [Role.primary, Role.replica, Role.replica]
        self.targets = {
            f"t{i}": FakeTarget(f"t{i}", role) for i, role in enumerate(roles)
        }
        self.proxies = [
            FakeProxy(f"p{i}", rate) for i, rate in enumerate((0.996, 1, 1.004))
        ]
        self.acknowledged: list[FakeWrite] = []
        self.wiped: set[str] = set()
        self.written = 0
        self.pending: list[tuple[Leadership, object]] = []
        self.elect(reload=False)

    def elect(self, reload: bool) -> None:
        if reload:
            snapshot = self.state.take_snapshot()
            self.state = ControlState()
            self.state.load_snapshot(snapshot)
        self.leadership = Leadership(
            self.now, self.options, "ab", self.state.cluster.view
        )

    def view(self):
        return self.state.cluster.view.groups.get(GROUP)

    # Single steps of one process.

    def decide(self) -> None:
        for action in self.leadership.decide(self.state.cluster, self.now):
            self.pending.append((self.leadership, action))

    def deliver(self, item: tuple[Leadership, Action]) -> None:
        self.pending.remove(item)
        leadership, action = item
        if isinstance(action, Propose):
            self._commit(leadership, action)
        elif isinstance(action, QueryStatus | OrderPromotion | OrderFollow):
            self._send_to_target(leadership, action)

    def _commit(self, leadership: Leadership, action: Propose) -> None:
        leadership.finish_proposal(action)
        if leadership is not self.leadership:
            return
        before = self.view()
        self.index += 1
        self.state.apply(self.index, encode(Batch([action.command])))
        after = self.view()
        served = after is not None and after.phase is GroupPhase.serving
        if served and before.phase is GroupPhase.fenced:
            self._check_holds(after.primary)

    def _send_to_target(self, leadership: Leadership, action) -> None:
        target = self.targets[action.target_id]
        if not target.alive or target.side:
            return
        if isinstance(action, OrderPromotion):
            target.promote(action.term)
        elif isinstance(action, OrderFollow):
            target.follow(action.term, self.targets[action.primary_id])
        view = self.state.cluster.view
        leadership.record_reply(action, target.status(), view)

    def probe(self, proxy: FakeProxy) -> None:
        for name, target in self.targets.items():
            if target.alive and target.side == proxy.side:
                proxy.seen[name] = (self.now, target.status())

    def send_heartbeat(self, proxy: FakeProxy) -> None:
        proxy.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_S
        announced = [
            target.status()
            for target in self.targets.values()
            if target.alive and target.side == proxy.side
        ]
        heartbeat = proxy.heartbeat(self.now, announced)
        view = self.state.cluster.view
        if proxy.side or not self.leadership.receive(heartbeat, view, self.now):
            return
        self.leadership.grant(heartbeat, self.now, view, self.now)
        newer = view if view.version > heartbeat.view_version else None
        lease_ms = round(OPTIONS.lease_s * 1000)
        proxy.in_flight = HeartbeatReply(lease_ms, view.version, 0, newer)

    def write(self, proxy: FakeProxy) -> None:
        if not proxy.may_serve(self.now):
            return
        target = self.targets[proxy.group().primary]
        if not target.alive or target.side != proxy.side:
            return
        if target.role is Role.primary and target.term == proxy.group().term:
            self.written += 1
            target.log.append((target.term, self.written))
            write = FakeWrite(self.written, target.term, len(target.log))
            proxy.writes.append(write)

    def acknowledge(self, proxy: FakeProxy) -> None:
        waiting = []
        for write in proxy.writes:
            if self._is_durable(proxy, write) and proxy.may_serve(self.now):
                self.acknowledged.append(write)
            elif write.term == proxy.group().term:
                waiting.append(write)
        proxy.writes = waiting

    def _is_durable(self, proxy: FakeProxy, write: FakeWrite) -> bool:
        group = proxy.group()
        if write.term != group.term:
            return False
        for name in group.ack_set:
            _, status = proxy.seen.get(name, (0.0, None))
            if status is None or status.term != write.term:
                return False
            if status.position < write.position:
                return False
        return True

    # All processes, for a period of time.

    def run(self, seconds: float, rng: random.Random, haste: float = 0.7) -> None:
        """Runs the steps of all processes in a random order.

        :param haste: probability of each possible step in every ``STEP_S``.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for step in self._possible_steps(rng):
                if rng.random() < haste:
                    step()
            self.check()

    def _possible_steps(self, rng: random.Random) -> list:
        steps = [self.decide]
        for target in self.targets.values():
            steps.append(functools.partial(target.pull, rng.randint(1, 5)))
        for proxy in self.proxies:
            actions = [self.probe, self.acknowledge]
            if rng.random() < WRITE_CHANCE:
                actions.append(self.write)
            if self.now >= proxy.next_heartbeat_at:
                actions.append(self.send_heartbeat)
            steps += [functools.partial(action, proxy) for action in actions]
            steps.append(functools.partial(proxy.receive_reply, self))
        steps += [functools.partial(self.deliver, item) for item in self.pending]
        rng.shuffle(steps)
        return steps

    # Invariants.

    def check(self) -> None:
        """Checks the invariants that hold at any time."""
        serving = {
            (proxy.group().term, proxy.group().primary)
            for proxy in self.proxies
            if proxy.may_serve(self.now)
        }
        assert len(serving) <= 1, f"two primaries under valid leases: {serving}"
        view = self.view()
        if view is None or view.phase is not GroupPhase.serving:
            return
        older = {term for term, _ in serving if term < view.term}
        assert not older, f"term {view.term} serves while {older} may acknowledge"
        for proxy in self.proxies:
            if proxy.may_serve(self.now):
                for name in proxy.group().promotable:
                    if name not in self.wiped:
                        self._check_holds(name)

    def _check_holds(self, name: str) -> None:
        # A log that contains an entry contains all that preceded it at its primary, so
        # checking the latest acknowledged writes is enough.
        log = self.targets[name].log
        for write in self.acknowledged[-CHECKED_WRITES:]:
            entry = (write.term, write.number)
            held = len(log) >= write.position and log[write.position - 1] == entry
            assert held, f"{name} lacks the acknowledged write {entry}"

"""Reads and writes of several proxies on one group, checked against a model."""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from godwitwheel.blackboard import Blackboard, ProxyIdentity
from godwitwheel.decisions.acknowledgement import (
    AckDecision,
    AnsweredWrite,
    check_acknowledgement,
)
from godwitwheel.decisions.routing import (
    eligible_for_read,
    read_requirements,
    reply_includes_floor,
    route_write,
)
from godwitwheel.decisions.sessions import (
    LogPosition,
    Session,
    decode_token,
    encode_token,
    record_write,
)
from godwitwheel.decisions.staleness import add_new_terms
from godwitwheel.decisions.versions import install_newer
from godwitwheel.internal.clock import ManualClock
from godwitwheel.proxy.context import ProxyContext
from godwitwheel.proxy.control_link import CLOCK_DRIFT
from godwitwheel.proxy.positions import PositionTracker
from godwitwheel.wire.control import ClusterView, GroupPhase
from godwitwheel.wire.target import Role, TargetStatus
from tests.common.group_model import GROUP, LEASE_S, TOKEN_KEY, ModelControl

TARGETS = ["t0", "t1", "t2", "t3"]
PROXIES = ["p0", "p1", "p2"]
BOUNDS_MS = [0, 200, 1000]
PAUSES = [1, 5, 20, 60]
STEPS_AT_ONCE = 400
proxies = st.sampled_from(PROXIES)
targets = st.sampled_from(TARGETS)
some_proxies = st.lists(proxies, unique=True)
some_targets = st.lists(targets, unique=True).map(lambda names: names or TARGETS)
callers = st.integers(0, 2)


class ModelProxy:
    """A proxy's blackboard, and the replies that it has not received yet."""

    def __init__(self, proxy_id: str, clock: ManualClock):
        self.board = Blackboard(ProxyIdentity(proxy_id, 1, "dc", "127.0.0.1:2"))
        context = ProxyContext(self.board, clock, None, None, random.Random(1))
        self.positions = PositionTracker(context, None)
        self.replies: list[tuple[float, ClusterView]] = []
        self.probes: list[tuple[float, TargetStatus]] = []
        self.leased_at = -math.inf

    def take_view(self, count: int) -> None:
        """Processes up to ``count`` replies, the newest first."""
        for _ in range(min(count, len(self.replies))):
            sent_at, view = self.replies.pop()
            expires_at = sent_at + LEASE_S * (1 - CLOCK_DRIFT)
            lease = self.board.lease
            lease.expires_at = max(lease.expires_at, expires_at)
            before = self.board.view
            if install_newer(self.board, view, None):
                add_new_terms(self.board, before, self.leased_at)
            self.leased_at = sent_at

    def take_probes(self) -> None:
        for sent_at, status in self.probes:
            self.positions.record_status(status, sent_at)
        self.probes.clear()


class PendingWrite:
    """A write that was sent to a primary and neither acknowledged nor refused yet.

    :ivar write: ``None`` until it has reached the primary.
    """

    def __init__(self, proxy_id: str, caller: int, primary_id: str, term: int):
        self.proxy_id = proxy_id
        self.caller = caller
        self.primary_id = primary_id
        self.term = term
        self.write_id = 0
        self.write: AnsweredWrite | None = None


class ConsistencyMachine(RuleBasedStateMachine):
    """Acknowledged writes survive, and every read shows what it has to."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.control = ModelControl(TARGETS)
        self.proxies = {name: ModelProxy(name, self.clock) for name in PROXIES}
        self.tokens = {caller: "" for caller in range(3)}
        self.pending: list[PendingWrite] = []
        self.acknowledged: dict[int, tuple[int, float]] = {}
        self.next_write = 0
        for proxy_id in PROXIES:
            self.renew(proxy_id)

    def renew(self, proxy_id: str) -> None:
        """Sends a heartbeat twice, so that the view is taken and acknowledged."""
        for _ in range(2):
            self.send_heartbeat(proxy_id)
            self.proxies[proxy_id].take_view(1)

    def send_heartbeat(self, proxy_id: str) -> None:
        proxy = self.proxies[proxy_id]
        now = self.clock.now()
        view = self.control.heartbeat(proxy_id, proxy.board.view.version, now)
        proxy.replies.append((now, view))

    @rule(hundredths=st.sampled_from(PAUSES))
    def pass_time(self, hundredths):
        self.clock.advance(hundredths / 100)

    @rule(proxy_ids=some_proxies, is_delayed=st.booleans())
    def heartbeat(self, proxy_ids, is_delayed):
        for proxy_id in proxy_ids:
            if is_delayed:
                self.send_heartbeat(proxy_id)
            else:
                self.renew(proxy_id)

    @rule(proxy_id=proxies, count=st.integers(1, 3))
    def deliver_view(self, proxy_id, count):
        self.proxies[proxy_id].take_view(count)

    @rule(proxy_id=proxies, target_ids=some_targets, is_delayed=st.booleans())
    def probe(self, proxy_id, target_ids, is_delayed):
        proxy = self.proxies[proxy_id]
        now = self.clock.now()
        for target_id in target_ids:
            proxy.probes.append((now, self.control.targets[target_id].status()))
        if not is_delayed:
            proxy.take_probes()
            self.clock.advance(0.011)

    @rule(target_ids=some_targets, count=st.integers(1, 5))
    def replicate(self, target_ids, count):
        group = self.control.group
        if group.phase is GroupPhase.fenced:
            return
        for target_id in target_ids:
            if target_id != group.primary:
                self.control.targets[target_id].copy_from(self.control.primary, count)

    @rule(lost=targets, told=some_proxies, hundredths=st.sampled_from(PAUSES))
    def lose_primary(self, lost, told, hundredths):
        group = self.control.group
        if group.phase is GroupPhase.serving and len(group.promotable) > 1:
            self.control.fence(lost)
            self.heartbeat(told, False)
            self.clock.advance(hundredths / 100)

    @rule()
    def promote(self):
        is_fenced = self.control.group.phase is GroupPhase.fenced
        if not is_fenced or not self.control.is_known_to_all(self.clock.now()):
            return
        self.control.promote()
        log = set(self.control.primary.log)
        lost = self.acknowledged.keys() - log
        assert not lost, f"promotion lost acknowledged writes {lost}"

    @rule(target_id=targets)
    def change_ack_set(self, target_id):
        """Takes the next step towards having a target in the set, or out of it."""
        group = self.control.group
        if group.phase is GroupPhase.fenced or target_id == group.primary:
            return
        if not self.control.is_known_to_all(self.clock.now()):
            return
        if target_id not in group.ack_set:
            self.control.commit(ack_set=[*group.ack_set, target_id])
        elif target_id in group.promotable:
            kept = [name for name in group.promotable if name != target_id]
            self.control.commit(promotable=kept)
        else:
            kept = [name for name in group.ack_set if name != target_id]
            self.control.commit(ack_set=kept)

    @rule(target_id=targets)
    def complete_addition(self, target_id):
        group = self.control.group
        if group.phase is GroupPhase.fenced:
            return
        target = self.control.targets[target_id]
        is_level = target.term == group.term
        is_level = is_level and len(target.log) >= len(self.control.primary.log)
        is_joining = target_id in group.ack_set and target_id not in group.promotable
        is_known = self.control.is_known_to_all(self.clock.now())
        if is_joining and is_level and is_known:
            self.control.commit(promotable=[*group.promotable, target_id])

    @rule(
        proxy_id=proxies,
        caller=callers,
        held_by=some_targets,
        is_renewed=st.booleans(),
        is_judged=st.booleans(),
    )
    def write(self, proxy_id, caller, held_by, is_renewed, is_judged):
        """Sends a write to the primary that the proxy knows, and replicates it."""
        if is_renewed:
            self.renew(proxy_id)
        board = self.proxies[proxy_id].board
        primary_id = route_write(GROUP, board, self.clock.now())
        if not primary_id:
            return
        term = board.view.groups[GROUP].term
        pending = PendingWrite(proxy_id, caller, primary_id, term)
        self.pending.append(pending)
        if is_judged:
            self.arrive(pending, held_by)
        if pending.write is not None:
            self.judge(pending)

    @rule(choice=st.integers(0, 11), held_by=some_targets)
    def arrive_later(self, choice, held_by):
        waiting = [pending for pending in self.pending if pending.write is None]
        if waiting:
            self.arrive(waiting[choice % len(waiting)], held_by)

    def arrive(self, pending: PendingWrite, held_by: list[str]) -> None:
        target = self.control.targets[pending.primary_id]
        if target.role is not Role.primary:
            self.pending.remove(pending)
            return
        self.next_write += 1
        target.log.append(self.next_write)
        pending.write_id = self.next_write
        written = LogPosition(target.term, len(target.log))
        pending.write = AnsweredWrite(pending.primary_id, pending.term, written)
        self.replicate(held_by, len(target.log))
        self.probe(pending.proxy_id, TARGETS, False)

    @rule(choice=st.integers(0, 11))
    def judge_later(self, choice):
        answered = [pending for pending in self.pending if pending.write]
        if answered:
            self.judge(answered[choice % len(answered)])

    def judge(self, pending: PendingWrite) -> None:
        proxy = self.proxies[pending.proxy_id]
        view = proxy.board.view.groups[GROUP]
        now = self.clock.now()
        positions = proxy.positions.positions(view)
        decision = check_acknowledgement(
            pending.write, view, proxy.board.lease, positions, now
        )
        if decision is AckDecision.wait:
            return
        self.pending.remove(pending)
        if decision is AckDecision.acknowledge:
            self.acknowledged[pending.write_id] = (pending.caller, now)
            session = self.session_of(pending.caller)
            session = record_write(session, GROUP, pending.write.written)
            self.tokens[pending.caller] = encode_token(session, TOKEN_KEY)

    def session_of(self, caller: int) -> Session:
        if not self.tokens[caller]:
            return Session({}, is_complete=True)
        return decode_token(self.tokens[caller], TOKEN_KEY)

    @rule(
        proxy_id=proxies,
        caller=callers,
        has_token=st.booleans(),
        bound_ms=st.sampled_from(BOUNDS_MS),
        choice=st.integers(0, 11),
    )
    def read(self, proxy_id, caller, has_token, bound_ms, choice):
        board = self.proxies[proxy_id].board
        now = self.clock.now()
        session = self.session_of(caller) if has_token else Session({}, False)
        requirements = read_requirements(GROUP, session, bound_ms)
        eligible = eligible_for_read(requirements, board, now)
        if not eligible:
            return
        target = self.control.targets[eligible[choice % len(eligible)]]
        seen = LogPosition(target.term, len(target.log))
        if not reply_includes_floor(requirements, seen, board.view.groups[GROUP]):
            return
        for write_id, (writer, at) in self.acknowledged.items():
            if writer == caller:
                assert write_id in target.log, "a read missed its caller's write"
            if at <= now - bound_ms / 1000:
                assert write_id in target.log, "a read was staler than declared"

    @rule(seed=st.integers(0, 2**32 - 1))
    def many_steps(self, seed):
        """Takes steps much faster than drawing each of them would."""
        rng = random.Random(seed)
        for _ in range(STEPS_AT_ONCE):
            self.random_step(rng)

    def random_step(self, rng: random.Random) -> None:
        proxy_id, caller = rng.choice(PROXIES), rng.randrange(3)
        target_id, is_yes = rng.choice(TARGETS), rng.random() < 0.5
        some = rng.sample(TARGETS, rng.randint(1, len(TARGETS)))
        told = rng.sample(PROXIES, rng.randint(0, len(PROXIES)))
        number = rng.randrange(12)
        steps = (
            lambda: self.pass_time(rng.choice(PAUSES)),
            lambda: self.heartbeat(told, is_yes),
            lambda: self.deliver_view(proxy_id, 1 + number % 3),
            lambda: self.probe(proxy_id, some, is_yes),
            lambda: self.replicate(some, 1 + number),
            lambda: self.lose_primary(target_id, told, rng.choice(PAUSES)),
            self.promote,
            lambda: self.change_ack_set(target_id),
            lambda: self.complete_addition(target_id),
            lambda: self.write(proxy_id, caller, some, number < 6, is_yes),
            lambda: self.arrive_later(number, some),
            lambda: self.judge_later(number),
            lambda: self.read(proxy_id, caller, is_yes, rng.choice(BOUNDS_MS), number),
        )
        rng.choice(steps)()


TestConsistency = ConsistencyMachine.TestCase
TestConsistency.settings = settings(max_examples=200, stateful_step_count=30)

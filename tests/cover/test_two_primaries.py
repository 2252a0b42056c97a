"""Promotions that don't stop the former primary, with lost and late messages.

Processes, the leader and the platform take their steps in any order. The oracle knows
when each promotion took effect. The platform may answer an order before that, and a
former primary that is ordered still leads its old term until then.
"""

from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from godwitwheel.decisions.leases import LeaseTable
from godwitwheel.directory import effects
from godwitwheel.directory.candidates import Candidate
from godwitwheel.directory.commands import FencePrimary, PutEntry, SetPrimary
from godwitwheel.directory.effects import LATE_ORDER_S, PromotionEffects
from godwitwheel.directory.leadership import CLOCK_DRIFT, PromotionOrder
from godwitwheel.directory.records import TargetEntry
from godwitwheel.directory.report_timing import PRIMARY_LEASE_S, REPORT_INTERVAL_S
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.sessions.connections.connection import ReplicaStatus
from godwitwheel.sessions.reporting.authority import LeasedAuthority
from godwitwheel.sessions.statements import Position

SERVICE = "bookings"
PROCESSES = st.integers(0, 2)
TARGETS = st.sampled_from(["t1", "t2", "t3"])
NO_TARGET = ""
ENTRIES = [
    TargetEntry(f"t{number}", SERVICE, f"10.0.0.{number}:1", "dc-1", 2, 0)
    for number in (1, 2, 3)
]


class PendingWrite:
    """A write that was sent to a target.

    :ivar committed_after: number of promotions that had taken effect when the target
        committed it; ``None`` until then.
    """

    def __init__(self, target_id, sent_at, held):
        self.target_id = target_id
        self.sent_at = sent_at
        self.held = held
        self.committed_after = None


class Process:
    """A process that relies on primaries under leases.

    :ivar view: the newest view that it received.
    :ivar writes: sent and not answered.
    """

    def __init__(self, number):
        self.holder = (f"p{number}", 0)
        self.authority = LeasedAuthority()
        self.view = None
        self.writes = []


class Statuses:
    """What control learns from the targets themselves; also its clock.

    :ivar lost_connections: read by the product; every target answers here.
    """

    lost_connections = 0

    def __init__(self, machine):
        self.machine = machine
        self.polled = None

    def now(self):
        return self.machine.now

    def poll(self, entry):
        self.polled = entry
        return self

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def ask(self):
        return self.status_of(self.polled)

    def ask_statuses(self, entries):
        return [self.status_of(entry) for entry in entries]

    def status_of(self, entry):
        term = self.machine.term_of(entry.target_id)
        leads = self.machine.acts_as_primary(entry.target_id)
        return ReplicaStatus(leads, term, Position(term, 0))


class TwoPrimariesMachine(RuleBasedStateMachine):
    """Every former primary continues to commit until the end of the run.

    :ivar led: the primaries so far; the last one took over last.
    :ivar acknowledged_at: when a commit of each promotion was first acknowledged.
    :ivar replies: leases on their way, as ``(process, view, sent_at, applies)``; a
        process may be unable to apply a view before it has the routing table.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.directory = Directory(JsonTableCodec())
        self.leases = LeaseTable(self.now - 10.0, PRIMARY_LEASE_S, CLOCK_DRIFT)
        self.index = 1
        self.processes = [Process(number) for number in range(3)]
        self.replies = []
        self.ordered = NO_TARGET
        self.led = ["t1"]
        self.acknowledged_at = {}
        self.statuses = Statuses(self)
        self.effects = PromotionEffects(
            self.statuses, lambda: self.directory, self.statuses
        )

    @initialize()
    def start(self):
        for entry in ENTRIES:
            self.commit(self.directory.put_entry, PutEntry(entry))
        self.commit(self.directory.set_primary, SetPrimary(SERVICE, "t1"))
        for process in self.processes:
            self.report(process, lost=False)
            self.deliver_all()

    def commit(self, apply, command):
        self.index += 1
        apply(self.index, command)

    # Leases.

    def report(self, process, lost, applies=True):
        drained = process.authority.drained_version(self.now)
        view = self.directory.view
        self.leases.acknowledge(process.holder, drained)
        self.leases.grant(process.holder, drained, view.version, self.now)
        if not lost:
            self.replies.append((process, view, self.now, applies))

    def deliver_all(self):
        replies, self.replies = self.replies, []
        for process, view, sent_at, applies in replies:
            is_newer = process.view is None or view.version > process.view.version
            if is_newer and applies:
                process.view = view
                process.authority.apply_view(view, self.now)
            process.authority.renew(view.version, sent_at, self.now)

    @rule(number=PROCESSES, lost=st.booleans(), applies=st.booleans())
    def send_a_report(self, number, lost, applies):
        self.report(self.processes[number], lost, applies)

    @rule()
    def deliver_replies(self):
        self.deliver_all()

    @rule(seconds=st.sampled_from([0.01, 0.15, 0.4, 1.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        connected=st.sets(PROCESSES),
        rounds=st.integers(1, 8),
        applies=st.booleans(),
    )
    def wait_while_some_report(self, connected, rounds, applies):
        for _ in range(rounds):
            self.now += REPORT_INTERVAL_S
            for number in connected:
                self.report(self.processes[number], lost=False, applies=applies)
            self.deliver_all()

    @rule()
    def change_the_leader(self):
        """The next leader knows none of the leases that were granted."""
        self.leases = LeaseTable(self.now, PRIMARY_LEASE_S, CLOCK_DRIFT)

    # Replacement of the primary.

    @rule()
    def fence(self):
        if SERVICE not in self.directory.view.fences:
            self.commit(self.directory.fence_primary, FencePrimary(SERVICE))

    @rule(
        target_id=TARGETS,
        connected=st.sets(PROCESSES),
        rounds=st.integers(0, 7),
        applies=st.booleans(),
        late=st.booleans(),
    )
    def replace_the_primary(self, target_id, connected, rounds, applies, late):
        self.fence()
        self.wait_while_some_report(connected, rounds, applies)
        self.order_a_promotion(target_id)
        if self.ordered:
            self.answer_the_order()
        if self.ordered:
            self.carry_out_the_order()
        if self.ordered and not late:
            self.answer_the_order()

    @rule(number=PROCESSES, target_id=TARGETS, until=st.sampled_from([0.0, 0.3, 1.5]))
    def write_with_a_late_answer(self, number, target_id, until):
        self.send_a_write(number, target_id)
        self.wait(until)
        self.commit_writes(number)
        self.answer_writes(number)

    @rule(
        number=PROCESSES,
        other=TARGETS,
        connected=st.sets(PROCESSES),
        rounds=st.integers(0, 7),
        applies=st.booleans(),
        returns=st.booleans(),
        new_leader=st.booleans(),
    )
    def write_across_a_replacement(
        self, number, other, connected, rounds, applies, returns, new_leader
    ):
        """The former primary commits after the other target has taken over."""
        former_id = self.led[-1]
        self.send_a_write(number, former_id)
        if new_leader:
            self.change_the_leader()
        self.replace_the_primary(other, connected, rounds, applies, late=False)
        self.commit_writes(number)
        if returns:
            self.replace_the_primary(former_id, connected, 7, applies, late=False)
            self.wait_while_some_report({0, 1, 2}, 1, applies=True)
        self.answer_writes(number)
        self.wait_while_some_report(connected, 1, applies=True)
        self.write_with_a_late_answer((number + 1) % 3, self.led[-1], 0.0)
        self.read(number, former_id)

    @rule(target_id=TARGETS)
    def order_a_promotion(self, target_id):
        view = self.directory.view
        if SERVICE not in view.fences or self.ordered:
            return
        if not self.leases.all_proxies_use(view.version, self.now):
            return
        newest_term = max(self.term_of(entry.target_id) for entry in ENTRIES)
        command = FencePrimary(SERVICE, target_id, newest_term)
        self.commit(self.directory.fence_primary, command)
        self.ordered = target_id

    @precondition(lambda self: self.ordered)
    @rule()
    def carry_out_the_order(self):
        if self.led[-1] != self.ordered:
            self.led.append(self.ordered)

    @precondition(lambda self: self.ordered)
    @rule()
    def answer_the_order(self):
        """The platform answers, also before the promotion takes effect.

        A target that it takes for the primary already is not promoted again: control
        finds that out by waiting. Otherwise it looks once, and may look again.
        """
        if self.led[-1] == self.ordered:
            self.name(self.wait_for_the_effect())
            return
        answers = [
            Candidate(entry, status.received, status.term, 0, status.is_primary)
            for entry, status in zip(
                ENTRIES, self.statuses.ask_statuses(ENTRIES), strict=True
            )
        ]
        promoted = self.effects.find(SERVICE, answers)
        if promoted is not None:
            self.name(promoted.term)

    def wait_for_the_effect(self):
        (entry,) = [each for each in ENTRIES if each.target_id == self.ordered]
        order = PromotionOrder(self.ordered, 1, self.now, self.now)
        with mock.patch.object(effects, "sleep", lambda seconds: self.wait_long()):
            return self.effects.wait(SERVICE, entry, order)

    def wait_long(self):
        self.now += LATE_ORDER_S

    def name(self, term):
        command = SetPrimary(SERVICE, self.ordered, 1, term)
        self.commit(self.directory.set_primary, command)
        self.ordered = NO_TARGET

    # Targets.

    def term_of(self, target_id):
        """Returns the term in which a target leads or has led last."""
        terms = [term for term, led in enumerate(self.led, 1) if led == target_id]
        return max(terms, default=1)

    # Statements.

    def acts_as_primary(self, target_id):
        return target_id in self.led

    @rule(number=PROCESSES, target_id=TARGETS)
    def send_a_write(self, number, target_id):
        authority = self.processes[number].authority
        if not authority.may_use(SERVICE, target_id, self.now):
            return
        held = authority.in_flight(SERVICE)
        held.__enter__()
        write = PendingWrite(target_id, self.now, held)
        self.processes[number].writes.append(write)

    @rule(number=PROCESSES)
    def commit_writes(self, number):
        for write in self.processes[number].writes:
            if write.committed_after is None and self.acts_as_primary(write.target_id):
                write.committed_after = len(self.led) - 1

    @rule(number=PROCESSES)
    def answer_writes(self, number):
        process = self.processes[number]
        answered = [each for each in process.writes if each.committed_after is not None]
        for write in answered:
            process.writes.remove(write)
            is_covered = process.authority.covers(
                SERVICE, write.target_id, write.sent_at, self.now
            )
            write.held.__exit__(None, None, None)
            if is_covered:
                self.check_acknowledged(write)

    def check_acknowledged(self, write):
        leader = self.led[write.committed_after]
        assert leader == write.target_id, (
            f"{write.target_id} committed after {leader} had taken over, and the write "
            "was acknowledged"
        )
        self.acknowledged_at.setdefault(write.committed_after, self.now)

    @rule(number=PROCESSES, target_id=TARGETS)
    def read(self, number, target_id):
        """A read of a target that is taken for the primary misses no commit."""
        authority = self.processes[number].authority
        may_use = authority.may_use(SERVICE, target_id, self.now)
        if may_use and self.acts_as_primary(target_id):
            self.check_nothing_newer(target_id)

    def check_nothing_newer(self, target_id):
        promotions = len(self.led) - 1
        assert self.led[-1] == target_id or promotions not in self.acknowledged_at, (
            f"{target_id} was read, but {self.led[-1]} has acknowledged commits"
        )

    @rule(number=PROCESSES, target_id=TARGETS)
    def take_a_sample(self, number, target_id):
        """A sample must not miss a commit that was acknowledged before."""
        authority = self.processes[number].authority
        if not self.acts_as_primary(target_id):
            return
        if authority.covers(SERVICE, target_id, self.now, self.now):
            self.check_nothing_newer(target_id)


def test_no_commit_of_a_former_primary_is_acknowledged():
    run_state_machine_as_test(
        TwoPrimariesMachine, settings=settings(max_examples=300, stateful_step_count=40)
    )

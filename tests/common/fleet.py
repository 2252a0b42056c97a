"""Control, owners and proxies of any number, without a network.

Processes call control at the times that their reporters choose.
"""

import heapq
import itertools
import random

from godwitwheel.control.commands import Batch
from godwitwheel.directory.commands import PutEntry, PutTable, SetOwners, SetPrimary
from godwitwheel.directory.controllers import DECISION_INTERVAL_S
from godwitwheel.directory.ownership import assign_owners, replaced_owners
from godwitwheel.directory.records import TargetEntry
from godwitwheel.directory.report_timing import REPORT_SPACING_S
from godwitwheel.internal.clock import ManualClock
from godwitwheel.sessions.board import SessionBoard
from godwitwheel.sessions.reporting.members import ControlMembers
from godwitwheel.sessions.reporting.reporting import Reporter
from godwitwheel.wire.codec import encode

from .fake_members import FakeClient, FakeMember, large_table

ADDRESSES = ["10.0.0.1:7440", "10.0.0.2:7440", "10.0.0.3:7440"]
OWNERS = 6
ROUTES = 200
START_SPREAD_S = 0.3
# Bytes of the heads of a request and its reply.
HEAD_BYTES = 200


class DirectConfirmer:
    """Confirms the leadership without the pause in which requests are gathered."""

    rounds = 0

    def confirm(self, timeout_s, is_urgent=False):
        pass


class Process:
    """One reporting process.

    :ivar report_at: when it reports next; other scheduled reports are void.
    """

    def __init__(self, fleet, number, is_owner):
        self.is_owner = is_owner
        self.client = FakeClient(fleet.members)
        name = f"{'owner' if is_owner else 'proxy'}-{number}"
        self.board = SessionBoard(
            fleet.clock, None, "dc-1", name, serves_callers=not is_owner
        )
        rng = random.Random(number)
        members = ControlMembers(ADDRESSES, rng)
        address = f"10.0.1.{number}:1" if is_owner else ""
        self.reporter = Reporter(self.board, members, self.client, name, address)
        self.reporter.rng = self.reporter.tables.rng = rng
        self.report_at = 0.0
        self.is_fetching = False

    def is_settled(self, view):
        held = self.board.view
        is_newest = held.version == view.version
        return is_newest and held.table.version == view.table.version

    def messages(self):
        return len(self.client.calls)

    def size(self):
        return sum(HEAD_BYTES + call.size() for call in self.client.calls)


class Fleet:
    """Control members, owners and proxies.

    :ivar schedule: times at which processes report or fetch.
    :ivar replaced: ids of the owners that have lost a service, once for each time.
    """

    def __init__(self, proxies):
        self.clock = ManualClock(100.0)
        self.members = {address: FakeMember(self.clock) for address in ADDRESSES}
        for member in self.members.values():
            member.log.member_addresses = lambda: ADDRESSES
            member.log.leader = ADDRESSES[0]
            member.member.confirmer = DirectConfirmer()
            member.log.is_leader = member is self.members[ADDRESSES[0]]
        self.leader = self.members[ADDRESSES[0]]
        self.services = proxies // 3
        table = large_table(1, ROUTES, self.services)
        self.commit(PutTable(encode(table)))
        for number in range(3 * self.services):
            self.put_target(number, 0)
        for number in range(self.services):
            self.commit(SetPrimary(f"service-{number}", f"target-{number}"))
        numbers = itertools.count()
        self.owners = [Process(self, next(numbers), True) for _ in range(OWNERS)]
        self.proxies = [Process(self, next(numbers), False) for _ in range(proxies)]
        self.order = itertools.count()
        self.schedule = []
        self.replaced = []
        rng = random.Random(1)
        for process in self.processes():
            start_at = self.clock.now() + rng.uniform(0.0, START_SPREAD_S)
            self._report_later(process, start_at)

    def processes(self):
        return [*self.owners, *self.proxies]

    def put_target(self, number, started_at_ms):
        entry = TargetEntry(
            f"target-{number}",
            f"service-{number % self.services}",
            f"10.1.{number // 250}.{number % 250}:6000",
            "dc-1",
            4,
            started_at_ms,
        )
        self.commit(PutEntry(entry))

    def commit(self, command):
        batch = encode(Batch([command]))
        for member in self.members.values():
            member.log.proposed += 1
            member.state.apply(member.log.proposed, batch)

    def view(self):
        return self.leader.state.directory.view

    def run(self, duration_s):
        """Lets the processes report and fetch."""
        until = self.clock.now() + duration_s
        while self.schedule and self.schedule[0][0] <= until:
            at, _, process, act = heapq.heappop(self.schedule)
            self.clock.advance(max(at - self.clock.now(), 0.0))
            act(process, at)
        self.clock.advance(until - self.clock.now())

    def assign_owners(self):
        leadership = self.leader.member.current_leadership()
        owners = leadership.live_owners(self.clock.now())
        proxies = leadership.count_caller_facing_proxies()
        assigned = assign_owners(self.view(), owners, proxies)
        if assigned != self.view().owners:
            self.replaced += replaced_owners(self.view().owners, assigned)
            self.commit(SetOwners(assigned))

    def run_with_decisions(self, duration_s):
        """Runs, and lets control assign owners at its own interval."""
        for _ in range(round(duration_s / DECISION_INTERVAL_S)):
            self.run(DECISION_INTERVAL_S)
            self.assign_owners()

    def _push(self, at, process, act):
        heapq.heappush(self.schedule, (at, next(self.order), process, act))

    def _report_later(self, process, at):
        process.report_at = at
        self._push(at, process, self._report)

    def _report(self, process, at):
        if at != process.report_at:
            return
        reporter = process.reporter
        if reporter.report() and not reporter.is_postponed:
            pause_s = reporter.interval_s() + REPORT_SPACING_S
        else:
            pause_s = reporter.retry_pause_s()
        self._report_later(process, self.clock.now() + pause_s)
        if not process.is_fetching:
            process.is_fetching = True
            self._fetch(process, at)

    def _fetch(self, process, at):
        tables = process.reporter.tables
        held = process.board.view.table.version
        if tables.is_current():
            process.is_fetching = False
            return
        pause_s = tables.step()
        if process.board.view.table.version != held:
            # The new table wakes the reporter.
            self._report_later(process, self.clock.now() + REPORT_SPACING_S)
        self._push(self.clock.now() + pause_s, process, self._fetch)

    def reset(self):
        for process in self.processes():
            process.client.calls.clear()

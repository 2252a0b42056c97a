"""Reports this proxy's observations to control, and applies the views it returns."""

import random

import msgspec

from ...directory.records import (
    DirectoryView,
    PrimaryReport,
    ProxyReply,
    ProxyReport,
    Redirect,
    RoutingTable,
)
from ...directory.table_changes import apply_change
from ...internal.loop import sleep
from ...observe.events import EventName, record_event
from ...wire.client import Client
from ...wire.codec import decode, encode
from ...wire.errors import BadMessage, WireError
from ...wire.status import MISDIRECTED
from ..board import SessionBoard
from .rates import apply_rate_reply, build_rate_report

REPORT_PATH = "/v1/directory/report"
REPORT_INTERVAL_S = 0.2
# Reports a second that the leader receives from all proxies that use no targets and
# have no change to report.
IDLE_REPORTS_PER_S = 200
# Time that a process needs to find a primary, from its first probe on, in seconds.
INITIAL_SEARCH_S = 0.5
# Delay before a report, so that changes in quick succession are reported together.
REPORT_SPACING_S = 0.01
RETRY_INTERVAL_S = 0.05
# Report interval while a primary is not confirmed under leases: control then waits for
# this process to learn that the primary is fenced. In seconds.
UNCONFIRMED_REPORT_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 0.4
# Time for which other members are tried before one that did not respond, and before
# one that refused the connection at once, in seconds.
UNRESPONSIVE_PAUSE_S = 1.5
REFUSED_PAUSE_S = 0.15
# Upper limit of the reported age of a confirmation, also reported if there was none.
MAX_AGE_MS = 1_000_000


class ControlMembers:
    """Addresses of control members.

    :ivar seeds: addresses from the settings.
    :ivar members: addresses from the leader's latest reply.
    :ivar leader: address of the known leader, or empty.
    :ivar avoided_until: until when other members are tried first, by address of a
        member that did not answer.
    """

    __slots__ = ("seeds", "members", "leader", "rng", "avoided_until")

    def __init__(self, seeds: list[str], rng: random.Random):
        self.seeds = seeds
        self.members: list[str] = []
        self.leader = ""
        self.rng = rng
        self.avoided_until: dict[str, float] = {}

    def next_address(self, now: float) -> str:
        """Returns the leader's address, or that of any member while none is known.

        :returns: an empty string if no address is known.
        """
        if self.leader:
            return self.leader
        known = sorted({*self.seeds, *self.members})
        preferred = [each for each in known if now >= self.avoided_until.get(each, now)]
        choices = preferred or known
        return self.rng.choice(choices) if choices else ""

    def mark_unresponsive(self, address: str, waited_s: float, now: float) -> None:
        """Records that a member did not answer.

        A member that refuses at once is reachable and its process is about to start, so
        it is avoided for a shorter time.

        :param waited_s: time from the request to the failure, in seconds.
        """
        self.leader = ""
        is_unresponsive = waited_s >= REPORT_TIMEOUT_S / 2
        pause_s = UNRESPONSIVE_PAUSE_S if is_unresponsive else REFUSED_PAUSE_S
        self.avoided_until[address] = now + pause_s

    def record_leader(self, address: str, now: float) -> None:
        """Sets the leader that another member named.

        A follower keeps naming a leader that has just failed, so a member that did not
        answer this proxy recently is not accepted as leader.
        """
        is_avoided = now < self.avoided_until.get(address, now)
        self.leader = "" if is_avoided else address


class Reporter:
    """Reports to the control leader at short intervals.

    :ivar leaving: whether this proxy is stopping.
    :ivar answered_at: when a leader answered last, or ``None``.
    :ivar is_control_unreachable: whether a report has failed since control answered
        last.
    """

    __slots__ = (
        "board",
        "members",
        "client",
        "proxy_id",
        "leaving",
        "owner_address",
        "answered_at",
        "is_control_unreachable",
    )

    def __init__(
        self,
        board: SessionBoard,
        members: ControlMembers,
        client: Client,
        proxy_id: str,
        owner_address: str = "",
    ):
        self.owner_address = owner_address
        self.board = board
        self.members = members
        self.client = client
        self.proxy_id = proxy_id
        self.leaving = False
        self.answered_at: float | None = None
        self.is_control_unreachable = False

    def run(self) -> None:
        """Reports until the process stops."""
        while True:
            was_answered = self.report()
            if was_answered:
                # A change of the view or of a known primary is reported at once.
                if not self.board.account_limiter.is_report_due:
                    self.board.changed.wait(self._interval_s())
                sleep(REPORT_SPACING_S)
            else:
                sleep(RETRY_INTERVAL_S)

    def _interval_s(self) -> float:
        board = self.board
        if not board.uses_any_targets():
            return max(REPORT_INTERVAL_S, board.proxies / IDLE_REPORTS_PER_S)
        if board.authority.needs_lease and board.lacks_a_primary():
            return UNCONFIRMED_REPORT_INTERVAL_S
        return REPORT_INTERVAL_S

    def report(self) -> bool:
        """Reports once.

        :returns: whether a leader answered.
        """
        now = self.board.clock.now()
        address = self.members.next_address(now)
        if not address:
            return False
        try:
            report = self.build()
            status, body = self.client.exchange(
                address, "POST", REPORT_PATH, encode(report), REPORT_TIMEOUT_S
            )
            if status == 200:
                reply = decode(body, ProxyReply)
                self._apply_reply(address, reply, now)
                apply_rate_reply(self.board, report, reply, now)
                return True
            self.members.leader = ""
            if status == MISDIRECTED:
                self.members.record_leader(decode(body, Redirect).leader, now)
            else:
                self._record_unreachable(address, f"status {status}")
        except (WireError, BadMessage) as error:
            failed_at = self.board.clock.now()
            self.members.mark_unresponsive(address, failed_at - now, failed_at)
            self._record_unreachable(address, str(error))
        return False

    def build(self) -> ProxyReport:
        """Returns the report of this proxy's observations."""
        board = self.board
        now = board.clock.now()
        reports = []
        for service in board.view.table.services:
            known_primary = board.known_primary(service)
            if not self._has_searched(service, now) or self._is_refused(service, now):
                continue
            age_ms = round(
                min(1000 * (now - known_primary.last_confirmed_at), MAX_AGE_MS)
            )
            is_proven = known_primary.confirmed_at is not None
            reports.append(
                PrimaryReport(service, known_primary.target_id, is_proven, age_ms)
            )
        unreachable = [
            target_id
            for target_id, status in board.statuses.items()
            if status.failing_since is not None
        ]
        return ProxyReport(
            self.proxy_id,
            board.data_centre,
            board.view.version,
            reports,
            sorted(unreachable),
            self.leaving,
            self.owner_address,
            board.view.table.version,
            board.authority.needs_lease and board.uses_any_targets(),
            board.authority.drained_version(now),
            rates=build_rate_report(board, now),
        )

    def _has_searched(self, service: str, now: float) -> bool:
        """Whether this process has had time to find the service's primary."""
        known_primary = self.board.known_primary(service)
        if (
            not self.board.uses_targets(service)
            or known_primary.search_started_at is None
        ):
            return False
        return (
            known_primary.confirmed_at is not None
            or now - known_primary.search_started_at >= INITIAL_SEARCH_S
        )

    def _is_refused(self, service: str, now: float) -> bool:
        """Whether the primary refuses this process only for too many connections.

        That says nothing about whether it is the primary.
        """
        pool = self.board.pools.get(self.board.known_primary(service).target_id)
        return pool is not None and pool.is_refused(now)

    def _apply_reply(self, address: str, reply: ProxyReply, sent_at: float) -> None:
        board = self.board
        self.members.leader = address
        self.members.avoided_until.pop(address, None)
        self.members.members = reply.members
        self.answered_at = board.clock.now()
        if self.is_control_unreachable:
            self.is_control_unreachable = False
            record_event(EventName.control_reachable, address=address)
        if reply.proxies != board.proxies or reply.owners != board.owners:
            board.proxies = reply.proxies
            board.owners = reply.owners
            board.apply_limits()
        view = self._view_with_table(reply)
        if view is not None and board.apply_view(view):
            record_event(
                EventName.view_in_force,
                version=view.version,
                table_version=view.table.version,
                targets=len(view.targets),
                primaries=view.primaries,
                fences=view.fences,
            )
        if reply.table_version == board.view.table.version:
            board.key_authority.renew(sent_at)
        if reply.grants_lease:
            board.authority.renew(reply.view_version, sent_at, board.clock.now())

    def _view_with_table(self, reply: ProxyReply) -> DirectoryView | None:
        """Returns a reply's view including its table, or ``None`` if there is none."""
        if reply.view is None:
            return None
        table: RoutingTable | None = self.board.view.table
        if reply.table_change is not None:
            table = apply_change(table, reply.table_change)
        if table is None or table.version != reply.table_version:
            # The table changed after the report was made; the next reply brings it.
            return None
        return msgspec.structs.replace(reply.view, table=table)

    def _record_unreachable(self, address: str, reason: str) -> None:
        if not self.is_control_unreachable:
            self.is_control_unreachable = True
            record_event(EventName.control_unreachable, address=address, reason=reason)

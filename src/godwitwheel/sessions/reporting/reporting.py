"""Reports this proxy's observations to control, and applies the views it returns."""

import random

from ...directory.builds import BuildNotice
from ...directory.records import (
    PrimaryReport,
    ProxyReply,
    ProxyReport,
    Redirect,
    ViewChange,
)
from ...directory.report_timing import (
    MAX_RETRY_PAUSE_S,
    REPORT_INTERVAL_S,
    REPORT_SPACING_S,
    REPORT_TIMEOUT_S,
    idle_interval_s,
)
from ...directory.view_changes import apply_view_change
from ...internal.loop import sleep
from ...observe.build import running_build
from ...observe.events import EventName, record_event
from ...wire.client import Client
from ...wire.codec import decode, encode
from ...wire.errors import BadMessage, WireError
from ...wire.status import MISDIRECTED
from ..board import SessionBoard
from .backoff import postponed_pause_s, retry_pause_s
from .members import ControlMembers
from .rates import apply_rate_reply, build_rate_report
from .table_fetch import TableFetcher

REPORT_PATH = "/v1/directory/report"
# Time that a process needs to find a primary, from its first probe on, in seconds.
INITIAL_SEARCH_S = 0.5
# Report interval while a primary is not confirmed under leases: control then waits for
# this process to learn that the primary is fenced. In seconds.
UNCONFIRMED_REPORT_INTERVAL_S = 0.05
# Upper limit of the reported age of a confirmation, also reported if there was none.
MAX_AGE_MS = 1_000_000


class Reporter:
    """Reports to the control leader at short intervals.

    :ivar tables: fetches the routing tables that control names.
    :ivar leaving: whether this proxy is stopping.
    :ivar asked_targets: whether the last report asked for targets.
    :ivar is_postponed: whether control has put off the view that it asked for.
    :ivar failures: reports in a row that no leader answered.
    :ivar redirects: redirects to a leader since a leader answered last.
    :ivar answered_at: when a leader answered last, or ``None``.
    :ivar is_asked_for_ages: whether the leader has asked since when targets are
        leaving.
    :ivar is_control_unreachable: whether a report has failed since control answered
        last.
    :ivar build_notice: when a leader was last told what this process runs.
    """

    __slots__ = (
        "board",
        "members",
        "client",
        "proxy_id",
        "tables",
        "rng",
        "asked_targets",
        "is_postponed",
        "failures",
        "redirects",
        "leaving",
        "owner_address",
        "answered_at",
        "is_asked_for_ages",
        "is_control_unreachable",
        "build_notice",
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
        self.rng = random.Random()
        self.tables = TableFetcher(board, members, client, self.rng)
        self.asked_targets = False
        self.is_postponed = False
        self.failures = 0
        self.redirects = 0
        self.leaving = False
        self.answered_at: float | None = None
        self.is_asked_for_ages = False
        self.is_control_unreachable = False
        self.build_notice = BuildNotice()

    def run(self) -> None:
        """Reports until the process stops."""
        while True:
            was_answered = self.report()
            if was_answered and not self.is_postponed:
                # A change of the view or of a known primary is reported at once.
                if not self.board.account_limiter.is_report_due:
                    self.board.changed.wait(self.interval_s())
                sleep(REPORT_SPACING_S)
            else:
                sleep(self.retry_pause_s())

    def retry_pause_s(self) -> float:
        """Returns the pause after a report that brought no answer, or no view."""
        if self.is_postponed:
            return postponed_pause_s(self.rng)
        if self.members.leader and self.redirects == 1:
            # Only the first one is followed at once: members may name each other.
            return 0.0
        pause_s = retry_pause_s(self.failures, self.rng)
        if self.board.wants_targets():
            # It has to find the next leader before its lease on the primaries ends, and
            # before its services get another owner.
            return min(pause_s, MAX_RETRY_PAUSE_S)
        return pause_s

    def interval_s(self) -> float:
        """Returns the time until the next report after an answered one, in seconds."""
        board = self.board
        if board.wants_targets() != self.asked_targets:
            return 0.0
        if not board.wants_targets() or board.lacks_targets():
            return idle_interval_s(board.proxies, board.key_authority.lease_s)
        if board.authority.needs_lease and board.lacks_a_primary():
            return UNCONFIRMED_REPORT_INTERVAL_S
        return REPORT_INTERVAL_S

    def report(self) -> bool:
        """Reports once.

        :returns: whether a leader answered.
        """
        was_answered = self._report()
        if was_answered:
            self.failures = self.redirects = 0
        else:
            self.failures += 1
        return was_answered

    def _report(self) -> bool:
        now = self.board.clock.now()
        self.is_postponed = False
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
                if report.build:
                    self.build_notice.record(now)
                return True
            self.members.leader = ""
            if status == MISDIRECTED:
                self._follow(decode(body, Redirect))
            else:
                self._record_unreachable(address, f"status {status}")
        except (WireError, BadMessage) as error:
            failed_at = self.board.clock.now()
            self.members.mark_unresponsive(address, failed_at - now, failed_at)
            self._record_unreachable(address, str(error))
        return False

    def _follow(self, redirect: Redirect) -> None:
        """Turns to the leader that another member named."""
        now = self.board.clock.now()
        heard_at = now - redirect.silence_ms / 1000.0
        self.members.record_leader(redirect.leader, now, heard_at)
        if self.members.leader:
            self.redirects += 1

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
                min(1000 * (now - known_primary.unconfirmed_since()), MAX_AGE_MS)
            )
            is_proven = known_primary.confirmed_at is not None
            named_id = board.view.primaries.get(service, "")
            reports.append(
                PrimaryReport(
                    service,
                    known_primary.target_id,
                    is_proven,
                    age_ms,
                    known_primary.was_confirmed(),
                    "" if named_id == known_primary.target_id else named_id,
                )
            )
        unreachable = [
            target_id
            for target_id, status in board.statuses.items()
            if status.failing_since is not None
        ]
        wants_targets = board.wants_targets()
        self.asked_targets = wants_targets
        leaving = board.view.leaving_targets()
        ages = board.leaving.ages(leaving, now) if self.is_asked_for_ages else []
        return ProxyReport(
            self.proxy_id,
            board.data_centre,
            board.view.version if wants_targets == board.has_targets else 0,
            reports,
            sorted(unreachable),
            self.leaving,
            self.owner_address,
            board.view.table.version,
            board.authority.needs_lease and board.uses_any_targets(),
            board.authority.drained_version(now),
            wants_targets,
            rates=build_rate_report(board, now),
            build=self._build_to_report(now),
            wants_leaving_ages=board.leaving.lacks_any(leaving),
            leaving_ages=ages,
        )

    def _build_to_report(self, now: float) -> str:
        """Returns what this process runs, or nothing if the leader knows it."""
        return running_build().summary() if self.build_notice.is_due(now) else ""

    def _has_searched(self, service: str, now: float) -> bool:
        """Whether this process has had time to find the service's primary."""
        known_primary = self.board.known_primary(service)
        if (
            not self.board.has_targets
            or not self.board.uses_targets(service)
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
        self.members.record_answer(address)
        self.members.members = reply.members
        self.answered_at = board.clock.now()
        if self.is_control_unreachable:
            self.is_control_unreachable = False
            record_event(EventName.control_reachable, address=address)
        board.proxies = reply.proxies
        board.owners = reply.owners
        # They also change with the age of this process.
        board.apply_limits()
        self.tables.advertise(reply.table_version)
        if reply.view_change is not None:
            self._apply_change(reply.view_change)
        board.leaving.learn(reply.leaving_ages, sent_at)
        self.is_asked_for_ages = reply.wants_leaving_ages
        is_refused = reply.view_change is None and board.lacks_targets()
        self.is_postponed = board.view.version < reply.view_version or is_refused
        if reply.table_version == board.view.table.version:
            board.key_authority.renew(sent_at)
        if reply.grants_lease:
            board.authority.renew(reply.view_version, sent_at, board.clock.now())

    def _apply_change(self, change: ViewChange) -> None:
        board = self.board
        view = apply_view_change(board.view, board.has_targets, change)
        if view is not None and board.apply_view(view, change.has_targets):
            record_event(
                EventName.view_in_force,
                version=view.version,
                table_version=view.table.version,
                targets=len(view.targets),
                primaries=view.primaries,
                fences=view.fences,
            )

    def _record_unreachable(self, address: str, reason: str) -> None:
        if not self.is_control_unreachable:
            self.is_control_unreachable = True
            record_event(EventName.control_unreachable, address=address, reason=reason)

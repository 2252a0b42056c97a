"""Keeps the lease, the view, the configuration and the quotas up to date."""

from ..decisions.staleness import add_new_terms
from ..decisions.versions import install_newer
from ..internal.loop import sleep
from ..internal.signals import ChangeSignal
from ..observe.events import EventName, record_event
from ..wire.control import (
    Heartbeat,
    HeartbeatReply,
    TargetObservation,
    Watch,
    WatchReply,
)
from .context import ProxyContext
from .control_client import ControlClient
from .errors import ControlUnavailable

# Largest relative difference between the rates of two VMs' clocks; a lease is counted
# as shorter by this share.
CLOCK_DRIFT = 0.01
HEARTBEAT_TIMEOUT_S = 0.45
WATCH_TIMEOUT_S = 10.0
WATCH_MARGIN_S = 1.0
WATCH_RETRY_DELAY_S = 0.2
RETRY_DELAY_S = 0.05
LEASE_CHECK_INTERVAL_S = 0.02
RELEASE_TIMEOUT_S = 1.0


class ControlLink:
    """Sends heartbeats and applies the replies.

    :ivar heartbeat_due: notified to send a heartbeat before the interval is over.
    :ivar had_lease: whether the lease was valid at the last check.
    :ivar sequence: number of the last heartbeat.
    :ivar leased_at: when the last heartbeat was sent whose reply granted a lease, in
        seconds of the clock, or ``None``.
    """

    __slots__ = (
        "context",
        "control",
        "interval_s",
        "heartbeat_due",
        "had_lease",
        "sequence",
        "leased_at",
    )

    def __init__(
        self, context: ProxyContext, control: ControlClient, interval_s: float
    ):
        self.context = context
        self.control = control
        self.interval_s = interval_s
        self.heartbeat_due = ChangeSignal()
        self.had_lease = False
        self.sequence = 0
        self.leased_at: float | None = None

    def run_heartbeats(self) -> None:
        """Sends a heartbeat each interval, measured between send times."""
        clock = self.context.clock
        while True:
            sent_at = clock.now()
            try:
                self.send_heartbeat(HEARTBEAT_TIMEOUT_S)
            except ControlUnavailable:
                sleep(RETRY_DELAY_S)
                continue
            if not self._needs_heartbeat_now():
                self.heartbeat_due.wait(sent_at + self.interval_s - clock.now())

    def run_watch(self) -> None:
        """Triggers a heartbeat once a member has a newer view or configuration."""
        while True:
            board = self.context.blackboard
            watch = Watch(
                board.view.version,
                board.configuration.revision,
                round(WATCH_TIMEOUT_S * 1000),
            )
            limit_s = WATCH_TIMEOUT_S + WATCH_MARGIN_S
            try:
                reply = self.control.call_once("/v1/watch", watch, WatchReply, limit_s)
            except ControlUnavailable:
                sleep(WATCH_RETRY_DELAY_S)
                continue
            if self._is_newer(reply):
                self.heartbeat_due.notify()
                # The heartbeat fetches it; a new watch would return at once until then.
                sleep(RETRY_DELAY_S)

    def run_lease_check(self) -> None:
        """Wakes waiting writes as soon as the lease has expired."""
        context = self.context
        while True:
            self.check_lease()
            now = context.clock.now()
            remaining_s = context.blackboard.lease.expires_at - now
            sleep(max(remaining_s, LEASE_CHECK_INTERVAL_S))

    def send_heartbeat(self, timeout_s: float, leaving: bool = False) -> None:
        """Sends one heartbeat and applies the reply.

        :param leaving: whether the process stops; the reply is then ignored.
        :raises ControlUnavailable: if no leader replied.
        """
        heartbeat = self._heartbeat(leaving)
        board = self.context.blackboard
        board.acknowledged_version = heartbeat.view_version
        sent_at = self.context.clock.now()
        reply = self.control.call_once(
            "/v1/heartbeat", heartbeat, HeartbeatReply, timeout_s
        )
        for status in heartbeat.announcements:
            if board.announcements.get(status.target_id) is status:
                del board.announcements[status.target_id]
        if not leaving:
            self.apply_reply(reply, sent_at)

    def release_lease(self) -> None:
        """Releases the lease and the connections of this proxy."""
        self.context.blackboard.lease.expires_at = 0.0
        try:
            self.send_heartbeat(RELEASE_TIMEOUT_S, leaving=True)
        except ControlUnavailable:
            return

    def apply_reply(self, reply: HeartbeatReply, sent_at: float) -> None:
        """Applies the lease, the quotas and a newer view or configuration.

        :param sent_at: when the heartbeat was sent, in seconds of the clock.
        """
        board = self.context.blackboard
        if reply.lease_ms > 0:
            lease_s = reply.lease_ms / 1000.0 * (1.0 - CLOCK_DRIFT)
            board.lease.expires_at = max(board.lease.expires_at, sent_at + lease_s)
        board.quotas = reply.quotas
        before = board.view
        revision = board.configuration.revision
        if install_newer(board, reply.view, reply.configuration):
            self._record_installed(before.version, revision)
            if self.leased_at is not None:
                add_new_terms(board, before, self.leased_at)
            self.context.pools.apply_view()
            self.context.handle_authority_change()
            self.heartbeat_due.notify()
        if reply.lease_ms > 0:
            self.leased_at = sent_at
            self.context.pools.frozen = set()
        self.context.pools.apply_quotas()
        self.check_lease()

    def check_lease(self) -> None:
        """Logs a lease that was granted or lost, and wakes waiting requests."""
        context = self.context
        has_lease = context.blackboard.lease.is_valid(context.clock.now())
        if has_lease is self.had_lease:
            return
        self.had_lease = has_lease
        if not has_lease:
            self._lower_quotas()
        event = EventName.lease_granted if has_lease else EventName.lease_lost
        record_event(event, view_version=context.blackboard.view.version)
        context.handle_authority_change()

    def _lower_quotas(self) -> None:
        """Lowers the quotas to the open connections, which are not replaced if closed.

        Control may have granted the rest to other proxies by now. Targets of this
        proxy's data centre keep their quota: when the data centre is isolated, no
        proxy of another one reaches them, and their replicas must stay readable.
        """
        board = self.context.blackboard
        self.context.pools.report()
        for target_id, quota in board.quotas.items():
            record = board.view.targets.get(target_id)
            if record is None or record.data_centre != board.identity.data_centre:
                board.quotas[target_id] = min(quota, board.held.get(target_id, 0))
                self.context.pools.frozen.add(target_id)
        self.context.pools.apply_quotas()

    def _heartbeat(self, leaving: bool) -> Heartbeat:
        board = self.context.blackboard
        identity = board.identity
        self.sequence += 1
        self.context.pools.report()
        return Heartbeat(
            proxy_id=identity.proxy_id,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            address=identity.address,
            view_version=board.view.version,
            revision=board.configuration.revision,
            announcements=list(board.announcements.values()),
            observations=self._observations(),
            held=board.held,
            demand=board.demand,
            leaving=leaving,
            sequence=self.sequence,
            quotas=board.quotas,
        )

    def _observations(self) -> list[TargetObservation]:
        board = self.context.blackboard
        now = self.context.clock.now()
        observations = []
        for target_id in board.view.targets:
            state = board.target_state(target_id)
            age_ms = -1
            if state.answered_at >= 0:
                age_ms = round((now - state.answered_at) * 1000)
            observations.append(TargetObservation(target_id, age_ms, state.status))
        return observations

    def _needs_heartbeat_now(self) -> bool:
        """Whether a new view or a leaving target must be reported at once."""
        board = self.context.blackboard
        return board.view.version > board.acknowledged_version or any(
            status.leaving for status in board.announcements.values()
        )

    def _is_newer(self, reply: WatchReply) -> bool:
        board = self.context.blackboard
        return (
            reply.view_version > board.view.version
            or reply.revision > board.configuration.revision
        )

    def _record_installed(self, view_version: int, revision: int) -> None:
        board = self.context.blackboard
        if board.view.version > view_version:
            record_event(EventName.view_in_force, view_version=board.view.version)
        if board.configuration.revision > revision:
            newest = board.configuration.revision
            record_event(EventName.revision_in_force, revision=newest)

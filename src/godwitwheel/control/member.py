"""One control member: its request handlers, and the controllers' loop."""

from collections.abc import Callable

from ..consensus.replicated import ReplicatedLog
from ..decisions.leadership import Leadership, LeadershipOptions
from ..internal.clock import Clock
from ..internal.loop import sleep, wait_for
from ..internal.signals import ChangeSignal
from ..observe.events import EventName, record_event
from ..targets.base import TargetAdmin
from ..wire.control import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Heartbeat,
    HeartbeatReply,
    InForce,
    OutcomeRecorded,
    Publish,
    PublishReply,
    PublishStatus,
    RecordOutcome,
    Watch,
    WatchReply,
)
from .commands import ClaimCommand, OutcomeCommand, PublishCommand
from .committer import Committer, LeadershipConfirmer
from .errors import NotLeading, StaleHeartbeat
from .executor import Executor
from .state import ControlState, claim_reply

MAX_DECISION_INTERVAL_S = 0.02
# Events that follow each other within this time are handled by one decision.
MIN_DECISION_INTERVAL_S = 0.003
CONFIRM_TIMEOUT_S = 0.2
COMMIT_TIMEOUT_S = 2.0
CLAIM_WAIT_S = 0.1
MAX_WATCH_S = 30.0


class Member:
    """Answers requests from the replicated state and drives the controllers.

    :ivar make_token_key: returns a random key in hexadecimal.
    :ivar leadership: soft state as leader; ``None`` while this member is not leader.
    :ivar state_changed: notified when the replicated state has changed.
    :ivar decision_needed: notified when the controllers may have something to do.
    :ivar heartbeats: number of heartbeats received while leading.
    """

    __slots__ = (
        "log",
        "state",
        "clock",
        "admin",
        "options",
        "make_token_key",
        "committer",
        "confirmer",
        "leadership",
        "executor",
        "state_changed",
        "decision_needed",
        "heartbeats",
    )

    def __init__(
        self,
        log: ReplicatedLog,
        state: ControlState,
        clock: Clock,
        admin: TargetAdmin,
        options: LeadershipOptions,
        make_token_key: Callable[[], str],
    ):
        self.log = log
        self.state = state
        self.clock = clock
        self.admin = admin
        self.options = options
        self.make_token_key = make_token_key
        self.committer = Committer(log)
        self.confirmer = LeadershipConfirmer(log)
        self.leadership: Leadership | None = None
        self.executor: Executor | None = None
        self.state_changed = ChangeSignal()
        self.decision_needed = ChangeSignal()
        self.heartbeats = 0
        state.on_applied = self._on_applied

    # The controllers' loop.

    def run_controllers(self) -> None:
        """Runs the controllers after every event.

        Without one, they run about every ``MAX_DECISION_INTERVAL_S``.
        """
        while True:
            awaited = self.decision_needed.event
            self.decide_once()
            sleep(MIN_DECISION_INTERVAL_S)
            wait_for(awaited, MAX_DECISION_INTERVAL_S)

    def decide_once(self) -> None:
        """Runs the controllers once if this member leads, and starts their actions."""
        leadership = self.current_leadership()
        if leadership is None:
            return
        now = self.clock.now()
        for action in leadership.decide(self.state.cluster, now):
            self.executor.start(action)

    def current_leadership(self) -> Leadership | None:
        """Returns the current leadership, beginning or ending it as needed."""
        since = self.log.leader_since()
        known = self.leadership
        if known is not None and known.leader_since == since:
            return known
        self.leadership = None
        if since is not None:
            self._begin_leadership(since)
        return self.leadership

    # Requests.

    def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Renews a lease.

        :raises NotLeading: if this member does not lead.
        :raises StaleHeartbeat: if a later heartbeat was received before this one.
        """
        received_at = self.clock.now()
        leadership = self._require_leadership()
        self.heartbeats += 1
        if not leadership.receive(heartbeat, self.state.cluster.view, received_at):
            raise StaleHeartbeat(heartbeat.proxy_id)
        self.decision_needed.notify()
        if heartbeat.leaving:
            return HeartbeatReply(0, self.state.cluster.view.version, 0)
        self.confirmer.confirm(CONFIRM_TIMEOUT_S)
        if self._require_leadership() is not leadership:
            raise NotLeading("the leadership changed")
        if not leadership.is_latest(heartbeat):
            raise StaleHeartbeat(heartbeat.proxy_id)
        return self._grant_lease(leadership, heartbeat, received_at)

    def watch(self, watch: Watch) -> WatchReply:
        """Returns once this member has a newer version, or after the timeout."""
        deadline = self.clock.now() + min(watch.timeout_ms / 1000.0, MAX_WATCH_S)
        while not self._has_newer(watch):
            remaining_s = deadline - self.clock.now()
            if remaining_s <= 0:
                break
            self.state_changed.wait(remaining_s)
        configuration = self.state.revisions.configuration
        return WatchReply(self.state.cluster.view.version, configuration.revision)

    def claim(self, claim: Claim) -> ClaimReply:
        """Claims an idempotency key.

        If another attempt holds the key, waits up to ``CLAIM_WAIT_S`` for its outcome.

        :raises NotLeading: if this member does not lead; nothing was claimed.
        :raises CommitOutcomeUnknown: if the claim may or may not be granted.
        """
        self._require_leadership()
        deadline = self.clock.now() + CLAIM_WAIT_S
        status, record = self.state.claims.peek(claim, self.clock.wall())
        while status is ClaimStatus.pending and self.clock.now() < deadline:
            self.state_changed.wait(deadline - self.clock.now())
            status, record = self.state.claims.peek(claim, self.clock.wall())
        if status is ClaimStatus.granted:
            command = ClaimCommand(claim, self.clock.wall())
            return self.committer.commit(command, ClaimReply, COMMIT_TIMEOUT_S)
        self.confirmer.confirm(CONFIRM_TIMEOUT_S)
        status, record = self.state.claims.peek(claim, self.clock.wall())
        if status is ClaimStatus.granted:
            # It was released meanwhile; the proxy retries.
            return ClaimReply(ClaimStatus.pending)
        return claim_reply(status, record)

    def record_outcome(self, outcome: RecordOutcome) -> OutcomeRecorded:
        """Records the outcome of an attempt.

        :raises NotLeading: if this member does not lead; nothing was recorded.
        :raises CommitOutcomeUnknown: if it may or may not be recorded.
        """
        self._require_leadership()
        command = OutcomeCommand(outcome, self.clock.wall())
        return self.committer.commit(command, OutcomeRecorded, COMMIT_TIMEOUT_S)

    def publish(self, publish: Publish) -> PublishReply:
        """Replaces the configuration.

        :raises NotLeading: if this member does not lead; nothing was published.
        :raises CommitOutcomeUnknown: if it may or may not be published.
        """
        self._require_leadership()
        command = PublishCommand(publish)
        reply = self.committer.commit(command, PublishReply, COMMIT_TIMEOUT_S)
        record_publish(publish, reply)
        return reply

    def in_force(self) -> InForce:
        """Returns the committed revision and the one that each proxy uses.

        :raises NotLeading: if this member does not lead.
        """
        leadership = self._require_leadership()
        self.confirmer.confirm(CONFIRM_TIMEOUT_S)
        revisions = self.state.revisions
        reports = leadership.observations.reports.values()
        return InForce(
            revisions.configuration.revision,
            revisions.publish_id,
            revisions.configuration.content_hash,
            {
                report.heartbeat.proxy_id: report.heartbeat.revision
                for report in reports
            },
        )

    def _require_leadership(self) -> Leadership:
        leadership = self.current_leadership()
        if leadership is None:
            raise NotLeading("this member does not lead")
        return leadership

    def _begin_leadership(self, since: float) -> None:
        view = self.state.cluster.view
        leadership = Leadership(since, self.options, self.make_token_key(), view)
        self.leadership = leadership
        self.executor = Executor(
            leadership,
            self.state,
            self.committer,
            self.admin,
            self.decision_needed.notify,
        )

    def _grant_lease(
        self, leadership: Leadership, heartbeat: Heartbeat, received_at: float
    ) -> HeartbeatReply:
        view = self.state.cluster.view
        configuration = self.state.revisions.configuration
        quotas = leadership.grant(heartbeat, received_at, view, self.clock.now())
        has_view = heartbeat.view_version >= view.version
        has_configuration = heartbeat.revision >= configuration.revision
        return HeartbeatReply(
            lease_ms=round(self.options.lease_s * 1000),
            view_version=view.version,
            revision=configuration.revision,
            view=None if has_view else view,
            configuration=None if has_configuration else configuration,
            quotas=quotas,
        )

    def _has_newer(self, watch: Watch) -> bool:
        return (
            self.state.cluster.view.version > watch.view_version
            or self.state.revisions.configuration.revision > watch.revision
        )

    def _on_applied(self) -> None:
        self.state_changed.notify()
        self.decision_needed.notify()


def record_publish(publish: Publish, reply: PublishReply) -> None:
    """Logs the result of a publish."""
    if reply.status is PublishStatus.accepted:
        record_event(
            EventName.revision_published,
            revision=reply.revision,
            publish_id=publish.publish_id,
        )
    elif reply.status is PublishStatus.conflict:
        record_event(
            EventName.publish_conflict,
            revision=reply.revision,
            publish_id=publish.publish_id,
            winner=reply.winner,
        )

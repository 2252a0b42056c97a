"""An in-process control member that is always the leader."""

from godwitwheel.internal.loop import sleep
from godwitwheel.wire.caller import CallerAnswer, Outcome
from godwitwheel.wire.codec import decode
from godwitwheel.wire.control import (
    Claim,
    ClaimReply,
    ClaimStatus,
    ClusterView,
    Heartbeat,
    HeartbeatReply,
    OutcomeRecorded,
    RecordOutcome,
    Watch,
    WatchReply,
)
from godwitwheel.wire.server import Request, Response
from godwitwheel.wire.service import Configuration

WATCH_POLL_S = 0.01


class FakeControl:
    """Grants the lease and quotas that the test sets; keeps claims as a real member.

    :ivar heartbeats: every heartbeat received.
    :ivar holders: the claim that holds each key.
    :ivar outcomes: the recorded answer of each key.
    """

    def __init__(self, view: ClusterView, configuration: Configuration):
        self.view = view
        self.configuration = configuration
        self.lease_ms = 600
        self.quotas: dict[str, int] = {}
        self.heartbeats: list[Heartbeat] = []
        self.holders: dict[str, Claim] = {}
        self.outcomes: dict[str, CallerAnswer] = {}

    def routes(self) -> dict:
        """Returns the table of routes."""
        return {
            ("POST", "/v1/heartbeat"): self.heartbeat,
            ("POST", "/v1/watch"): self.watch,
            ("POST", "/v1/claim"): self.claim,
            ("POST", "/v1/outcome"): self.outcome,
        }

    def heartbeat(self, request: Request) -> Response:
        heartbeat = decode(request.body, Heartbeat)
        self.heartbeats.append(heartbeat)
        is_old = heartbeat.view_version < self.view.version
        is_behind = heartbeat.revision < self.configuration.revision
        return Response(
            HeartbeatReply(
                self.lease_ms,
                self.view.version,
                self.configuration.revision,
                self.view if is_old else None,
                self.configuration if is_behind else None,
                self.quotas,
            )
        )

    def watch(self, request: Request) -> Response:
        watch = decode(request.body, Watch)
        while watch.view_version >= self.view.version:
            sleep(WATCH_POLL_S)
        return Response(WatchReply(self.view.version, self.configuration.revision))

    def claim(self, request: Request) -> Response:
        claim = decode(request.body, Claim)
        holder = self.holders.setdefault(claim.key, claim)
        if holder.digest != claim.digest:
            return Response(ClaimReply(ClaimStatus.mismatch))
        if claim.key in self.outcomes:
            answer = self.outcomes[claim.key]
            return Response(ClaimReply(ClaimStatus.recorded, answer))
        is_granted = holder.attempt == claim.attempt
        status = ClaimStatus.granted if is_granted else ClaimStatus.pending
        return Response(ClaimReply(status))

    def outcome(self, request: Request) -> Response:
        outcome = decode(request.body, RecordOutcome)
        holder = self.holders.get(outcome.key)
        if holder is None or holder.attempt != outcome.attempt:
            return Response(OutcomeRecorded(False))
        if outcome.answer.outcome is Outcome.not_run:
            del self.holders[outcome.key]
        else:
            self.outcomes[outcome.key] = outcome.answer
        return Response(OutcomeRecorded(True))

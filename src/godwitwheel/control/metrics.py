"""Metrics of a control member."""

from ..observe.metrics import SampledMetrics
from .member import Member


class MemberMetrics(SampledMetrics):
    """Samples a member's metrics when they are scraped."""

    __slots__ = ("member",)

    descriptions = {
        "leading": "1 while this member leads.",
        "heartbeats": "Heartbeats taken since the start.",
        "read_rounds": "Quorum rounds that confirmed the leadership.",
        "commands": "Commands committed here as leader.",
        "batches": "Log entries that carried them.",
        "live_proxies": "Proxies with a valid lease.",
        "view_version": "Version of the committed view.",
        "revision": "Revision of the committed configuration.",
        "claims": "Idempotency keys remembered.",
        "claim_answer_bytes": "Size of the recorded answers, in bytes.",
    }

    def __init__(self, member_id: str, member: Member):
        super().__init__(member_id, "control")
        self.member = member

    def values(self) -> dict[str, float]:
        member = self.member
        leadership = member.leadership
        live = leadership.leases.live(member.clock.now()) if leadership else []
        return {
            "leading": int(leadership is not None),
            "heartbeats": member.heartbeats,
            "read_rounds": member.confirmer.rounds,
            "commands": member.committer.committed,
            "batches": member.committer.batches,
            "live_proxies": len(live),
            "view_version": member.state.cluster.view.version,
            "revision": member.state.revisions.configuration.revision,
            "claims": len(member.state.claims.records),
            "claim_answer_bytes": member.state.claims.answer_bytes,
        }

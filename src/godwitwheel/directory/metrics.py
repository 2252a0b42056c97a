"""Metrics of a directory member."""

from ..observe.metrics import SampledMetrics, label_value
from .member import DirectoryMember


class DirectoryMetrics(SampledMetrics):
    """Samples a member's metrics when they are scraped.

    :ivar shown_builds: builds that have been rendered; one that is gone becomes 0.
    """

    __slots__ = ("member", "processes_by_build", "shown_builds")

    descriptions = {
        "leading": "1 while this member leads.",
        "term": "Term of the replicated log.",
        "voters": "Members that vote.",
        "commands": "Commands committed here as leader.",
        "read_rounds": "Quorum rounds that confirmed the leadership.",
        "proxies": "Proxies that reported lately.",
        "directory_version": "Version of the committed directory.",
        "table_version": "Version of the routing table in force.",
        "targets": "Targets in the directory.",
    }

    def __init__(self, member_id: str, member: DirectoryMember):
        super().__init__(member_id, "control")
        self.member = member
        self.shown_builds: set[str] = set()
        self.processes_by_build = self.gauge(
            "processes_by_build", "Processes that run each build, at the leader."
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        found = {}
        if self.member.leadership is not None:
            found = self.member.builds.processes_by_build(self.member.clock.now())
        self.shown_builds.update(found)
        for build in self.shown_builds:
            labels = {"build": label_value(build)}
            self.processes_by_build.set(labels, len(found.get(build, [])))
        return super().render()

    def values(self) -> dict[str, float]:
        member = self.member
        view = member.state.directory.view
        leadership = member.leadership
        return {
            "leading": int(leadership is not None),
            "term": member.log.term(),
            "voters": member.log.voter_count(),
            "commands": member.committer.committed,
            "read_rounds": member.confirmer.rounds,
            "proxies": len(leadership.reports) if leadership is not None else 0,
            "directory_version": view.version,
            "table_version": view.table.version,
            "targets": len(view.targets),
        }

"""Which builds the processes of a fleet run, as the leader has heard of them."""

from .report_timing import BUILD_EXPIRY_S


class ReportedBuild:
    """The build that a process reported, and when it did so last."""

    __slots__ = ("build", "received_at")

    def __init__(self, build: str, received_at: float):
        self.build = build
        self.received_at = received_at


class FleetBuilds:
    """The builds of all processes that reported to this member lately.

    :ivar reported: by process id.
    :ivar announced: process ids by build when :meth:`take_change` returned them last.
    """

    __slots__ = ("reported", "announced")

    def __init__(self):
        self.reported: dict[str, ReportedBuild] = {}
        self.announced: dict[str, list[str]] = {}

    def record(self, process_id: str, build: str, now: float) -> None:
        """Records a report of a process's build; an empty one says nothing."""
        if build:
            self.reported[process_id] = ReportedBuild(build, now)

    def processes_by_build(self, now: float) -> dict[str, list[str]]:
        """Returns the sorted ids of the processes that run each build."""
        found: dict[str, list[str]] = {}
        for process_id in sorted(self.reported):
            known = self.reported[process_id]
            if now - known.received_at > BUILD_EXPIRY_S:
                del self.reported[process_id]
            else:
                found.setdefault(known.build, []).append(process_id)
        return found

    def take_change(self, now: float) -> dict[str, list[str]] | None:
        """Returns the processes of each build if the builds in use have changed."""
        found = self.processes_by_build(now)
        if found.keys() == self.announced.keys():
            return None
        self.announced = found
        return found

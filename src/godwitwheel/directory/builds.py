"""Which builds the processes of a fleet run, as the leader has heard of them."""

from .report_timing import BUILD_EXPIRY_S, BUILD_REPORT_INTERVAL_S


class BuildNotice:
    """When this process last told a leader what it runs.

    :ivar given_at: in seconds of the clock, or ``None`` if it never did.
    """

    __slots__ = ("given_at",)

    def __init__(self):
        self.given_at: float | None = None

    def is_due(self, now: float) -> bool:
        """Whether the leader is to be told again."""
        given_at = self.given_at
        return given_at is None or now - given_at >= BUILD_REPORT_INTERVAL_S

    def record(self, now: float) -> None:
        """Records that the leader was told."""
        self.given_at = now


class ReportedBuild:
    """The build that a process reported, and when it did so last."""

    __slots__ = ("build", "received_at")

    def __init__(self, build: str, received_at: float):
        self.build = build
        self.received_at = received_at


class FleetBuilds:
    """The builds of all processes that reported to this member lately.

    :ivar reported: by process id.
    :ivar announced: the builds that :meth:`take_change` returned last.
    """

    __slots__ = ("reported", "announced")

    def __init__(self):
        self.reported: dict[str, ReportedBuild] = {}
        self.announced: set[str] = set()

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
        if found.keys() == self.announced:
            return None
        self.announced = set(found)
        return found

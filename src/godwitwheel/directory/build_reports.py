"""Tells the leader what each member runs, and operators where that differs."""

from ..internal.loop import sleep
from ..observe.build import running_build
from ..observe.events import EventName, record_event
from ..wire.client import Client
from ..wire.codec import encode
from ..wire.errors import WireError
from ..wire.status import NOT_FOUND
from .builds import BuildNotice
from .member import DirectoryMember
from .report_timing import REPORT_TIMEOUT_S
from .routes import BUILD_PATH, BuildReport

# Interval at which the leader compares the builds, in seconds.
COMPARISON_INTERVAL_S = 1.0
# Processes of a build that an event names; the metric counts all of them.
MAX_NAMED_PROCESSES = 5


class BuildReporter:
    """Reports this member's build while it follows, and compares all while it leads.

    :ivar notice: when the leader was last told what this member runs.
    """

    __slots__ = ("member", "client", "process_id", "notice")

    def __init__(self, member: DirectoryMember, client: Client, process_id: str):
        self.member = member
        self.client = client
        self.process_id = process_id
        self.notice = BuildNotice()

    def run(self) -> None:
        """Reports and compares until the process stops."""
        while True:
            sleep(COMPARISON_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Compares the builds as leader, or reports this member's if that is due."""
        now = self.member.clock.now()
        if self.member.log.leader_since() is not None:
            self._compare(now)
        elif self.notice.is_due(now):
            self._report(now)

    def _compare(self, now: float) -> None:
        builds = self.member.builds
        builds.record(self.process_id, running_build().summary(), now)
        changed = builds.take_change(now)
        if changed is not None:
            record_event(
                EventName.builds_changed,
                differ=len(changed) > 1,
                processes={name: len(ids) for name, ids in changed.items()},
                examples={
                    name: ids[:MAX_NAMED_PROCESSES] for name, ids in changed.items()
                },
            )

    def _report(self, now: float) -> None:
        address = self.member.log.leader_address()
        if not address:
            return
        body = encode(BuildReport(self.process_id, running_build().summary()))
        try:
            status, _ = self.client.exchange(
                address, "POST", BUILD_PATH, body, REPORT_TIMEOUT_S
            )
        except WireError:
            # The link to the leader is watched by the replicated log.
            return
        # A leader of an earlier version has no such route.
        if status in (200, NOT_FOUND):
            self.notice.record(now)

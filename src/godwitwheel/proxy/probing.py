"""Probes every target of the view at a fixed interval."""

from ..internal.loop import Task, keep_running, sleep, spawn
from ..observe.events import record_failure
from .positions import PositionTracker

RECONCILE_INTERVAL_S = 0.05


class Prober:
    """Runs one probing task for each target; as a context manager, kills them on exit.

    :ivar interval_s: time between probes of one target, in seconds.
    """

    __slots__ = ("positions", "interval_s", "tasks")

    def __init__(self, positions: PositionTracker, interval_s: float):
        self.positions = positions
        self.interval_s = interval_s
        self.tasks: dict[str, Task] = {}

    def __enter__(self) -> "Prober":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self.tasks.values():
            task.kill()

    def run(self) -> None:
        """Starts and kills tasks as targets are added to and removed from the view."""
        blackboard = self.positions.context.blackboard
        while True:
            known = blackboard.view.targets
            for target_id in known.keys() - self.tasks.keys():
                self.tasks[target_id] = spawn(
                    keep_running, self._probe_regularly, record_failure, target_id
                )
            for target_id in self.tasks.keys() - known.keys():
                self.tasks.pop(target_id).kill()
                blackboard.targets.pop(target_id, None)
            sleep(RECONCILE_INTERVAL_S)

    def _probe_regularly(self, target_id: str) -> None:
        clock = self.positions.context.clock
        while True:
            sent_at = clock.now()
            self.positions.probe(target_id)
            sleep(max(sent_at + self.interval_s - clock.now(), 0.0))

"""Asks each service's primary for its position, and looks for a primary that moved."""

from ..directory.records import TargetEntry
from ..internal.loop import Task, sleep, spawn
from .attempts import (
    borrow,
    exchange,
    give_back,
    mark_leading,
    mark_not_leading,
)
from .connection import Begin, Rollback
from .context import SessionContext, SessionState
from .errors import ConnectionLost
from .statements import ErrorCode

# Traffic that proves the lead this often makes a question of our own unnecessary.
SAMPLE_INTERVAL_S = 0.15
# Time between two searches while no target has proved to lead.
SEARCH_INTERVAL_S = 0.06
# A question costs only the way, so a longer silence means a dead target or path.
ANSWER_TIMEOUT_S = 0.2
LOWEST_PRIORITY = 99


class Sampler:
    """Keeps one task for each service.

    :ivar tasks: running tasks by service.
    :ivar asking: targets that are being asked now.
    """

    __slots__ = ("context", "tasks", "asking")

    def __init__(self, context: SessionContext):
        self.context = context
        self.tasks: dict[str, Task] = {}
        self.asking: set[str] = set()

    def run(self) -> None:
        """Follows the services of the present view."""
        board = self.context.board
        while True:
            services = {s for s in board.view.table.services if board.uses_targets(s)}
            for service in services - set(self.tasks):
                self.tasks[service] = spawn(self._follow, service)
            board.changed.wait(SAMPLE_INTERVAL_S)

    def _follow(self, service: str) -> None:
        try:
            while self._is_followed(service):
                sleep(self.sample(service))
        finally:
            # The next round starts it again if the service is still there.
            self.tasks.pop(service, None)

    def _is_followed(self, service: str) -> bool:
        board = self.context.board
        is_known = service in board.view.table.services
        return is_known and board.uses_targets(service)

    def sample(self, service: str) -> float:
        """Asks what is due.

        :returns: the time until the next call, in seconds.
        """
        board = self.context.board
        belief = board.belief(service)
        if belief.asked_at is None:
            belief.asked_at = board.clock.now()
        age_s = None
        if belief.proved_at is not None:
            age_s = board.clock.now() - belief.proved_at
        if age_s is not None and age_s < SAMPLE_INTERVAL_S:
            return SAMPLE_INTERVAL_S - age_s + 0.01
        primary = board.view.targets.get(belief.target_id)
        if primary is not None and age_s is not None:
            if not self.ask(primary):
                belief.proved_at = None
                board.changed.notify()
            return 0.0
        for target in board.targets_of(service):
            if target.target_id not in self.asking:
                spawn(self._ask_once, target)
        return SEARCH_INTERVAL_S

    def _ask_once(self, target: TargetEntry) -> None:
        self.asking.add(target.target_id)
        try:
            self.ask(target)
        finally:
            self.asking.discard(target.target_id)

    def ask(self, target: TargetEntry) -> bool:
        """Asks a target to begin a transaction, which only a primary does.

        :returns: whether it leads.
        """
        context = self.context
        state = SessionState("sampler", "")
        pooled = borrow(context, target, state, LOWEST_PRIORITY, ANSWER_TIMEOUT_S)
        if pooled is None:
            return False
        asked_at = context.now()
        try:
            commands = [Begin(), Rollback()]
            answers = exchange(context, pooled, commands, ANSWER_TIMEOUT_S)
        except ConnectionLost:
            return False
        finally:
            give_back(pooled)
        if answers[0].error is None:
            mark_leading(context, target, asked_at, answers[0].position)
            return True
        if answers[0].error is ErrorCode.read_only:
            mark_not_leading(context, target)
        return False

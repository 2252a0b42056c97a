"""Serves reads: chooses a target, runs the statements there, checks the reply."""

from ..decisions.routing import (
    ReadRequirements,
    RouteProblem,
    eligible_for_read,
    least_loaded_of_two,
    read_requirements,
    reply_includes_floor,
)
from ..internal.sentinel import Refusal
from ..targets.errors import MayHaveRun, NotRun, Overloaded, Refused
from ..wire.caller import CallerAnswer, Reason
from ..wire.service import Access
from ..wire.target import ProblemCode
from .answers import ROUTE_REASONS, done, not_run, unknown
from .context import ProxyContext
from .errors import RequestEnded
from .positions import PositionTracker
from .statements import ExecutedStatements, StatementRunner
from .work import Work

MAX_FAILOVER_WAIT_S = 2.0
CHANGE_POLL_S = 0.05


class ReadExecutor:
    """Runs reads; may try several targets within the deadline."""

    __slots__ = ("context", "positions")

    def __init__(self, context: ProxyContext, positions: PositionTracker):
        self.context = context
        self.positions = positions

    def run(self, work: Work) -> CallerAnswer:
        """Runs a read and returns its answer."""
        requirements = read_requirements(
            work.rule.group, work.session, work.rule.max_staleness_ms
        )
        tried: set[str] = set()
        last_answer = not_run(Reason.overloaded)
        self.context.retry_budget.record_request()
        try:
            while True:
                target_id = self._choose_target(requirements, work, tried, last_answer)
                tried.add(target_id)
                answer = self._try_at(target_id, requirements, work)
                if _is_final(answer):
                    return answer
                last_answer = answer
                if not self.context.retry_budget.spend():
                    return last_answer
        except RequestEnded as ended:
            return ended.answer

    def _choose_target(
        self,
        requirements: ReadRequirements,
        work: Work,
        tried: set[str],
        last_answer: CallerAnswer,
    ) -> str:
        clock = self.context.clock
        failover_deadline = min(work.deadline, clock.now() + MAX_FAILOVER_WAIT_S)
        while True:
            now = clock.now()
            eligible = eligible_for_read(requirements, self.context.blackboard, now)
            if eligible:
                untried = [name for name in eligible if name not in tried]
                if not untried:
                    raise RequestEnded(last_answer)
                return self._least_loaded(untried)
            if now >= failover_deadline or not self._should_wait(eligible, now):
                raise RequestEnded(_route_refusal(eligible, tried, last_answer))
            self.context.signals.of(requirements.group).wait(
                min(failover_deadline - now, CHANGE_POLL_S)
            )

    def _should_wait(self, refusal: Refusal, now: float) -> bool:
        if refusal.reason is RouteProblem.unknown_group:
            return False
        # Without a lease this data centre may be isolated for long.
        return self.context.blackboard.lease.is_valid(now)

    def _least_loaded(self, eligible: list[str]) -> str:
        board = self.context.blackboard

        def is_near(target_id: str) -> bool:
            record = board.view.targets[target_id]
            return record.data_centre == board.identity.data_centre

        return least_loaded_of_two(
            eligible, self.context.pools.load, is_near, self.context.rng
        )

    def _try_at(
        self, target_id: str, requirements: ReadRequirements, work: Work
    ) -> CallerAnswer:
        try:
            ran = self._run_at(target_id, work)
        except Overloaded as error:
            return not_run(Reason.overloaded, str(error), error.retry_after_s)
        except Refused as error:
            return _statement_refusal(error)
        except MayHaveRun as error:
            if self._is_past_deadline(work):
                return unknown(Reason.deadline, str(error))
            return unknown(Reason.connection_lost, str(error))
        except NotRun as error:
            reason = (
                Reason.deadline
                if self._is_past_deadline(work)
                else Reason.connection_lost
            )
            return not_run(reason, str(error))
        self.positions.record_reply(target_id, ran.seen, ran.sent_at)
        view = self.context.blackboard.view.groups.get(requirements.group)
        if view is None or not reply_includes_floor(requirements, ran.seen, view):
            return unknown(Reason.no_fresh_replica, f"{target_id} is behind")
        from_replica = target_id != view.primary
        self.context.metrics.record_read(from_replica)
        return done(ran.replies, target_id, from_replica)

    def _run_at(self, target_id: str, work: Work) -> ExecutedStatements:
        pool = self.context.pools.of(target_id)
        acquired_connection = pool.connection(
            work.service.name, Access.read, work.deadline
        )
        with acquired_connection as connection:
            runner = StatementRunner(
                work, connection, pool.admission, self.context.clock
            )
            return runner.run()

    def _is_past_deadline(self, work: Work) -> bool:
        return work.remaining_s(self.context.clock.now()) <= 0


def _statement_refusal(error: Refused) -> CallerAnswer:
    if error.code in (ProblemCode.statement_failed, ProblemCode.bad_request):
        return not_run(Reason.statement_failed, error.message)
    return not_run(Reason.connection_lost, str(error))


def _route_refusal(
    refusal: Refusal, tried: set[str], last_answer: CallerAnswer
) -> CallerAnswer:
    if tried:
        return last_answer
    return not_run(ROUTE_REASONS[refusal.reason], refusal.detail)


def _is_final(answer: CallerAnswer) -> bool:
    if answer.reason is None:
        return True
    return answer.reason in (Reason.statement_failed, Reason.deadline)

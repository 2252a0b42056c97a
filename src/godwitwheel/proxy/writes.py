"""Runs writes at the primary and answers once they are safe."""

from ..decisions.acknowledgement import (
    AnsweredWrite,
    Verdict,
    judge_authority,
    judge_write,
    missing_holders,
)
from ..decisions.routing import RouteProblem, route_write
from ..decisions.sessions import record_write
from ..internal.sentinel import Refusal
from ..targets.errors import Overloaded, Refused, TargetError, Unreachable
from ..wire.caller import CallerAnswer, Outcome, Reason
from ..wire.control import GroupView
from ..wire.service import Access
from ..wire.target import ProblemCode
from .answers import ROUTE_REASONS, done, not_run, unknown, with_session
from .context import ProxyContext
from .errors import Interrupted, RequestEnded
from .in_flight import VERDICT_REASONS
from .positions import PositionKeeper
from .statements import RanStatements, StatementRunner
from .work import Work

MAX_FAILOVER_WAIT_S = 2.0
MAX_WAITING_FOR_PRIMARY = 512
RETRY_PAUSE_S = 0.05
RETRIED_REASONS = (
    Reason.connection_lost,
    Reason.primary_replaced,
    Reason.no_lease,
)
STATEMENT_PROBLEMS = (ProblemCode.statement_failed, ProblemCode.bad_request)


class WriteExecutor:
    """Runs writes that need no claim, or whose claim was granted.

    :ivar waiting: writes that wait for a primary.
    """

    __slots__ = ("context", "positions", "waiting")

    def __init__(self, context: ProxyContext, positions: PositionKeeper):
        self.context = context
        self.positions = positions
        self.waiting = 0

    def run(self, work: Work) -> CallerAnswer:
        """Returns the one answer to a write.

        ``not_run`` only if no attempt may have reached a target.
        """
        self.context.retry_budget.record_request()
        until = self.context.clock.now() + MAX_FAILOVER_WAIT_S
        while True:
            answer = self._attempt(work, min(until, work.deadline))
            if answer.outcome is Outcome.unknown:
                work.doubt = answer.reason
            elif answer.outcome is Outcome.not_run and work.doubt is not None:
                answer = unknown(work.doubt, answer.message)
            if not self._may_retry(work, answer, until):
                return answer
            self.context.signals.of(work.rule.group).wait(RETRY_PAUSE_S)

    def _may_retry(self, work: Work, answer: CallerAnswer, until: float) -> bool:
        if answer.outcome is Outcome.unknown and not work.rule.repeatable:
            return False
        if answer.reason not in RETRIED_REASONS:
            return False
        if self.context.clock.now() + RETRY_PAUSE_S >= min(until, work.deadline):
            return False
        return self.context.retry_budget.spend()

    def _attempt(self, work: Work, until: float) -> CallerAnswer:
        work.may_have_run = False
        try:
            return self._run_reachable(work, until)
        except RequestEnded as ended:
            return ended.answer
        except Interrupted as error:
            if work.may_have_run:
                return unknown(error.reason, "interrupted")
            return not_run(Reason.primary_replaced, "interrupted")
        except Overloaded as error:
            return not_run(Reason.overloaded, str(error), error.retry_after_s)
        except TargetError as error:
            return self._failed(work, error)

    def _run_reachable(self, work: Work, until: float) -> CallerAnswer:
        """Runs it once a primary lets a connection open.

        A primary that can't be reached is one that is about to be replaced.
        """
        while True:
            primary = self._await_primary(work, until)
            try:
                return self._run_at(primary, work)
            except Unreachable as error:
                if self.context.clock.now() + RETRY_PAUSE_S >= until:
                    raise RequestEnded(
                        not_run(Reason.no_primary, str(error))
                    ) from error
                self._wait(work.rule.group, RETRY_PAUSE_S)

    def _failed(self, work: Work, error: TargetError) -> CallerAnswer:
        is_over = work.remaining_s(self.context.clock.now()) <= 0
        reason = Reason.deadline if is_over else Reason.connection_lost
        if isinstance(error, Refused) and error.code in STATEMENT_PROBLEMS:
            reason = Reason.statement_failed
        if work.may_have_run:
            return unknown(reason, str(error))
        return not_run(reason, str(error))

    def _await_primary(self, work: Work, until: float) -> str:
        """Returns the primary, waiting for a failover if need be.

        :raises RequestEnded: if there is none soon enough.
        """
        group = work.rule.group
        board = self.context.blackboard
        while True:
            now = self.context.clock.now()
            primary = route_write(group, board, now)
            if primary:
                return primary
            limit = until
            if primary.reason is RouteProblem.no_lease:
                # A data centre that is cut off for long is told so at once.
                limit = min(until, board.lease.expires_at + MAX_FAILOVER_WAIT_S)
            if now >= limit or primary.reason is RouteProblem.unknown_group:
                raise RequestEnded(_refused_route(primary))
            self._wait(group, limit - now)

    def _wait(self, group: str, seconds: float) -> None:
        if self.waiting >= MAX_WAITING_FOR_PRIMARY:
            raise RequestEnded(not_run(Reason.no_primary, "too many writes wait"))
        self.waiting += 1
        try:
            self.context.signals.of(group).wait(seconds)
        finally:
            self.waiting -= 1

    def _run_at(self, primary: str, work: Work) -> CallerAnswer:
        context = self.context
        group = work.rule.group
        term = context.blackboard.view.groups[group].term
        pool = context.pools.of(primary)
        lent = pool.connection(work.service.name, Access.write, work.deadline)
        with context.in_flight.dispatched(group, term), lent as connection:
            self._check_authority(group, term)
            runner = StatementRunner(work, connection, pool.gate, context.clock)
            ran = runner.run()
        self.positions.take_reply(primary, ran.seen, ran.sent_at)
        return self._await_holders(work, AnsweredWrite(primary, term, ran.seen), ran)

    def _check_authority(self, group: str, term: int) -> None:
        """The wait for a connection may have outlasted the lease or the term."""
        board = self.context.blackboard
        view = board.view.groups.get(group)
        now = self.context.clock.now()
        if view is None or judge_authority(term, view, board.lease, now) is not None:
            raise RequestEnded(not_run(Reason.primary_replaced))

    def _await_holders(
        self, work: Work, write: AnsweredWrite, ran: RanStatements
    ) -> CallerAnswer:
        context = self.context
        group = work.rule.group
        while True:
            now = context.clock.now()
            view = context.blackboard.view.groups.get(group)
            verdict = Verdict.primary_replaced
            if view is not None:
                positions = self.positions.positions(view)
                lease = context.blackboard.lease
                verdict = judge_write(write, view, lease, positions, now)
            if verdict is Verdict.acknowledge:
                work.session = record_write(work.session, group, write.written)
                answer = done(ran.replies, write.target_id, False)
                return with_session(answer, work.session, context.blackboard)
            if verdict is not Verdict.wait:
                return unknown(VERDICT_REASONS[verdict], "not yet on enough targets")
            if now >= work.deadline:
                return unknown(Reason.deadline, "not yet on enough targets")
            self._want_holders(work, write, view)
            context.signals.of(group).wait(work.deadline - now)

    def _want_holders(self, work: Work, write: AnsweredWrite, view: GroupView) -> None:
        positions = self.positions.positions(view)
        for target_id in missing_holders(write, view, positions):
            self.positions.want(target_id, write.written, work.deadline)


def _refused_route(refusal: Refusal) -> CallerAnswer:
    return not_run(ROUTE_REASONS[refusal.reason], refusal.detail)

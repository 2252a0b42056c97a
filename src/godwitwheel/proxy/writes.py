"""Runs writes at the primary and answers once the acknowledgement set has them."""

from ..decisions.acknowledgement import (
    AckDecision,
    AnsweredWrite,
    authority_loss,
    check_acknowledgement,
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
from .in_flight import DECISION_REASONS
from .positions import PositionTracker
from .statements import ExecutedStatements, StatementRunner
from .work import Work

MAX_FAILOVER_WAIT_S = 2.0
MAX_WAITING_FOR_PRIMARY = 512
RETRY_DELAY_S = 0.05
RETRYABLE_REASONS = (
    Reason.connection_lost,
    Reason.primary_replaced,
    Reason.no_lease,
)
STATEMENT_PROBLEMS = (ProblemCode.statement_failed, ProblemCode.bad_request)


class WriteExecutor:
    """Runs writes that need no claim, or whose claim was granted.

    :ivar waiting: number of writes that wait for a primary.
    """

    __slots__ = ("context", "positions", "waiting")

    def __init__(self, context: ProxyContext, positions: PositionTracker):
        self.context = context
        self.positions = positions
        self.waiting = 0

    def run(self, work: Work) -> CallerAnswer:
        """Runs a write, with retries, and returns its answer.

        The outcome is ``not_run`` only if no attempt may have reached a target.
        """
        self.context.retry_budget.record_request()
        failover_deadline = self.context.clock.now() + MAX_FAILOVER_WAIT_S
        while True:
            answer = self._attempt(work, min(failover_deadline, work.deadline))
            if answer.outcome is Outcome.unknown:
                work.unknown_outcome_reason = answer.reason
            elif (
                answer.outcome is Outcome.not_run
                and work.unknown_outcome_reason is not None
            ):
                answer = unknown(work.unknown_outcome_reason, answer.message)
            if not self._may_retry(work, answer, failover_deadline):
                return answer
            self.context.signals.of(work.rule.group).wait(RETRY_DELAY_S)

    def _may_retry(
        self, work: Work, answer: CallerAnswer, failover_deadline: float
    ) -> bool:
        if answer.outcome is Outcome.unknown and not work.rule.repeatable:
            return False
        if answer.reason not in RETRYABLE_REASONS:
            return False
        if self.context.clock.now() + RETRY_DELAY_S >= min(
            failover_deadline, work.deadline
        ):
            return False
        return self.context.retry_budget.spend()

    def _attempt(self, work: Work, failover_deadline: float) -> CallerAnswer:
        work.may_have_run = False
        try:
            return self._run_at_primary(work, failover_deadline)
        except RequestEnded as ended:
            return ended.answer
        except Interrupted as error:
            if work.may_have_run:
                return unknown(error.reason, "interrupted")
            return not_run(Reason.primary_replaced, "interrupted")
        except Overloaded as error:
            return not_run(Reason.overloaded, str(error), error.retry_after_s)
        except TargetError as error:
            return self._error_answer(work, error)

    def _run_at_primary(self, work: Work, failover_deadline: float) -> CallerAnswer:
        """Runs the write at the primary; retries while no connection can be opened.

        A primary that can't be reached is expected to be replaced soon.
        """
        while True:
            primary = self._await_primary(work, failover_deadline)
            try:
                return self._run_at(primary, work)
            except Unreachable as error:
                if self.context.clock.now() + RETRY_DELAY_S >= failover_deadline:
                    raise RequestEnded(
                        not_run(Reason.no_primary, str(error))
                    ) from error
                self._wait(work.rule.group, RETRY_DELAY_S)

    def _error_answer(self, work: Work, error: TargetError) -> CallerAnswer:
        is_past_deadline = work.remaining_s(self.context.clock.now()) <= 0
        reason = Reason.deadline if is_past_deadline else Reason.connection_lost
        if isinstance(error, Refused) and error.code in STATEMENT_PROBLEMS:
            reason = Reason.statement_failed
        if work.may_have_run:
            return unknown(reason, str(error))
        return not_run(reason, str(error))

    def _await_primary(self, work: Work, failover_deadline: float) -> str:
        """Returns the primary; waits for a failover if the group has none.

        :raises RequestEnded: if no primary is available in time.
        """
        group = work.rule.group
        board = self.context.blackboard
        while True:
            now = self.context.clock.now()
            primary = route_write(group, board, now)
            if primary:
                return primary
            wait_deadline = failover_deadline
            if primary.reason is RouteProblem.no_lease:
                # Callers in a data centre that is isolated for long are answered
                # at once.
                wait_deadline = min(
                    failover_deadline, board.lease.expires_at + MAX_FAILOVER_WAIT_S
                )
            if now >= wait_deadline or primary.reason is RouteProblem.unknown_group:
                raise RequestEnded(_route_refusal(primary))
            self._wait(group, wait_deadline - now)

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
        acquired_connection = pool.connection(
            work.service.name, Access.write, work.deadline
        )
        with (
            context.in_flight.dispatched(group, term),
            acquired_connection as connection,
        ):
            self._check_authority(group, term)
            runner = StatementRunner(work, connection, pool.admission, context.clock)
            ran = runner.run()
        self.positions.record_reply(primary, ran.seen, ran.sent_at)
        return self._await_acknowledgement(
            work, AnsweredWrite(primary, term, ran.seen), ran
        )

    def _check_authority(self, group: str, term: int) -> None:
        """Checks the lease and the term again after the wait for a connection.

        :raises RequestEnded: if the write may no longer be acknowledged.
        """
        board = self.context.blackboard
        view = board.view.groups.get(group)
        now = self.context.clock.now()
        if view is None or authority_loss(term, view, board.lease, now) is not None:
            raise RequestEnded(not_run(Reason.primary_replaced))

    def _await_acknowledgement(
        self, work: Work, write: AnsweredWrite, ran: ExecutedStatements
    ) -> CallerAnswer:
        context = self.context
        group = work.rule.group
        while True:
            now = context.clock.now()
            view = context.blackboard.view.groups.get(group)
            decision = AckDecision.primary_replaced
            if view is not None:
                positions = self.positions.positions(view)
                lease = context.blackboard.lease
                decision = check_acknowledgement(write, view, lease, positions, now)
            if decision is AckDecision.acknowledge:
                work.session = record_write(work.session, group, write.written)
                answer = done(ran.replies, write.target_id, False)
                return with_session(answer, work.session, context.blackboard)
            if decision is not AckDecision.wait:
                return unknown(DECISION_REASONS[decision], "not yet on enough targets")
            if now >= work.deadline:
                return unknown(Reason.deadline, "not yet on enough targets")
            self._poll_missing_holders(work, write, view)
            context.signals.of(group).wait(work.deadline - now)

    def _poll_missing_holders(
        self, work: Work, write: AnsweredWrite, view: GroupView
    ) -> None:
        positions = self.positions.positions(view)
        for target_id in missing_holders(write, view, positions):
            self.positions.poll_until_reached(target_id, write.written, work.deadline)


def _route_refusal(refusal: Refusal) -> CallerAnswer:
    return not_run(ROUTE_REASONS[refusal.reason], refusal.detail)

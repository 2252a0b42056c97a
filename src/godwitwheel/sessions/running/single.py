"""Runs one statement outside a transaction."""

from ...directory.records import Consistency, Route, TargetEntry
from ...internal.sentinel import Refusal
from ...wire.service import Access
from ..connections.connection import Begin, Rollback
from ..connections.pool import PooledConnection
from ..context import SessionContext, SessionState
from ..errors import ConnectionLost
from ..queueing.choosing import choose_reader
from ..queueing.waiting import refusal_text
from ..statements import Answer, ErrorCode, Position, Statement, error_answer
from .admission import admit
from .attempts import (
    commands_to_run,
    exchange,
    floor_of,
    is_covered_now,
    mark_primary,
)
from .health import kind_of
from .single_run import RETRY_LAGGING_MS, SingleRun

# Longest text of a read at a replica, in characters. The position in front of it could
# make a longer one exceed the longest message of a target.
MAX_REPLICA_READ_CHARS = 1 << 17


def run_single(
    context: SessionContext, state: SessionState, route: Route, statement: Statement
) -> Answer:
    """Runs a read or a write on its own and returns its answer."""
    admission = admit(context, state, statement)
    if isinstance(admission, Answer):
        return admission
    context.board.retry_budget(route.service).record_statement(context.now())
    if state.access_of(statement) is Access.write:
        run: SingleRun = WriteRun(context, state, route, statement)
    elif route.consistency is Consistency.primary:
        run = PrimaryReadRun(context, state, route, statement)
    else:
        run = ReadRun(context, state, route, statement)
    try:
        return run.run()
    finally:
        admission.end(run.attempts.has_reached_target)


class WriteRun(SingleRun):
    """A write, which is sent again only if a target reports that it was not run."""

    __slots__ = ()

    def attempt(self) -> Answer | None:
        target = self.primary()
        if target is None:
            return None
        with self.acquired_connection(target) as pooled:
            return self._write(target, pooled) if pooled is not None else None

    def _write(self, target: TargetEntry, pooled: PooledConnection) -> Answer | None:
        sent_at = self.context.now()
        authority = self.context.board.authority
        if not authority.may_use(target.service, target.target_id, sent_at):
            self.attempts.reason = f"no lease on {target.target_id}"
            return None
        commands = commands_to_run(pooled, self.state, self.statement)
        try:
            timeout_s = self.deadlines.left_s(sent_at)
            with authority.in_flight(target.service):
                kind = kind_of(self.route, Access.write)
                answer = exchange(self.context, pooled, commands, timeout_s, kind)[-1]
                is_covered = is_covered_now(self.context, target, sent_at)
        except ConnectionLost as error:
            self.attempts.reason = f"{target.target_id}: {error}"
            return error_answer(
                ErrorCode.in_doubt, "the write was sent and not answered"
            )
        if answer.was_not_run():
            pooled.connection_state.prepared.clear()
            self.record_refusal(target, answer)
            return None
        if answer.error is None and not is_covered:
            self.attempts.reason = f"the lease on {target.target_id} has ended"
            return error_answer(ErrorCode.in_doubt, self.attempts.reason)
        if answer.error is None:
            mark_primary(self.context, target, sent_at, answer.position)
            self.state.record_commit(self.route.service, answer.position)
        return answer


class PrimaryReadRun(SingleRun):
    """A read that must see every acknowledged commit.

    It runs inside a read-write transaction: a former primary refuses every statement
    of such a transaction, whereas it would answer a plain read.
    """

    __slots__ = ()

    def attempt(self) -> Answer | None:
        target = self.primary()
        if target is None:
            return None
        with self.acquired_connection(target) as pooled:
            if pooled is None:
                return None
            try:
                return self._read(target, pooled)
            except ConnectionLost as error:
                self.attempts.reason = f"{target.target_id}: {error}"
                return self._after_connection_loss()

    def _read(self, target: TargetEntry, pooled: PooledConnection) -> Answer | None:
        *setup, run = commands_to_run(pooled, self.state, self.statement)
        sent_at = self.context.now()
        timeout_s = self.deadlines.read_attempt_s(sent_at)
        kind = kind_of(self.route, Access.read)
        begun = exchange(self.context, pooled, [*setup, Begin()], timeout_s, kind)[-1]
        if begun.error is not None:
            self.record_refusal(target, begun)
            return None
        mark_primary(self.context, target, sent_at, begun.position)
        timeout_s = self.deadlines.read_attempt_s(self.context.now())
        commands = [run, Rollback()]
        answer, _ = exchange(self.context, pooled, commands, timeout_s, kind)
        if answer.was_not_run():
            pooled.connection_state.prepared.clear()
            self.record_refusal(target, answer)
            return None
        return answer

    def _after_connection_loss(self) -> Answer | None:
        self.was_sent = True
        if self.context.now() >= self.deadlines.expires_at:
            return error_answer(ErrorCode.timed_out, self.attempts.reason)
        return None


class ReadRun(PrimaryReadRun):
    """A read that may run at any target whose log holds the read's floor.

    :ivar excluded: targets that could not run this read.
    :ivar is_lagging: whether no floor is known, or the last refusal by a target was for
        a log that lacks the floor.
    """

    __slots__ = ("excluded", "is_lagging")

    def __init__(self, *args):
        super().__init__(*args)
        self.excluded: set[str] = set()
        self.is_lagging = False

    def attempt(self) -> Answer | None:
        if len(self.statement.text) > MAX_REPLICA_READ_CHARS:
            return super().attempt()
        floor = floor_of(self.context, self.state, self.route)
        if isinstance(floor, Refusal):
            self.is_lagging = True
            self.attempts.reason = "no recent position of the primary"
            return super().attempt()
        target = choose_reader(
            self.context.board,
            self.route.service,
            self.state.account,
            self.excluded,
            floor,
            self.context.now(),
        )
        if isinstance(target, Refusal):
            self.excluded.clear()
            return super().attempt()
        return self._read_at(target, floor)

    def failure_answer(self) -> Answer:
        if self.was_sent or not self.is_lagging:
            return super().failure_answer()
        text = refusal_text(self.attempts.reason, RETRY_LAGGING_MS)
        return error_answer(ErrorCode.lagging, text)

    def _read_at(self, target: TargetEntry, floor: Position) -> Answer | None:
        with self.acquired_connection(target) as pooled:
            if pooled is None:
                self.excluded.add(target.target_id)
                return None
            try:
                answer = self._exchange(pooled, floor)
            except ConnectionLost as error:
                self.excluded.add(target.target_id)
                self.attempts.reason = f"{target.target_id}: {error}"
                return self._after_connection_loss()
        if answer.was_not_run() or answer.error is ErrorCode.failed:
            pooled.connection_state.prepared.clear()
            self.excluded.add(target.target_id)
            self.is_lagging = answer.error is ErrorCode.lagging
            self.record_refusal(target, answer)
            return None if self._may_retry(answer) else answer
        return answer

    def _may_retry(self, answer: Answer) -> bool:
        """Whether the read may be sent to another target after a target's refusal."""
        if answer.error is not ErrorCode.failed:
            return True
        now = self.context.now()
        if self.context.board.retry_budget(self.route.service).spend(now):
            return True
        self.context.metrics.retries_withheld.inc({})
        return False

    def _exchange(self, pooled: PooledConnection, floor: Position) -> Answer:
        commands = commands_to_run(pooled, self.state, self.statement, floor)
        timeout_s = self.deadlines.read_attempt_s(self.context.now())
        kind = kind_of(self.route, Access.read)
        return exchange(self.context, pooled, commands, timeout_s, kind)[-1]

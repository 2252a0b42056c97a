"""Runs a session's statements at the owner of the connections."""

from ...directory.records import OwnerEntry, Route
from ...internal.loop import spawn
from ...wire.service import Access
from ..context import SessionState
from ..queueing.waiting import Deadlines, refusal_text
from ..running.open_transaction import OpenTransaction
from ..running.runner import StatementRunner
from ..statements import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    error_answer,
)
from .owner_calls import OwnerCalls, OwnerLost
from .owner_messages import RunReply, answer_of, position_of

# Added to a statement's remaining time for the timeout of its call, in seconds.
CALL_SLACK_S = 0.05
# Retry delay that callers are given when the owner can't be reached.
RETRY_OWNER_MS = 300


class RemoteRunner(StatementRunner):
    """Runs statements at the owner of their service's connections."""

    __slots__ = ("calls",)

    def __init__(self, calls: OwnerCalls):
        self.calls = calls

    def run_single(
        self, state: SessionState, route: Route, statement: Statement
    ) -> Answer:
        context = self.calls.context
        deadlines = Deadlines(route, context.now())
        is_write = state.access_of(statement) is Access.write
        refusal = self.calls.limits.refusal(state, route, statement)
        if refusal is not None:
            return refusal
        owner = self.calls.owner_of(route.service)
        while True:
            request = self.calls.request(state, route, statement)
            try:
                timeout_s = deadlines.left_s(context.now()) + CALL_SLACK_S
                reply = self.calls.run_for(
                    state, owner, request, timeout_s, may_abort=not is_write
                )
            except OwnerLost as error:
                if error.was_sent and is_write:
                    return error_answer(ErrorCode.in_doubt, str(error))
                owner = self.calls.await_other_owner(
                    owner, route.service, deadlines.start_deadline
                )
                if owner is None or state.presence.has_left:
                    return _refused(error)
                continue
            state.record_commit(route.service, position_of(reply.own_position))
            self.calls.limits.record(state, route, reply.account_retry_ms)
            return answer_of(reply)

    def begin(
        self, state: SessionState, route: Route, read_only: bool
    ) -> OpenTransaction:
        return RemoteTransaction(self.calls, state, route, read_only)


def _refused(error: OwnerLost) -> Answer:
    if error.was_sent:
        return error_answer(ErrorCode.timed_out, str(error))
    text = refusal_text(f"the owner is lost: {error}", RETRY_OWNER_MS)
    return error_answer(ErrorCode.overloaded, text)


class RemoteTransaction(OpenTransaction):
    """A transaction that runs at the owner from its first statement on.

    :ivar handle: the owner's id for it; empty while it is not open at the owner.
    """

    __slots__ = ("calls", "state", "route", "read_only", "owner", "handle")

    def __init__(
        self, calls: OwnerCalls, state: SessionState, route: Route, read_only: bool
    ):
        super().__init__()
        self.calls = calls
        self.state = state
        self.route = route
        self.read_only = read_only
        self.owner: OwnerEntry | None = None
        self.handle = ""

    def run(self, statement: Statement) -> Answer:
        try:
            answer = self._exchange(statement)
        except OwnerLost as error:
            # No commit was sent, so the transaction will be rolled back.
            answer = error_answer(ErrorCode.aborted, str(error))
        if answer.error is not None:
            self.has_failed = True
        return answer

    def commit(self, statement: Statement) -> Answer:
        if self.has_failed:
            text = "the transaction had failed; nothing is kept"
            return error_answer(ErrorCode.aborted, text)
        try:
            return self._exchange(statement)
        except OwnerLost as error:
            code = ErrorCode.in_doubt if error.was_sent else ErrorCode.aborted
            return error_answer(code, str(error))

    def fail(self, reason: str) -> None:
        self.abandon(reason)

    def abandon(self, reason: str) -> None:
        self.has_failed = True
        handle, self.handle = self.handle, ""
        if handle:
            # In a task of its own, so that the caller doesn't wait for it.
            spawn(self.calls.end, self.owner, handle)

    def _exchange(self, statement: Statement) -> Answer:
        context = self.calls.context
        deadlines = Deadlines(self.route, context.now())
        if self.owner is None:
            refusal = self.calls.limits.refusal(self.state, self.route, statement)
            if refusal is not None:
                return refusal
            self.owner = self.calls.owner_of(self.route.service)
        is_commit = statement.kind is StatementKind.commit
        while True:
            try:
                reply = self._call(statement, deadlines, may_abort=not is_commit)
                break
            except OwnerLost as error:
                # Nothing has begun yet, so that another owner may begin it.
                is_open = bool(self.handle) or is_commit
                if is_open or error.was_sent or not self._move(deadlines):
                    raise
        self.handle = "" if is_commit else reply.handle
        self.state.record_commit(self.route.service, position_of(reply.own_position))
        self.calls.limits.record(self.state, self.route, reply.account_retry_ms)
        return answer_of(reply)

    def _call(
        self, statement: Statement, deadlines: Deadlines, may_abort: bool
    ) -> RunReply:
        request = self.calls.request(
            self.state,
            self.route,
            statement,
            in_transaction=True,
            read_only=self.read_only,
            handle=self.handle,
        )
        timeout_s = deadlines.left_s(self.calls.context.now()) + CALL_SLACK_S
        return self.calls.run_for(self.state, self.owner, request, timeout_s, may_abort)

    def _move(self, deadlines: Deadlines) -> bool:
        """Turns to another owner of the service, if there is one in time."""
        other = self.calls.await_other_owner(
            self.owner, self.route.service, deadlines.start_deadline
        )
        if other is None or self.state.presence.has_left:
            return False
        self.owner = other
        return True

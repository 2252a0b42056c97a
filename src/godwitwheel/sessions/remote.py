"""The proxy's side: statements that the owner of the connections runs."""

from ..directory.records import OwnerEntry, Route
from ..internal.loop import spawn
from ..observe.events import EventName
from ..wire.client import Client
from ..wire.codec import decode, encode
from ..wire.errors import BadMessage, NotSent, WireError
from ..wire.service import Access
from .context import SessionContext, SessionState
from .open_transaction import OpenTransaction
from .owner_messages import (
    END_PATH,
    RUN_PATH,
    EndRequest,
    RunReply,
    RunRequest,
    answer_of,
    position_of,
    route_part,
    session_part,
)
from .owner_silence import OwnerSilence
from .runner import StatementRunner
from .statements import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    error_answer,
)
from .waiting import Deadlines, refusal_text

# What the owner may take beyond the statement's own time, in seconds.
CALL_SLACK_S = 0.05
END_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 0.4
RETRY_OWNER_MS = 300
# How long a new owner is waited for when the old one can't be reached.
OWNER_WAIT_S = 0.1


class OwnerLost(WireError):
    """The owner gave no answer.

    :ivar was_sent: whether it may have run the statement.
    """

    def __init__(self, message: str, was_sent: bool):
        super().__init__(message)
        self.was_sent = was_sent


class OwnerCalls:
    """Calls the owner of a service and takes in whether it answers."""

    __slots__ = ("context", "client", "proxy_id", "silence")

    def __init__(self, context: SessionContext, client: Client, proxy_id: str):
        self.context = context
        self.client = client
        self.proxy_id = proxy_id
        self.silence = OwnerSilence()

    def owner_of(self, service: str) -> OwnerEntry | None:
        """Returns the owner of a service's connections."""
        return self.context.board.view.owners.get(service)

    def run(self, owner: OwnerEntry, request: RunRequest, timeout_s: float) -> RunReply:
        """Has the owner run a statement.

        :raises OwnerLost: if it gives no answer.
        """
        now = self.context.now()
        if self.silence.is_silent(owner, now):
            raise OwnerLost(f"{owner.proxy_id} does not answer", False)
        self.silence.sent(owner, now)
        try:
            status, body = self.client.exchange(
                owner.address, "POST", RUN_PATH, encode(request), timeout_s
            )
            self.silence.answered(owner, self.context.now())
            if status != 200:
                raise OwnerLost(f"{owner.proxy_id} answered {status}", True)
            return decode(body, RunReply)
        except NotSent as error:
            raise self._lost(owner, request, error, False) from error
        except (WireError, BadMessage) as error:
            if isinstance(error, OwnerLost):
                raise
            raise self._lost(owner, request, error, True) from error

    def ask(self, owner: OwnerEntry) -> None:
        """Finds out whether an owner answers at all; it has nothing to do for it."""
        self.silence.sent(owner, self.context.now())
        try:
            body = encode(EndRequest(""))
            self.client.exchange(owner.address, "POST", END_PATH, body, ASK_TIMEOUT_S)
        except WireError as error:
            self._note_unreachable(owner, error)
            return
        self.silence.answered(owner, self.context.now())

    def end(self, owner: OwnerEntry, handle: str) -> None:
        """Ends a transaction; an owner that misses it does so by itself later."""
        try:
            body = encode(EndRequest(handle))
            self.client.exchange(owner.address, "POST", END_PATH, body, END_TIMEOUT_S)
        except WireError as error:
            self._note_unreachable(owner, error)

    def _lost(
        self,
        owner: OwnerEntry,
        request: RunRequest,
        error: Exception,
        was_sent: bool,
    ) -> OwnerLost:
        self._note_unreachable(
            owner, error, request_id=request.request_id, was_sent=was_sent
        )
        # Control may have named another owner meanwhile.
        self.context.board.changed.notify()
        return OwnerLost(str(error), was_sent)

    def _note_unreachable(
        self, owner: OwnerEntry, error: Exception, **fields: object
    ) -> None:
        self.context.log.record(
            EventName.owner_unreachable,
            self.context.now(),
            owner=owner.proxy_id,
            reason=str(error),
            **fields,
        )

    def request(
        self, state: SessionState, route: Route, statement: Statement, **fields
    ) -> RunRequest:
        """Returns a statement as it is sent."""
        return RunRequest(
            f"{self.proxy_id}/{state.session_id}",
            route_part(route),
            statement.kind,
            statement.request_id,
            statement.text,
            session_part(state, route, statement),
            statement.name,
            statement.arguments,
            **fields,
        )


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
        request = self.calls.request(state, route, statement)
        while True:
            now = context.now()
            owner = self.calls.owner_of(route.service)
            try:
                timeout_s = deadlines.left_s(now) + CALL_SLACK_S
                reply = self.calls.run(owner, request, timeout_s)
            except OwnerLost as error:
                if error.was_sent and is_write:
                    return error_answer(ErrorCode.in_doubt, str(error))
                if not self._waits(owner, route, deadlines):
                    return _refused(error)
                continue
            state.note_commit(route.service, position_of(reply.own_position))
            return answer_of(reply)

    def begin(
        self, state: SessionState, route: Route, read_only: bool
    ) -> OpenTransaction:
        return RemoteTransaction(self.calls, state, route, read_only)

    def _waits(self, lost: OwnerEntry, route: Route, deadlines: Deadlines) -> bool:
        """Waits shortly for another owner.

        :returns: whether there is one, and time left.
        """
        board = self.calls.context.board
        if board.clock.now() >= deadlines.give_up_at:
            return False
        if self.calls.owner_of(route.service) != lost:
            return True
        board.changed.wait(OWNER_WAIT_S)
        return self.calls.owner_of(route.service) != lost


def _refused(error: OwnerLost) -> Answer:
    if error.was_sent:
        return error_answer(ErrorCode.timed_out, str(error))
    text = refusal_text(f"the owner is lost: {error}", RETRY_OWNER_MS)
    return error_answer(ErrorCode.overloaded, text)


class RemoteTransaction(OpenTransaction):
    """A transaction that the owner holds from its first statement on.

    :ivar handle: the owner's name of it; empty before the first statement.
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
            # No commit was sent, so nothing of the transaction is kept.
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
            # The caller need not wait for it.
            spawn(self.calls.end, self.owner, handle)

    def _exchange(self, statement: Statement) -> Answer:
        context = self.calls.context
        deadlines = Deadlines(self.route, context.now())
        if self.owner is None:
            self.owner = self.calls.owner_of(self.route.service)
        request = self.calls.request(
            self.state,
            self.route,
            statement,
            in_transaction=True,
            read_only=self.read_only,
            handle=self.handle,
        )
        timeout_s = deadlines.left_s(context.now()) + CALL_SLACK_S
        reply = self.calls.run(self.owner, request, timeout_s)
        is_commit = statement.kind is StatementKind.commit
        self.handle = "" if is_commit else reply.handle
        self.state.note_commit(self.route.service, position_of(reply.own_position))
        return answer_of(reply)

"""The owner's side: runs statements of other proxies on its connections."""

import itertools

from ..internal.loop import sleep
from ..observe.events import EventName
from ..wire.codec import decode
from ..wire.server import Handler, Request, Response
from .context import SessionContext, SessionState
from .owner_messages import (
    END_PATH,
    RUN_PATH,
    Ended,
    EndRequest,
    RunReply,
    RunRequest,
    reply_with,
    restore_session,
    route_of,
    statement_of,
)
from .single import run_single
from .statements import Answer, ErrorCode, StatementKind, error_answer
from .transaction import Transaction

EXPIRY_POLL_S = 0.5
# How much longer than the proxies the owner waits before it ends a transaction whose
# proxy may be gone, in seconds.
EXPIRY_SLACK_S = 1.0


class OwnedTransaction:
    """A transaction of a session elsewhere.

    :ivar used_at: when its last statement ended, in seconds of the clock.
    :ivar is_busy: a statement of it is being run.
    :ivar is_ending: it ends as soon as that statement has.
    """

    __slots__ = ("state", "transaction", "used_at", "is_busy", "is_ending")

    def __init__(self, state: SessionState, transaction: Transaction, now: float):
        self.state = state
        self.transaction = transaction
        self.used_at = now
        self.is_busy = False
        self.is_ending = False


class Owner:
    """Keeps the open transactions of other proxies' sessions.

    :ivar open: transactions by handle.
    """

    __slots__ = ("context", "prefix", "open", "numbers")

    def __init__(self, context: SessionContext, prefix: str):
        self.context = context
        self.prefix = prefix
        self.open: dict[str, OwnedTransaction] = {}
        self.numbers = itertools.count(1)

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Returns the routes that proxies call."""

        def run(request: Request) -> Response:
            return Response(self.run(decode(request.body, RunRequest)))

        def end(request: Request) -> Response:
            self.end(decode(request.body, EndRequest).handle)
            return Response(Ended())

        return {("POST", RUN_PATH): run, ("POST", END_PATH): end}

    def run(self, request: RunRequest) -> RunReply:
        """Runs one statement."""
        if not request.in_transaction:
            return self._run_single(request)
        owned = self._transaction(request)
        if owned is None:
            # It ended, also with an earlier run of this process, or its proxy has given
            # up the statement that still runs; no commit of it was sent.
            return reply_with(
                error_answer(ErrorCode.aborted, "the transaction is not open"), "", None
            )
        return self._run_in(owned, request)

    def end(self, handle: str) -> None:
        """Ends a transaction without keeping anything.

        A statement that its proxy has given up may still be at the target, or wait for
        its turn; the connection is not free before that is over.
        """
        owned = self.open.pop(handle, None)
        if owned is None:
            return
        if owned.is_busy:
            owned.is_ending = True
            owned.transaction.has_failed = True
            return
        owned.transaction.abandon("its proxy ended it")

    def run_expiry(self) -> None:
        """Ends the transactions that no proxy has used for long."""
        while True:
            sleep(EXPIRY_POLL_S)
            self.expire(self.context.now())

    def expire(self, now: float) -> None:
        """Ends the transactions that no proxy has used for long."""
        limits = self.context.board.view.table.limits
        limit_s = limits.transaction_idle_ms / 1000.0 + EXPIRY_SLACK_S
        for handle, owned in list(self.open.items()):
            if owned.is_busy or now - owned.used_at < limit_s:
                continue
            self.context.log.record(
                EventName.transaction_expired, now, handle=handle, limit_s=limit_s
            )
            self.end(handle)

    def _run_single(self, request: RunRequest) -> RunReply:
        state = SessionState(request.proxy_id, request.route.database)
        restore_session(state, request)
        route = route_of(request.route)
        answer = run_single(self.context, state, route, statement_of(request))
        return reply_with(answer, "", state.own_positions.get(request.route.service))

    def _transaction(self, request: RunRequest) -> OwnedTransaction | None:
        if request.handle:
            owned = self.open.get(request.handle)
            return None if owned is None or owned.is_busy else owned
        state = SessionState(request.proxy_id, request.route.database)
        route = route_of(request.route)
        transaction = Transaction(self.context, state, route, request.read_only)
        return OwnedTransaction(state, transaction, self.context.now())

    def _run_in(self, owned: OwnedTransaction, request: RunRequest) -> RunReply:
        restore_session(owned.state, request)
        handle = request.handle or f"{self.prefix}-{next(self.numbers)}"
        self.open[handle] = owned
        owned.is_busy = True
        try:
            answer = self._answer(owned, request)
        except BaseException:
            owned.is_ending = True
            raise
        finally:
            owned.is_busy = False
            owned.used_at = self.context.now()
            if owned.is_ending:
                self.open.pop(handle, None)
                owned.transaction.abandon("its proxy ended it")
        has_ended = request.kind is StatementKind.commit
        if has_ended or owned.transaction.has_failed:
            self.open.pop(handle, None)
            handle = ""
        own = owned.state.own_positions.get(request.route.service)
        return reply_with(answer, handle, own)

    def _answer(self, owned: OwnedTransaction, request: RunRequest) -> Answer:
        statement = statement_of(request)
        if request.kind is StatementKind.commit:
            return owned.transaction.commit(statement)
        return owned.transaction.run(statement)

"""The owner's side: runs the statements of proxies on its own connections.

The owner of a service is the process that holds all connections to the service's
targets when there are too many proxies for each to have its own.
"""

import contextlib
import itertools
from collections.abc import Callable, Iterator

from ...internal.loop import sleep
from ...observe.events import EventName
from ...wire.codec import decode
from ...wire.server import Handler, Request, Response
from ...wire.status import MISDIRECTED
from ..context import SessionContext, SessionState
from ..queueing.presence import CallerPresence
from ..running.single import run_single
from ..running.transaction import Transaction
from ..statements import Answer, ErrorCode, StatementKind, error_answer
from .owner_messages import (
    END_PATH,
    RUN_PATH,
    WITHDRAW_PATH,
    Ended,
    EndRequest,
    NotOwner,
    RunRequest,
    StatementReply,
    WithdrawRequest,
    reply_with,
    restore_session,
    route_of,
    statement_of,
)

EXPIRY_POLL_S = 0.5
# Added to the idle limit of transactions, which proxies enforce as well, before the
# owner ends one whose proxy may have crashed. In seconds.
EXPIRY_SLACK_S = 1.0
# How long a statement waits until this process holds the view by which it was sent
# here, in seconds.
VIEW_WAIT_S = 0.1


class OwnedTransaction:
    """A transaction that the owner runs for a session of a proxy.

    :ivar used_at: when its last statement ended, in seconds of the clock.
    :ivar is_busy: whether one of its statements is running or queued.
    :ivar is_ending: whether to roll it back as soon as that statement has ended.
    """

    __slots__ = ("state", "transaction", "used_at", "is_busy", "is_ending")

    def __init__(self, state: SessionState, transaction: Transaction, now: float):
        self.state = state
        self.transaction = transaction
        self.used_at = now
        self.is_busy = False
        self.is_ending = False


class Owner:
    """Runs statements for proxies and holds the open transactions of their sessions.

    :ivar prefix: start of every handle, unique to this run of the process.
    :ivar open: open transactions by handle.
    :ivar callers: presence of the caller of each statement that is running or queued,
        by the ids of its process and session.
    :ivar is_isolated: whether proxies should use other owners; asked at each probe.
    """

    __slots__ = ("context", "prefix", "is_isolated", "open", "callers", "numbers")

    def __init__(
        self,
        context: SessionContext,
        prefix: str,
        is_isolated: Callable[[], bool] = lambda: False,
    ):
        self.context = context
        self.prefix = prefix
        self.is_isolated = is_isolated
        self.open: dict[str, OwnedTransaction] = {}
        self.callers: dict[str, CallerPresence] = {}
        self.numbers = itertools.count(1)

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Returns the routes that proxies call."""

        def run(request: Request) -> Response:
            message = decode(request.body, RunRequest)
            self.context.check_statement(statement_of(message))
            if not self.accepts(message):
                return Response(NotOwner(), MISDIRECTED)
            return Response(self.run(message))

        def end(request: Request) -> Response:
            self.end(decode(request.body, EndRequest).handle)
            return Response(Ended(self.is_isolated()))

        def withdraw(request: Request) -> Response:
            self.withdraw(decode(request.body, WithdrawRequest).proxy_id)
            return Response(Ended())

        return {
            ("POST", RUN_PATH): run,
            ("POST", END_PATH): end,
            ("POST", WITHDRAW_PATH): withdraw,
        }

    def accepts(self, request: RunRequest) -> bool:
        """Whether to run a statement, rather than leave it to the service's owner.

        A transaction that is open here also ends here. A process that is given a
        service may learn of it later than the proxies.
        """
        board = self.context.board
        if request.handle or board.awaits_first_view():
            return True
        service = request.route.service
        if not board.uses_targets(service):
            self._await_view(request.view_version)
        return board.uses_targets(service)

    def _await_view(self, version: int) -> None:
        """Asks control for a view if this process has none of that version."""
        board = self.context.board
        until = self.context.now() + VIEW_WAIT_S
        if board.view.version < version:
            # Wakes the reporter.
            board.changed.notify()
        while board.view.version < version:
            left_s = until - self.context.now()
            if left_s <= 0.0:
                return
            board.changed.wait(left_s)

    def run(self, request: RunRequest) -> StatementReply:
        """Runs one statement."""
        if not request.in_transaction:
            return self._run_single(request)
        owned = self._find_or_create(request)
        if owned is None:
            # The transaction has ended, perhaps with an earlier run of this process, or
            # it is busy with a statement that its proxy no longer waits for. No commit
            # of it was sent.
            return reply_with(
                error_answer(ErrorCode.aborted, "the transaction is not open"), "", None
            )
        return self._run_in_transaction(owned, request)

    def end(self, handle: str) -> None:
        """Rolls back a transaction.

        A statement that its proxy no longer waits for may still be running at the
        target or be queued for a turn. The rollback then follows when that statement
        has ended, because the connection is in use until then.
        """
        owned = self.open.pop(handle, None)
        if owned is None:
            return
        if owned.is_busy:
            owned.is_ending = True
            owned.transaction.has_failed = True
            return
        owned.transaction.abandon("its proxy ended it")

    def withdraw(self, proxy_id: str) -> None:
        """Withdraws a session's statement if it waits for a turn."""
        presence = self.callers.get(proxy_id)
        if presence is not None:
            presence.leave()

    def run_expiry(self) -> None:
        """Calls :meth:`expire` periodically, for as long as the process runs."""
        while True:
            sleep(EXPIRY_POLL_S)
            self.expire(self.context.now())

    def expire(self, now: float) -> None:
        """Rolls back the transactions that have been idle beyond the limit."""
        limits = self.context.board.view.table.limits
        limit_s = limits.transaction_idle_ms / 1000.0 + EXPIRY_SLACK_S
        for handle, owned in list(self.open.items()):
            if owned.is_busy or now - owned.used_at < limit_s:
                continue
            self.context.log.record(
                EventName.transaction_expired, now, handle=handle, limit_s=limit_s
            )
            self.end(handle)

    def _run_single(self, request: RunRequest) -> StatementReply:
        state = SessionState(request.proxy_id, request.route.database)
        restore_session(state, request)
        route = route_of(request.route)
        with self._serving(request.proxy_id, state):
            answer = run_single(self.context, state, route, statement_of(request))
        return reply_with(answer, "", state.own_positions.get(request.route.service))

    @contextlib.contextmanager
    def _serving(self, proxy_id: str, state: SessionState) -> Iterator[None]:
        """Lets a session's statement be withdrawn inside the block."""
        self.callers[proxy_id] = state.presence
        try:
            yield
        finally:
            # A statement that its proxy no longer waits for may end after the
            # session's next one has begun.
            if self.callers.get(proxy_id) is state.presence:
                del self.callers[proxy_id]

    def _find_or_create(self, request: RunRequest) -> OwnedTransaction | None:
        if request.handle:
            owned = self.open.get(request.handle)
            return None if owned is None or owned.is_busy else owned
        state = SessionState(request.proxy_id, request.route.database)
        route = route_of(request.route)
        transaction = Transaction(self.context, state, route, request.read_only)
        return OwnedTransaction(state, transaction, self.context.now())

    def _run_in_transaction(
        self, owned: OwnedTransaction, request: RunRequest
    ) -> StatementReply:
        restore_session(owned.state, request)
        handle = request.handle or f"{self.prefix}-{next(self.numbers)}"
        self.open[handle] = owned
        owned.is_busy = True
        try:
            with self._serving(request.proxy_id, owned.state):
                answer = self._run_statement(owned, request)
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

    def _run_statement(self, owned: OwnedTransaction, request: RunRequest) -> Answer:
        statement = statement_of(request)
        if request.kind is StatementKind.commit:
            return owned.transaction.commit(statement)
        return owned.transaction.run(statement)

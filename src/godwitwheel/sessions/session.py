"""One caller's session: its values, its prepared statements, its transaction."""

from ..directory.records import Route
from ..observe.events import EventName
from .access import authorize, authorize_in_transaction, record_refusal
from .connections.carrying import PreparedStatement
from .context import SessionContext, SessionState
from .running.open_transaction import OpenTransaction
from .running.runner import RunnerSelector
from .statements import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    TransactionState,
    error_answer,
)

MAX_SESSION_VALUES = 256
MAX_SESSION_PREPARED = 1024
# Longest values and prepared statements of one session, together and with their names;
# an owner is sent the values with each statement.
MAX_SESSION_CHARS = 1 << 22


class Session:
    """Serves the statements of one caller, one at a time.

    No target is contacted before a statement has to run there: a transaction holds no
    connection before its first statement.

    :ivar transaction: the open or failed transaction, or ``None``.
    :ivar transaction_route: the route that the transaction began on, or ``None``.
    """

    __slots__ = ("context", "runners", "state", "transaction", "transaction_route")

    def __init__(
        self, context: SessionContext, runners: RunnerSelector, state: SessionState
    ):
        self.context = context
        self.runners = runners
        self.state = state
        self.transaction: OpenTransaction | None = None
        self.transaction_route: Route | None = None

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Rolls back the open transaction, if there is one."""
        if self.transaction is not None:
            self.transaction.abandon("the caller left")

    def route(self) -> Route | None:
        """Returns the active route of the session's database."""
        return self.context.route(self.state.database)

    def transaction_state(self) -> TransactionState:
        """Returns the state of the session's transaction."""
        if self.transaction is None:
            return TransactionState.idle
        if self.transaction.has_failed:
            return TransactionState.failed
        return TransactionState.open

    def execute(self, statement: Statement) -> Answer:
        """Serves one statement and returns its complete answer."""
        answer = self._execute(statement)
        answer.state = self.transaction_state()
        return answer

    def expire(self) -> None:
        """Fails a transaction that has been idle for too long."""
        if self.transaction is not None:
            self.transaction.fail("idle for too long")

    def _execute(self, statement: Statement) -> Answer:
        match statement.kind:
            case StatementKind.commit | StatementKind.rollback:
                return self._end(statement)
            case _ if self.transaction_state() is TransactionState.failed:
                return error_answer(
                    ErrorCode.malformed, "the transaction failed; end it first"
                )
            case StatementKind.begin:
                return self._begin(statement)
            case StatementKind.set_value:
                return self._set_value(statement)
            case StatementKind.prepare:
                return self._prepare(statement)
            case StatementKind.deallocate:
                return self._deallocate(statement)
            case StatementKind.execute if statement.name not in self.state.prepared:
                return error_answer(
                    ErrorCode.unknown_statement, f"{statement.name}: not prepared"
                )
        return self._run(statement)

    def _begin(self, statement: Statement) -> Answer:
        if self.transaction is not None:
            return error_answer(ErrorCode.malformed, "a transaction is open")
        route = self.route()
        if route is None:
            return self._no_route(statement)
        refusal = authorize(self.context, self.state, route, self.context.now())
        if refusal is not None:
            record_refusal(self.context, self.state, statement, refusal)
            return refusal
        self.transaction = self.runners.for_route(route).begin(
            self.state, route, statement.read_only
        )
        self.transaction_route = route
        return Answer()

    def _set_value(self, statement: Statement) -> Answer:
        name, known = statement.name, self.state.values.get(statement.name)
        if known is None and len(self.state.values) >= MAX_SESSION_VALUES:
            return error_answer(ErrorCode.too_large, "too many session values")
        freed = 0 if known is None else len(name) + len(known)
        if not self._may_store(len(name) + len(statement.value) - freed):
            return error_answer(ErrorCode.too_large, "the session values are too long")
        self.state.values[name] = statement.value
        return Answer()

    def _prepare(self, statement: Statement) -> Answer:
        if len(self.state.prepared) >= MAX_SESSION_PREPARED:
            return error_answer(ErrorCode.too_large, "too many prepared statements")
        name, known = statement.name, self.state.prepared.get(statement.name)
        freed = 0 if known is None else len(name) + len(known.shape)
        if not self._may_store(len(name) + len(statement.shape) - freed):
            return error_answer(ErrorCode.too_large, "prepared statements too long")
        prepared = PreparedStatement(statement.access, statement.shape)
        self.state.prepared[name] = prepared
        return Answer()

    def _deallocate(self, statement: Statement) -> Answer:
        removed = self.state.prepared.pop(statement.name, None)
        if removed is not None:
            self.state.stored_chars -= len(statement.name) + len(removed.shape)
        return Answer()

    def _may_store(self, added_chars: int) -> bool:
        """Counts characters that the session is to store, unless it has no room."""
        stored = self.state.stored_chars + added_chars
        if stored > MAX_SESSION_CHARS:
            return False
        self.state.stored_chars = stored
        return True

    def _run(self, statement: Statement) -> Answer:
        if self.transaction is not None:
            refusal = self._refuse_in_transaction(statement)
            return refusal or self.transaction.run(statement)
        route = self.route()
        if route is None:
            return self._no_route(statement)
        refusal = authorize(self.context, self.state, route, self.context.now())
        if refusal is not None:
            record_refusal(self.context, self.state, statement, refusal)
            return refusal
        return self.runners.for_route(route).run_single(self.state, route, statement)

    def _end(self, statement: Statement) -> Answer:
        transaction = self.transaction
        if transaction is None:
            return error_answer(ErrorCode.malformed, "no transaction is open")
        try:
            if statement.kind is StatementKind.commit:
                refusal = self._refuse_in_transaction(statement)
                return refusal or transaction.commit(statement)
            transaction.abandon("the caller rolled back")
            return Answer()
        finally:
            self.transaction = None
            self.transaction_route = None

    def _refuse_in_transaction(self, statement: Statement) -> Answer | None:
        """Rolls back the open transaction if its caller's key allows it no more.

        The route is that of the transaction's begin: changes of a route apply from the
        next transaction on, but a key may be withdrawn at any time.
        """
        if self.transaction.has_failed:
            return None
        refusal = authorize_in_transaction(
            self.context, self.state, self.transaction_route, self.context.now()
        )
        if refusal is not None:
            record_refusal(self.context, self.state, statement, refusal)
            self.transaction.fail(refusal.detail)
        return refusal

    def _no_route(self, statement: Statement) -> Answer:
        board = self.context.board
        self.context.log.record(
            EventName.statement_refused,
            self.context.now(),
            request_id=statement.request_id,
            database=self.state.database,
            reason="no route",
            table_version=board.view.table.version,
        )
        return error_answer(ErrorCode.unknown_database, self.state.database)

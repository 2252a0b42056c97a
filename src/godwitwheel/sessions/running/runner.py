"""Runs a session's statements in this process or at the owner of the connections."""

from abc import ABC, abstractmethod

from ...directory.records import Route
from ..context import SessionContext, SessionState
from ..statements import Answer, Statement
from .open_transaction import OpenTransaction
from .single import run_single
from .transaction import Transaction


class StatementRunner(ABC):
    """Runs statements at targets."""

    @abstractmethod
    def run_single(
        self, state: SessionState, route: Route, statement: Statement
    ) -> Answer:
        """Runs a statement outside a transaction."""

    @abstractmethod
    def begin(
        self, state: SessionState, route: Route, read_only: bool
    ) -> OpenTransaction:
        """Begins a transaction; no target is contacted yet."""


class LocalRunner(StatementRunner):
    """Runs statements on this process's own connections."""

    __slots__ = ("context",)

    def __init__(self, context: SessionContext):
        self.context = context

    def run_single(
        self, state: SessionState, route: Route, statement: Statement
    ) -> Answer:
        return run_single(self.context, state, route, statement)

    def begin(
        self, state: SessionState, route: Route, read_only: bool
    ) -> OpenTransaction:
        return Transaction(self.context, state, route, read_only)


class RunnerSelector:
    """Selects the runner for the statements of a route.

    :ivar remote: runs statements at the owner of a service's connections; ``None`` if
        every service has local connections.
    """

    __slots__ = ("context", "local", "remote")

    def __init__(self, context: SessionContext, remote: StatementRunner | None = None):
        self.context = context
        self.local = LocalRunner(context)
        self.remote = remote

    def for_route(self, route: Route) -> StatementRunner:
        """Returns the runner for a route's statements in the active view."""
        board = self.context.board
        is_owned = route.service in board.view.owners or board.awaits_owner(
            route.service
        )
        if self.remote is not None and is_owned:
            return self.remote
        return self.local

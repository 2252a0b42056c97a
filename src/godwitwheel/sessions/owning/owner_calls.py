"""Calls from a proxy to the owners of connections."""

import contextlib
from collections.abc import Iterator

from ...directory.records import OwnerEntry, Route
from ...internal.loop import current_task, interrupt, spawn
from ...observe.events import EventName
from ...wire.client import Client
from ...wire.codec import decode, encode
from ...wire.errors import BadMessage, NoReply, NotSent, WireError
from ...wire.status import MISDIRECTED
from ..context import SessionContext, SessionState
from ..statements import Statement
from .owner_limits import OwnerLimits
from .owner_messages import (
    END_PATH,
    RUN_PATH,
    WITHDRAW_PATH,
    Ended,
    EndRequest,
    RunReply,
    RunRequest,
    WithdrawRequest,
    route_part,
    session_part,
)
from .owner_silence import OwnerBreakers

END_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.4
# How long to wait for a new owner when the current one can't be reached, or is none any
# more, in seconds.
NEW_OWNER_WAIT_S = 0.1


class OwnerLost(WireError):
    """The owner gave no valid reply, or is unresponsive and was not called.

    :ivar was_sent: whether it may have run the statement.
    """

    def __init__(self, message: str, was_sent: bool):
        super().__init__(message)
        self.was_sent = was_sent


class OwnerCalls:
    """Calls owners of services and tracks whether they answer.

    :ivar breakers: fail calls to unresponsive owners at once.
    :ivar limits: refuses operations that an owner would refuse for a rate limit.
    :ivar abortable: tasks that wait for an owner's reply and keep nothing if they get
        none, by address of the owner.
    """

    __slots__ = ("context", "client", "proxy_id", "breakers", "limits", "abortable")

    def __init__(self, context: SessionContext, client: Client, proxy_id: str):
        self.context = context
        self.client = client
        self.proxy_id = proxy_id
        self.breakers = OwnerBreakers()
        self.limits = OwnerLimits(context)
        self.abortable: dict[str, set[object]] = {}

    def owner_of(self, service: str) -> OwnerEntry | None:
        """Returns the owner of a service's connections."""
        return self.context.board.view.owners.get(service)

    def run(
        self,
        owner: OwnerEntry | None,
        request: RunRequest,
        timeout_s: float,
        may_abort: bool = False,
    ) -> RunReply:
        """Runs a statement at an owner.

        :param owner: ``None`` if control has assigned none.
        :param may_abort: whether to give up as soon as the owner is found to be
            unresponsive, since nothing is kept if the statement has run.
        :raises OwnerLost: if it gives no valid reply.
        """
        if owner is None:
            raise OwnerLost(f"{request.route.service} has no owner yet", False)
        now = self.context.now()
        if self.breakers.should_fail_fast(owner, now):
            raise OwnerLost(f"{owner.proxy_id} does not answer", False)
        self.breakers.record_call(owner, now)
        try:
            with self._waiting(owner, may_abort):
                status, body = self.client.exchange(
                    owner.address, "POST", RUN_PATH, encode(request), timeout_s
                )
            self.breakers.record_answer(owner, self.context.now())
            if status == MISDIRECTED:
                reason = f"it does not own {request.route.service}"
                raise self._owner_lost(owner, request, reason, False)
            if status != 200:
                raise OwnerLost(f"{owner.proxy_id} answered {status}", True)
            return decode(body, RunReply)
        except NotSent as error:
            raise self._owner_lost(owner, request, str(error), False) from error
        except (WireError, BadMessage) as error:
            if isinstance(error, OwnerLost):
                raise
            raise self._owner_lost(owner, request, str(error), True) from error

    @contextlib.contextmanager
    def _waiting(self, owner: OwnerEntry, may_abort: bool) -> Iterator[None]:
        """Lets :meth:`abort_waiting` end the block."""
        if not may_abort:
            yield
            return
        task = current_task()
        tasks = self.abortable.setdefault(owner.address, set())
        tasks.add(task)
        try:
            yield
        finally:
            tasks.discard(task)

    def abort_waiting(self, owner: OwnerEntry) -> None:
        """Fails the calls that wait for an unresponsive owner and may be aborted.

        Their callers are answered while there is time to try another proxy or owner.
        """
        tasks = self.abortable.get(owner.address, set())
        for task in list(tasks):
            error = NoReply(f"{owner.proxy_id} does not answer")
            interrupt(task, error, lambda task=task: task in tasks)

    def probe(self, owner: OwnerEntry) -> None:
        """Probes an owner with a request that has no effect."""
        self.breakers.record_probe(owner, self.context.now())
        try:
            body = encode(EndRequest(""))
            status, reply = self.client.exchange(
                owner.address, "POST", END_PATH, body, PROBE_TIMEOUT_S
            )
            ended = decode(reply, Ended) if status == 200 else Ended()
        except (WireError, BadMessage) as error:
            self._log_unreachable(owner, str(error))
            return
        now = self.context.now()
        self.breakers.record_answer(owner, now)
        self.breakers.record_isolation(owner, ended.is_isolated, now)

    def end(self, owner: OwnerEntry, handle: str) -> None:
        """Rolls back a transaction. If the request is lost, the owner expires it."""
        try:
            body = encode(EndRequest(handle))
            self.client.exchange(owner.address, "POST", END_PATH, body, END_TIMEOUT_S)
        except WireError as error:
            self._log_unreachable(owner, str(error))

    def withdraw(self, owner: OwnerEntry, proxy_id: str) -> None:
        """Withdraws a statement if it is queued. If the request is lost, it may run."""
        try:
            body = encode(WithdrawRequest(proxy_id))
            self.client.exchange(
                owner.address, "POST", WITHDRAW_PATH, body, END_TIMEOUT_S
            )
        except WireError as error:
            self._log_unreachable(owner, str(error))

    def run_for(
        self,
        state: SessionState,
        owner: OwnerEntry | None,
        request: RunRequest,
        timeout_s: float,
        may_abort: bool,
    ) -> RunReply:
        """Runs a session's statement, and withdraws it if the caller leaves meanwhile.

        :raises OwnerLost: if the owner gives no valid reply.
        """

        def withdraw() -> None:
            if owner is not None:
                spawn(self.withdraw, owner, request.proxy_id)

        with state.presence.queued(withdraw):
            return self.run(owner, request, timeout_s, may_abort)

    def _owner_lost(
        self,
        owner: OwnerEntry,
        request: RunRequest,
        reason: str,
        was_sent: bool,
    ) -> OwnerLost:
        self._log_unreachable(
            owner, reason, request_id=request.request_id, was_sent=was_sent
        )
        # Wakes the reporter, since control may have assigned another owner meanwhile.
        self.context.board.changed.notify()
        return OwnerLost(f"{owner.proxy_id}: {reason}", was_sent)

    def await_other_owner(
        self, lost: OwnerEntry | None, service: str, start_deadline: float
    ) -> OwnerEntry | None:
        """Waits up to :data:`NEW_OWNER_WAIT_S` for another owner of a service.

        :param start_deadline: when a statement is no longer started, in seconds of the
            clock.
        :returns: the other owner, or ``None`` if there is none in time.
        """
        board = self.context.board
        until = self.context.now() + NEW_OWNER_WAIT_S
        while self.context.now() < start_deadline:
            owner = self.owner_of(service)
            if owner is not None and owner != lost:
                return owner
            left_s = until - self.context.now()
            if left_s <= 0.0:
                return None
            board.changed.wait(left_s)
        return None

    def _log_unreachable(
        self, owner: OwnerEntry, reason: str, **fields: object
    ) -> None:
        self.context.log.record(
            EventName.owner_unreachable,
            self.context.now(),
            owner=owner.proxy_id,
            reason=reason,
            **fields,
        )

    def request(
        self, state: SessionState, route: Route, statement: Statement, **fields
    ) -> RunRequest:
        """Returns the request that runs a statement."""
        return RunRequest(
            f"{self.proxy_id}/{state.session_id}",
            route_part(route),
            statement.kind,
            statement.request_id,
            statement.text,
            state.account,
            session_part(state, route, statement),
            statement.name,
            statement.arguments,
            view_version=self.context.board.view.version,
            **fields,
        )

"""Serves callers' connections, and drains them when the process stops."""

from abc import ABC, abstractmethod

from ..internal.clock import Clock
from ..internal.loop import sleep, spawn
from ..internal.signals import ChangeSignal
from ..observe.events import EventName, record_event, record_failure
from ..wire.streams import ProtocolError, StreamClosed, StreamTimeout
from .access import authorize
from .context import SessionContext, SessionState
from .running.runner import RunnerSelector
from .session import Session
from .statements import Answer, ErrorCode, Statement, error_answer

DRAIN_POLL_S = 0.02
# Interval of checks for callers that have left while a statement of theirs is served;
# most statements are answered within it. In seconds.
PRESENCE_POLL_S = 0.05
# Longest wait for a statement, in seconds; the start of one ends it sooner.
IDLE_WAIT_S = 60.0
# How long the start of a session waits for the first routing table and targets of a
# process that has just started, in seconds. Members of control that start with it need
# about as long to elect a leader.
FIRST_VIEW_WAIT_S = 0.5


class StartRequest:
    """A caller's request to open a session.

    :ivar key_digest: digest of its key; empty if it gave none.
    """

    __slots__ = ("database", "key_digest")

    def __init__(self, database: str, key_digest: str = ""):
        self.database = database
        self.key_digest = key_digest


class CallerLink(ABC):
    """A caller's connection, independent of the protocol that it uses."""

    @abstractmethod
    def read_start(self, timeout_s: float) -> StartRequest:
        """Reads the caller's start message.

        :raises StreamTimeout: if no start message arrives in time.
        :raises StreamClosed: if the caller disconnects or violates the protocol.
        """

    @abstractmethod
    def accept(self) -> None:
        """Informs the caller that its session is open."""

    @abstractmethod
    def refuse(self, answer: Answer) -> None:
        """Sends the refusal of the session to the caller."""

    @abstractmethod
    def read_statement(self, timeout_s: float | None) -> Statement | Answer:
        """Returns the next statement, or the answer to one that is malformed.

        :raises StreamTimeout: if none arrives in time.
        :raises StreamClosed: if the caller disconnects or violates the protocol.
        """

    @abstractmethod
    def send(self, answer: Answer) -> None:
        """Sends an answer."""

    @abstractmethod
    def has_input(self) -> bool:
        """Whether unread input has arrived, such as a part of a statement."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Whether the caller will send nothing more, and all it sent has been read.

        A caller that closes only its sending side counts as disconnected.
        """

    @abstractmethod
    def end(self) -> None:
        """Shuts down the connection, which wakes a task that waits for a statement."""


class OpenSession:
    """A session and its connection.

    :ivar is_busy: whether a statement is being served.
    :ivar is_ended: whether this process has ended the connection.
    """

    __slots__ = ("link", "session", "is_busy", "is_ended")

    def __init__(self, link: CallerLink, session: Session):
        self.link = link
        self.session = session
        self.is_busy = False
        self.is_ended = False

    def end(self) -> None:
        """Ends the connection; a statement that still arrives is not run."""
        self.is_ended = True
        self.link.end()

    def is_idle(self) -> bool:
        """Whether no statement or transaction is lost if the connection ends now."""
        if self.is_busy or self.session.transaction is not None:
            return False
        return not self.link.has_input()


class SessionServer:
    """Serves sessions until they end or the process stops.

    :ivar open_sessions: the open sessions.
    :ivar is_draining: whether each session is ended as soon as it is idle.
    :ivar became_busy: notified when a session begins to serve a statement.
    """

    __slots__ = (
        "context",
        "runners",
        "open_sessions",
        "is_draining",
        "next_number",
        "became_busy",
    )

    def __init__(self, context: SessionContext, runners: RunnerSelector):
        self.became_busy = ChangeSignal()
        self.context = context
        self.runners = runners
        self.open_sessions: set[OpenSession] = set()
        self.is_draining = False
        self.next_number = 0

    def serve(self, link: CallerLink) -> None:
        """Serves one connection until it ends."""
        try:
            self._serve(link)
        except (ProtocolError, StreamTimeout) as error:
            self.context.log.record(
                EventName.caller_dropped, self.context.now(), reason=str(error)
            )
            raise

    def _serve(self, link: CallerLink) -> None:
        limits = self.context.board.view.table.limits
        start = link.read_start(limits.start_timeout_ms / 1000.0)
        self.next_number += 1
        state = SessionState(str(self.next_number), start.database, start.key_digest)
        if not self._may_open(link, state):
            return
        with Session(self.context, self.runners, state) as session:
            record = OpenSession(link, session)
            self.open_sessions.add(record)
            self.context.metrics.sessions.set({}, len(self.open_sessions))
            try:
                link.accept()
                self._serve_statements(record)
            finally:
                self.open_sessions.discard(record)
                self.context.metrics.sessions.set({}, len(self.open_sessions))

    def drain(self, clock: Clock, deadline: float) -> None:
        """Ends idle sessions until no session is open or the deadline passes."""
        self.is_draining = True
        while self.open_sessions and clock.now() < deadline:
            self.end_idle()
            sleep(DRAIN_POLL_S)

    def end_idle(self) -> None:
        """Ends the sessions that are idle now."""
        for record in list(self.open_sessions):
            if record.is_idle():
                record.end()

    def watch_callers(self) -> None:
        """Calls :meth:`withdraw_abandoned` at intervals while a statement is served."""
        while True:
            if not any(record.is_busy for record in self.open_sessions):
                self.became_busy.wait(IDLE_WAIT_S)
            sleep(PRESENCE_POLL_S)
            self.withdraw_abandoned()

    def withdraw_abandoned(self) -> None:
        """Withdraws the queued statements of callers that have left."""
        for record in list(self.open_sessions):
            presence = record.session.state.presence
            if record.is_busy and not presence.has_left and record.link.has_ended():
                presence.leave()

    def expire_transactions(self) -> None:
        """Fails idle transactions, and ends every session that serves no statement.

        Each in its own task: a slow target holds up no other session's end.
        """
        for record in list(self.open_sessions):
            if not record.is_busy:
                spawn(self._expire, record)

    def _expire(self, record: OpenSession) -> None:
        try:
            record.session.expire()
        except Exception as error:
            record_failure(error)
        finally:
            record.end()

    def _may_open(self, link: CallerLink, state: SessionState) -> bool:
        self._await_first_view()
        refusal = self._refusal_to_open(state)
        if refusal is None:
            return True
        self.context.log.record(
            EventName.session_refused,
            self.context.now(),
            database=state.database,
            key=state.key_digest,
            reason=refusal.error.value,
            table_version=self.context.board.view.table.version,
        )
        link.refuse(refusal)
        return False

    def _await_first_view(self) -> None:
        board = self.context.board
        deadline = self.context.now() + FIRST_VIEW_WAIT_S
        while board.view.table.version == 0 or board.lacks_targets():
            left_s = deadline - self.context.now()
            if left_s <= 0 or self.is_draining:
                return
            board.changed.wait(left_s)

    def _refusal_to_open(self, state: SessionState) -> Answer | None:
        route = self.context.route(state.database)
        if route is not None:
            return authorize(self.context, state, route, self.context.now())
        if self.context.board.view.table.version == 0:
            text = "no routing table yet; retry after 500 ms"
            return error_answer(ErrorCode.overloaded, text)
        return error_answer(ErrorCode.unknown_database, state.database)

    def _serve_statements(self, record: OpenSession) -> None:
        while True:
            statement = self._next_statement(record)
            if record.is_ended:
                # It arrived while the connection was being ended, so that its answer
                # would not reach the caller.
                raise StreamClosed("the session was ended")
            record.is_busy = True
            self.became_busy.notify()
            if isinstance(statement, Answer):
                answer = statement
                answer.state = record.session.transaction_state()
            else:
                answer = record.session.execute(statement)
            record.link.send(answer)
            record.is_busy = False
            if self.is_draining and record.is_idle():
                raise StreamClosed("the process is stopping")

    def _next_statement(self, record: OpenSession) -> Statement | Answer:
        transaction = record.session.transaction
        if transaction is None or transaction.has_failed:
            return record.link.read_statement(None)
        limits = self.context.board.view.table.limits
        try:
            return record.link.read_statement(limits.transaction_idle_ms / 1000.0)
        except StreamTimeout:
            record.session.expire()
            record_event(
                EventName.transaction_expired,
                session_id=record.session.state.session_id,
                idle_ms=limits.transaction_idle_ms,
            )
            return record.link.read_statement(None)

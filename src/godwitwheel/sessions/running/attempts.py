"""One attempt at a target: acquire a connection, exchange commands, record results."""

import contextlib
import enum
from collections.abc import Iterator

from ...directory.records import Route, TargetEntry
from ...internal.sentinel import Refusal
from ...observe.events import EventName
from ..connections.carrying import commands_for_values
from ..connections.connection import Command, Discard, Prepare, Run, SetValue
from ..connections.pool import PooledConnection
from ..context import SessionContext, SessionState
from ..errors import ConnectFailed, ConnectionLost, PoolExhausted, TooManyConnections
from ..queueing.choosing import record_answered, record_unanswered
from ..queueing.turns import TurnRequest
from ..queueing.waiting import Deadlines
from ..statements import Answer, Position, Statement, TransactionState
from .floors import read_floor
from .health import begin_exchange, end_exchange, outcome_of, outcome_of_loss

SETUP_COMMANDS = (SetValue, Prepare, Discard)


class NoConnection(enum.Enum):
    """Why no connection to a target is available."""

    not_owner = "not_owner"
    too_many_connections = "too_many_connections"
    pool_exhausted = "pool_exhausted"
    connect_failed = "connect_failed"


def acquire_connection(
    context: SessionContext,
    target: TargetEntry,
    state: SessionState,
    priority: int,
    timeout_s: float,
) -> PooledConnection | Refusal:
    """Acquires a connection to a target from its pool.

    :returns: a :class:`NoConnection` if none is available in time; nothing ran.
    """
    board = context.board
    if not board.uses_targets(target.service):
        # Another process has taken the service over since the target was chosen.
        owner = board.view.owners.get(target.service)
        holder = "none" if owner is None else owner.proxy_id
        return _no_connection(context, NoConnection.not_owner, f"the owner is {holder}")
    pool = board.pool(target)
    try:
        return pool.acquire(state.account, state.values, priority, timeout_s)
    except TooManyConnections:
        reason, detail = NoConnection.too_many_connections, "the target refused it"
    except PoolExhausted:
        reason, detail = NoConnection.pool_exhausted, "none became free"
    except ConnectFailed as error:
        mark_unanswered(context, target, str(error))
        reason, detail = NoConnection.connect_failed, str(error)
    detail = f"{detail}, {pool.open_count} of {pool.limit} open"
    return _no_connection(context, reason, detail)


def _no_connection(
    context: SessionContext, reason: NoConnection, detail: str
) -> Refusal:
    context.metrics.attempts.inc({"outcome": reason.value})
    return Refusal(reason, detail)


def commands_to_run(
    pooled: PooledConnection,
    state: SessionState,
    statement: Statement,
    floor: Position | None = None,
) -> list[Command]:
    """Returns the commands that run a statement, the last of which is :class:`Run`.

    :param floor: minimum position that the target's log must have reached, or ``None``.
    """
    in_transaction = pooled.state is not TransactionState.idle
    commands = commands_for_values(
        pooled.connection_state, state.values, in_transaction
    )
    prepared = state.find_prepared(statement)
    name = ""
    if prepared is not None:
        name = pooled.connection_state.name_of(prepared)
        if not name:
            name = pooled.connection_state.add_name(prepared)
            commands.append(Prepare(name, prepared.access, prepared.shape))
    commands.append(Run(statement, floor, name))
    return commands


def floor_of(
    context: SessionContext, state: SessionState, route: Route
) -> Position | Refusal:
    """Returns the current floor of a session's reads that may run at a replica."""
    return read_floor(
        route.consistency,
        context.board.history(route.service),
        route.max_staleness_ms / 1000.0,
        state.own_positions.get(route.service),
        context.now(),
    )


def is_wait_exhausted(
    context: SessionContext, route: Route, deadlines: Deadlines
) -> bool:
    """Whether a statement that no target has accepted should be refused now."""
    now = context.now()
    board = context.board
    known_primary = board.known_primary(route.service)
    may_use = board.authority.may_use(route.service, known_primary.target_id, now)
    if board.awaits_first_view():
        # Proxies found this owner before control has answered it.
        return now >= deadlines.start_deadline
    if known_primary.confirmed_at is None or not may_use:
        return not deadlines.waits_for_primary(known_primary.expected_at, now)
    return now >= deadlines.start_deadline


def is_covered_now(
    context: SessionContext, target: TargetEntry, sent_at: float
) -> bool:
    """Whether a target was its service's only primary from ``sent_at`` until now.

    A commit that it has answered by now was then made before any other target could be
    promoted.
    """
    authority = context.board.authority
    service = target.service
    return authority.covers(service, target.target_id, sent_at, context.now())


def exchange(
    context: SessionContext,
    pooled: PooledConnection,
    commands: list[Command],
    timeout_s: float,
    kind: str = "",
) -> list[Answer]:
    """Exchanges commands and updates the target's status from the result.

    :param kind: kind of the statement, within which durations are compared; empty for
        exchanges that say nothing about how the target serves statements.
    :raises ConnectionLost: if not all were answered; the connection is broken.
    """
    board = context.board
    target = pooled.pool.target
    status = board.status(target.target_id)
    started_at = board.clock.now()
    observed = begin_exchange(context, target, kind)
    outcome = None
    try:
        answers = pooled.connection.exchange(commands, max(timeout_s, 0.001))
    except ConnectionLost as error:
        pooled.is_broken = True
        context.metrics.lost_connections.inc({})
        if error.timed_out:
            mark_unanswered(context, target, str(error))
        outcome = outcome_of_loss(error, timeout_s)
        raise
    except BaseException:
        # A task killed here leaves answers unread on the connection.
        pooled.is_broken = True
        raise
    else:
        outcome = outcome_of(commands, answers)
    finally:
        end_exchange(context, target, observed, outcome)
    pooled.state = answers[-1].state
    if answers[-1].position is not None:
        status.position = answers[-1].position
        status.position_at = board.clock.now()
    was_failing = status.failing_since is not None
    record_answered(status, board.clock.now() - started_at)
    if was_failing:
        context.log.record(
            EventName.target_reachable, board.clock.now(), target_id=target.target_id
        )
    _discard_if_setup_failed(context, pooled, commands, answers)
    return answers


def _discard_if_setup_failed(
    context: SessionContext,
    pooled: PooledConnection,
    commands: list[Command],
    answers: list[Answer],
) -> None:
    """Marks a connection as broken if a command that sets up the session failed."""
    for command, answer in zip(commands, answers, strict=True):
        if answer.error is None or not isinstance(command, SETUP_COMMANDS):
            continue
        pooled.is_broken = True
        context.log.record(
            EventName.setup_refused,
            context.now(),
            target_id=pooled.pool.target.target_id,
            command=type(command).__name__,
            error=answer.error.value,
        )


def release_connection(pooled: PooledConnection) -> None:
    """Returns a connection to its pool; one inside a transaction is closed."""
    if pooled.state is not TransactionState.idle:
        pooled.is_broken = True
    pooled.pool.release(pooled)


@contextlib.contextmanager
def turn(
    context: SessionContext, target: TargetEntry, request: TurnRequest
) -> Iterator[None]:
    """Holds a turn at a target for the duration of the block.

    Only the owner of a target's connections sees every statement that runs there, so
    only the owner limits them; other processes don't wait.

    :raises TurnRefused: if no turn is granted in time; nothing ran.
    """
    board = context.board
    status = board.status(target.target_id)
    status.in_flight += 1
    try:
        if not board.owns(target.service):
            yield
            return
        with board.limiter(target).turn(request):
            yield
    finally:
        status.in_flight -= 1


@contextlib.contextmanager
def acquired_connection(
    context: SessionContext,
    target: TargetEntry,
    state: SessionState,
    request: TurnRequest,
) -> Iterator[PooledConnection | Refusal]:
    """Acquires a connection for one statement once its turn is granted.

    :returns: a :class:`NoConnection` if none is available in time; nothing ran.
    :raises TurnRefused: if no turn is granted in time; nothing ran.
    """
    with turn(context, target, request):
        timeout_s = max(request.start_deadline - context.now(), 0.0)
        pooled = acquire_connection(context, target, state, request.priority, timeout_s)
        try:
            yield pooled
        finally:
            if not isinstance(pooled, Refusal):
                release_connection(pooled)


def mark_unanswered(context: SessionContext, target: TargetEntry, reason: str) -> None:
    """Records and logs that a target couldn't be reached or didn't answer."""
    now = context.now()
    is_first = record_unanswered(context.board.status(target.target_id), now)
    if is_first:
        context.log.record(
            EventName.target_unreachable,
            now,
            target_id=target.target_id,
            reason=reason,
        )


def mark_primary(
    context: SessionContext,
    target: TargetEntry,
    sent_at: float,
    position: Position | None,
) -> None:
    """Records that a target's answer confirmed it as the primary of its service.

    :param sent_at: when the request was sent, in seconds of the clock.
    """
    board = context.board
    if not board.authority.accepts(target.service, target.target_id):
        return
    known_primary = board.known_primary(target.service)
    term = position.term if position is not None else 0
    if known_primary.target_id != target.target_id:
        if term < known_primary.term:
            return
        context.log.record(
            EventName.primary_found,
            board.clock.now(),
            service=target.service,
            target_id=target.target_id,
            before=known_primary.target_id,
            term=term,
        )
        known_primary.target_id = target.target_id
        board.changed.notify()
    elif known_primary.confirmed_at is None:
        board.changed.notify()
    known_primary.term = max(known_primary.term, term)
    known_primary.confirm(sent_at)
    # Without a lease at that time, another primary may have had later commits already.
    is_floor = board.authority.covers(
        target.service, target.target_id, sent_at, sent_at
    )
    if position is not None and is_floor:
        board.history(target.service).add(sent_at, position)


def mark_not_primary(context: SessionContext, target: TargetEntry) -> None:
    """Records that a target refused a request because it is not the primary."""
    known_primary = context.board.known_primary(target.service)
    if (
        known_primary.target_id != target.target_id
        or known_primary.confirmed_at is None
    ):
        return
    known_primary.confirmed_at = None
    context.board.changed.notify()
    context.log.record(
        EventName.primary_lost,
        context.now(),
        service=target.service,
        target_id=target.target_id,
        reason="it refused a request because it is not the primary",
    )

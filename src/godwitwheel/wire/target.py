"""Messages between the system and targets.

A target is a member of a database group. One TCP connection that has opened a
session is one database connection; statements of a transaction stay on it, and
closing it rolls an open transaction back. ``/v1/status``, ``/v1/promote`` and
``/v1/follow`` use other TCP connections, which don't count as database
connections.

==========================  =====================  ======================
request                     body                   reply
==========================  =====================  ======================
``GET /v1/status``          none                   :class:`TargetStatus`
``POST /v1/session``        none                   :class:`SessionOpened`
``POST /v1/statement``      :class:`Statement`     :class:`StatementReply`
``POST /v1/begin``          :class:`TransactionStep`  :class:`StepReply`
``POST /v1/commit``         :class:`TransactionStep`  :class:`StepReply`
``POST /v1/rollback``       :class:`TransactionStep`  :class:`StepReply`
``POST /v1/promote``        :class:`Promote`       :class:`TargetStatus`
``POST /v1/follow``         :class:`Follow`        :class:`TargetStatus`
==========================  =====================  ======================

Any other outcome is a status of 400 or above with a :class:`TargetProblem`.
"""

import enum
from typing import Any

import msgspec

from .numbers import Count


class Role(enum.StrEnum):
    """The role that a target reports."""

    primary = "primary"
    replica = "replica"


class ProblemCode(enum.StrEnum):
    """Why a target did not fulfil a request."""

    bad_request = "bad_request"
    not_primary = "not_primary"
    too_many_connections = "too_many_connections"
    no_session = "no_session"
    no_transaction = "no_transaction"
    statement_failed = "statement_failed"
    stale_term = "stale_term"
    leaving = "leaving"


class TargetStatus(msgspec.Struct, frozen=True):
    """The state that a target reports.

    :ivar address: ``IP:PORT`` of its HTTP interface.
    :ivar term: number of the latest promotion that it knows of.
    :ivar position: index of its last log entry; an index belongs to one term's
        history, so positions are comparable only within a term.
    :ivar term_start: log position at which ``term`` began.
    :ivar slots: statements that it runs at once.
    :ivar connection_cap: database connections that it accepts.
    """

    target_id: str
    group: str
    data_centre: str
    address: str
    role: Role
    term: Count
    position: Count
    term_start: Count
    slots: Count
    connection_cap: Count
    connections_open: Count = 0
    leaving: bool = False


class SessionOpened(msgspec.Struct, frozen=True):
    """The TCP connection is now a database connection."""

    term: Count
    role: Role


class Statement(msgspec.Struct, frozen=True):
    """One SQL statement; committed automatically outside a transaction.

    :ivar request_id: number that the reply repeats, so that a late reply is
        distinguished from the expected one.
    """

    request_id: Count
    sql: str
    parameters: list[Any] = []
    read_only: bool = False


class StatementReply(msgspec.Struct, frozen=True):
    """The complete result of a statement.

    :ivar term: the target's term when it ran the statement.
    :ivar position: log position that the statement read or, if it wrote outside a
        transaction, created.
    """

    request_id: Count
    term: Count
    position: Count
    columns: list[str] = []
    rows: list[list[Any]] = []
    row_count: int = 0


class TransactionStep(msgspec.Struct, frozen=True):
    """Begins, commits or rolls back a transaction; the path selects which."""

    request_id: Count
    read_only: bool = False


class StepReply(msgspec.Struct, frozen=True):
    """Confirms a step; after a commit, ``position`` is that of the commit."""

    request_id: Count
    term: Count
    position: Count


class Promote(msgspec.Struct, frozen=True):
    """Makes the target primary of ``term``, which must be above the target's own.

    It is no error if the target already is the primary of that term.
    """

    term: Count


class Follow(msgspec.Struct, frozen=True):
    """Makes the target replicate from ``primary_address`` under ``term``.

    The target discards the end of its log that diverges from the primary's.
    """

    term: Count
    primary_id: str
    primary_address: str


class TargetProblem(msgspec.Struct, frozen=True):
    """Why a target refused.

    :ivar ran: ``False`` only if the target is certain that nothing was run;
        otherwise it may have run the request.
    """

    code: ProblemCode
    message: str
    ran: bool = True

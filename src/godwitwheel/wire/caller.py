"""Messages between callers and proxies.

``POST /v1/request`` takes a :class:`CallerRequest` and answers with a
:class:`CallerAnswer`. Headers of the request:

``Godwitwheel-Session``
    the token in the caller's last answer. ``new`` says that the caller has not
    written before; without the header the proxy assumes that it may have.
``Idempotency-Key``
    required for a write that is not repeatable, 1 to 128 visible characters.
``Godwitwheel-Deadline-Ms``
    milliseconds that the caller will wait, from 1 to 60,000.

The status is 200 for ``done``, 400 to 499 for a request that is at fault, 503 for
any other ``not_run`` (with ``Retry-After``) and 504 for ``unknown``.
The header ``Godwitwheel-Session`` of the response repeats ``session``.
"""

import enum
from typing import Any

import msgspec

from .numbers import Count, SqlValue

SESSION_HEADER = "Godwitwheel-Session"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Godwitwheel-Deadline-Ms"
NEW_SESSION = "new"


class Outcome(enum.StrEnum):
    """The outcome of a request that a caller may rely on.

    ``not_run`` is reported only if the request certainly has not run and never will.
    """

    done = "done"
    not_run = "not_run"
    unknown = "unknown"


class Reason(enum.StrEnum):
    """Why a request's outcome is not ``done``."""

    bad_request = "bad_request"
    unknown_service = "unknown_service"
    unknown_request = "unknown_request"
    bad_session = "bad_session"
    key_required = "key_required"
    key_reused = "key_reused"
    key_expired = "key_expired"
    statement_failed = "statement_failed"
    overloaded = "overloaded"
    no_primary = "no_primary"
    no_lease = "no_lease"
    no_fresh_replica = "no_fresh_replica"
    draining = "draining"
    not_configured = "not_configured"
    claim_unavailable = "claim_unavailable"
    deadline = "deadline"
    primary_replaced = "primary_replaced"
    connection_lost = "connection_lost"
    already_claimed = "already_claimed"


class CallerStatement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One SQL statement with its parameters."""

    sql: str
    parameters: list[SqlValue] = []


class CallerRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named request; several statements form one transaction.

    :ivar request: name under which the service's file declares it.
    """

    service: str
    request: str
    statements: list[CallerStatement]


class StatementResult(msgspec.Struct, frozen=True):
    """The complete result of one statement."""

    columns: list[str] = []
    rows: list[list[Any]] = []
    row_count: int = 0


class CallerAnswer(msgspec.Struct, frozen=True):
    """The single answer to a request.

    :ivar session: token to send with the next request, to any proxy.
    :ivar retry_after_ms: delay before a retry, in milliseconds; 0 if a retry is
        pointless.
    :ivar served_by: target that ran it, empty if none did.
    :ivar from_replica: whether a replica served it.
    :ivar replayed: whether this is the recorded answer to an earlier attempt.
    """

    outcome: Outcome
    results: list[StatementResult] = []
    session: str = ""
    reason: Reason | None = None
    message: str = ""
    retry_after_ms: Count = 0
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False

"""Checks the promises from both ends: what callers were answered and targets ran."""

import time
from collections.abc import Callable

from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.statements import ErrorCode

from .accounts import NO_KEY, CallerKey, QuotaChecker

# Errors that guarantee that nothing of the statement's operation is committed.
UNCOMMITTED_CODES = frozenset(
    {
        ErrorCode.overloaded,
        ErrorCode.aborted,
        ErrorCode.lagging,
        ErrorCode.read_only,
        ErrorCode.wrong_target,
        ErrorCode.too_many_connections,
    }
)
MAX_KEPT_VIOLATIONS = 50
# Latest acknowledged writes that each read is checked against. A log that lacks an
# older one lacks some of these as well, since logs have no gaps.
CHECKED_WRITES = 200


class Operation:
    """One statement or transaction of a caller.

    :ivar values: session values that were acknowledged to the caller.
    :ivar began_at: monotonic time before its first statement was sent, in seconds.
    :ivar target_transaction: connection and number of the target's transaction that it
        runs in.
    :ivar commit_requested: whether the caller has sent its COMMIT.
    :ivar must_not_commit: an error guaranteed that nothing of it is committed.
    :ivar caller_key: key of its caller.
    :ivar has_run: whether one of its statements has run.
    """

    __slots__ = (
        "session_id",
        "service",
        "consistency",
        "max_staleness_s",
        "is_transaction",
        "values",
        "began_at",
        "target_transaction",
        "commit_requested",
        "must_not_commit",
        "caller_key",
        "has_run",
    )

    def __init__(
        self,
        session_id: str,
        service: str,
        consistency: Consistency,
        max_staleness_s: float,
        is_transaction: bool,
        values: dict[str, str],
        caller_key: CallerKey = NO_KEY,
    ):
        self.session_id = session_id
        self.service = service
        self.consistency = consistency
        self.max_staleness_s = max_staleness_s
        self.is_transaction = is_transaction
        self.values = dict(values)
        self.began_at = time.monotonic()
        self.target_transaction: tuple[object, int] | None = None
        self.commit_requested = False
        self.must_not_commit = False
        self.caller_key = caller_key
        self.has_run = False


class AcknowledgedWrite:
    """A committed write that was acknowledged to its caller."""

    __slots__ = ("acknowledged_at", "session_id", "request_id")

    def __init__(self, acknowledged_at: float, session_id: str, request_id: str):
        self.acknowledged_at = acknowledged_at
        self.session_id = session_id
        self.request_id = request_id


class PromiseChecker:
    """Records what was promised so far, and reports violations.

    Rules, as they are printed:

    - UNASKED: a target ran a statement, or committed, without the caller's request, or
      was told another client account than the caller's.
    - QUOTA: more operations of an account ran within a window than its limit allows.
    - PINNED: a statement ran with other session values or outside its transaction.
    - TWICE: a write was committed twice.
    - MIXED: an answer belongs to another statement, or acknowledges a write that was
      never committed.
    - REFUSED: a write was committed although an error guaranteed that it isn't.
    - STALE: a read misses a write that its consistency requires.
    - ONE: two holders used the same fencing token.
    - HELD, LOST: without an unplanned fault, a request got no answer, or a requested
      stop interrupted it.
    - LOST: an acknowledged write of a synchronous service isn't in the log of a target
      that was promoted.
    - CONFIG: a routing table was refused, altered, or not active in time, or a
      statement ran long after its caller's key was withdrawn.
    - START, RECOVER: the system was not ready in time at the start or after the faults.
    - SOAK: an error of the soak itself.

    :ivar statements: operation and text of each statement that a caller sent, by id.
    :ivar commit_counts: how often each write was committed, by id.
    :ivar acknowledged: acknowledged writes by service, in order.
    :ivar violations: broken promises, each as ``RULE: detail``.
    :ivar served: number of statements that were answered without an error.
    :ivar refused: number of error answers, by code.
    :ivar sent_at: when each statement was sent, by id, in seconds of the monotonic
        clock.
    """

    __slots__ = (
        "statements",
        "commit_counts",
        "acknowledged",
        "violations",
        "served",
        "refused",
        "sent_at",
        "quotas",
    )

    def __init__(self):
        self.statements: dict[str, tuple[Operation, str]] = {}
        self.commit_counts: dict[str, int] = {}
        self.acknowledged: dict[str, list[AcknowledgedWrite]] = {}
        self.violations: list[str] = []
        self.served = 0
        self.refused: dict[str, int] = {}
        self.sent_at: dict[str, float] = {}
        self.quotas = QuotaChecker()

    def report_violation(self, rule: str, detail: str) -> None:
        """Records a broken promise."""
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(f"{rule}: {detail}")

    # What callers send and are answered.

    def record_sent(self, operation: Operation, request_id: str, text: str) -> None:
        """Records a statement; called before it is sent."""
        if text == "COMMIT":
            operation.commit_requested = True
        self.statements[request_id] = (operation, text)
        self.sent_at[request_id] = time.monotonic()

    def record_answer(self, operation: Operation, code: ErrorCode | None) -> None:
        """Records whether a statement was answered with an error, and which."""
        if code is None:
            self.served += 1
            return
        self.refused[code.value] = self.refused.get(code.value, 0) + 1
        if code in UNCOMMITTED_CODES:
            operation.must_not_commit = True

    def record_acknowledged_writes(
        self, operation: Operation, request_ids: list[str]
    ) -> None:
        """Records acknowledged writes, and checks that they were committed."""
        acknowledged = self.acknowledged.setdefault(operation.service, [])
        now = time.monotonic()
        for request_id in request_ids:
            if not self.commit_counts.get(request_id):
                self.report_violation(
                    "MIXED", f"{request_id} acknowledged and never committed"
                )
            acknowledged.append(
                AcknowledgedWrite(now, operation.session_id, request_id)
            )

    # What targets run.

    def check_run(
        self,
        request_id: str,
        text: str,
        connection: object,
        transaction: int,
        values: dict[str, str],
    ) -> Operation | None:
        """Checks a statement that a target is about to run.

        :param transaction: number of the transaction that is open on the connection,
            0 for none.
        :returns: its operation, ``None`` if no caller sent it.
        """
        known = self.statements.get(request_id)
        if known is None:
            self.report_violation(
                "UNASKED", f"{request_id} {text!r}: no caller sent it"
            )
            return None
        operation, sent_text = known
        if text != sent_text:
            self.report_violation(
                "UNASKED", f"{request_id}: {text!r}, sent as {sent_text!r}"
            )
        if values != operation.values:
            self.report_violation(
                "PINNED", f"{request_id}: {values}, not {operation.values}"
            )
        if operation.is_transaction:
            target_transaction = (connection, transaction)
            operation.target_transaction = (
                operation.target_transaction or target_transaction
            )
            if operation.target_transaction != target_transaction or not transaction:
                self.report_violation(
                    "PINNED", f"{request_id} ran outside its transaction"
                )
        return operation

    def check_account(self, operation: Operation, request_id: str, told: str) -> None:
        """Checks the client account of a statement that a target is about to run.

        :param told: the account that the target was told.
        """
        caller_key = operation.caller_key
        sent_at = self.sent_at[request_id]
        if told != caller_key.account:
            self.report_violation(
                "UNASKED", f"{request_id} ran for {told!r}, not {caller_key.account!r}"
            )
        if not caller_key.may_run(sent_at):
            late_s = sent_at - caller_key.withdrawn_at
            self.report_violation(
                "CONFIG", f"{request_id} ran {late_s:.1f} s after its key was withdrawn"
            )
        if not operation.has_run:
            operation.has_run = True
            violation = self.quotas.record_run(
                caller_key.account, operation.began_at, time.monotonic()
            )
            if violation:
                self.report_violation("QUOTA", violation)

    def check_read(
        self,
        operation: Operation,
        request_id: str,
        contains_write: Callable[[str], bool],
    ) -> None:
        """Checks that a read reflects every write that its consistency requires.

        :param contains_write: whether the target's log has a write, or a promotion
            dropped it.
        """
        acknowledged = self.acknowledged.get(operation.service, [])
        for write in acknowledged[-CHECKED_WRITES:]:
            if write.acknowledged_at >= operation.began_at or contains_write(
                write.request_id
            ):
                continue
            if self._must_see(operation, write):
                age_ms = round(1000 * (operation.began_at - write.acknowledged_at))
                self.report_violation(
                    "STALE",
                    f"{request_id} ({operation.consistency.value}) misses "
                    f"{write.request_id}, acknowledged {age_ms} ms before",
                )

    def check_commits(
        self, request_ids: list[str], operation: Operation | None
    ) -> None:
        """Checks writes that are committed at a target."""
        for request_id in request_ids:
            self.commit_counts[request_id] = self.commit_counts.get(request_id, 0) + 1
            if self.commit_counts[request_id] > 1:
                self.report_violation("TWICE", f"{request_id} committed again")
        if operation is None or not request_ids:
            return
        if operation.must_not_commit:
            self.report_violation(
                "REFUSED", f"{request_ids} committed after it was refused"
            )
        if operation.is_transaction and not operation.commit_requested:
            self.report_violation(
                "UNASKED", f"{request_ids} committed before the caller sent COMMIT"
            )

    def check_refused_operations(self) -> None:
        """Checks at the end of a run that no refused operation was committed."""
        for request_id in self.commit_counts:
            operation, _ = self.statements[request_id]
            if operation.must_not_commit:
                self.report_violation(
                    "REFUSED", f"{request_id} is committed although it was refused"
                )

    def _must_see(self, operation: Operation, write: AcknowledgedWrite) -> bool:
        if operation.consistency is Consistency.primary:
            return True
        is_own = write.session_id == operation.session_id
        if is_own and operation.consistency is Consistency.read_your_writes:
            return True
        return operation.began_at - write.acknowledged_at > operation.max_staleness_s

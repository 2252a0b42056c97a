"""Checks the promises from both ends: what callers were told and what targets ran."""

import time
from collections.abc import Callable

from godwitwheel.directory.records import Consistency
from godwitwheel.sessions.statements import ErrorCode

# Answers that promise that nothing of the statement's operation is kept.
NOTHING_KEPT = frozenset(
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
# Latest commits that each read is checked against. A log without an older one lacks
# some of these as well, since logs have no gaps.
CHECKED_COMMITS = 200


class Operation:
    """One statement or transaction of a caller.

    :ivar values: session values that the caller was acknowledged.
    :ivar began_at: before its first statement that runs was sent, in seconds.
    :ivar place: connection and number of the target's transaction that it runs in.
    :ivar wants_commit: whether the caller has asked for its commit.
    :ivar is_disowned: the caller was promised that nothing of it is kept.
    """

    __slots__ = (
        "session_id",
        "service",
        "consistency",
        "max_staleness_s",
        "is_transaction",
        "values",
        "began_at",
        "place",
        "wants_commit",
        "is_disowned",
    )

    def __init__(
        self,
        session_id: str,
        service: str,
        consistency: Consistency,
        max_staleness_s: float,
        is_transaction: bool,
        values: dict[str, str],
    ):
        self.session_id = session_id
        self.service = service
        self.consistency = consistency
        self.max_staleness_s = max_staleness_s
        self.is_transaction = is_transaction
        self.values = dict(values)
        self.began_at = time.monotonic()
        self.place: tuple[object, int] | None = None
        self.wants_commit = False
        self.is_disowned = False


class Acknowledged:
    """A commit that a caller was told of."""

    __slots__ = ("at", "session_id", "request_id")

    def __init__(self, at: float, session_id: str, request_id: str):
        self.at = at
        self.session_id = session_id
        self.request_id = request_id


class Promises:
    """What was promised so far, and what broke it.

    :ivar statements: operation and text of each statement that a caller sent, by id.
    :ivar committed: how often each write took effect, by id.
    :ivar acknowledged: commits that callers know of, by service, in order.
    :ivar violations: what broke a promise.
    """

    __slots__ = (
        "statements",
        "committed",
        "acknowledged",
        "violations",
        "served",
        "refused",
    )

    def __init__(self):
        self.statements: dict[str, tuple[Operation, str]] = {}
        self.committed: dict[str, int] = {}
        self.acknowledged: dict[str, list[Acknowledged]] = {}
        self.violations: list[str] = []
        self.served = 0
        self.refused: dict[str, int] = {}

    def broke(self, rule: str, detail: str) -> None:
        """Notes that a promise was broken."""
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(f"{rule}: {detail}")

    # What callers send and are told.

    def sent(self, operation: Operation, request_id: str, text: str) -> None:
        """Takes in a statement before it is sent."""
        if text == "COMMIT":
            operation.wants_commit = True
        self.statements[request_id] = (operation, text)

    def told(self, operation: Operation, code: ErrorCode | None) -> None:
        """Takes in the answer to a statement that was to run."""
        if code is None:
            self.served += 1
            return
        self.refused[code.value] = self.refused.get(code.value, 0) + 1
        if code in NOTHING_KEPT:
            operation.is_disowned = True

    def told_committed(self, operation: Operation, request_ids: list[str]) -> None:
        """Takes in that a caller knows that its writes are committed."""
        known = self.acknowledged.setdefault(operation.service, [])
        now = time.monotonic()
        for request_id in request_ids:
            if not self.committed.get(request_id):
                self.broke("MIXED", f"{request_id} acknowledged and never committed")
            known.append(Acknowledged(now, operation.session_id, request_id))

    # What targets run.

    def ran(
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
            self.broke("UNASKED", f"{request_id} {text!r}: no caller sent it")
            return None
        operation, sent_text = known
        if text != sent_text:
            self.broke("UNASKED", f"{request_id}: {text!r}, sent as {sent_text!r}")
        if values != operation.values:
            self.broke("PINNED", f"{request_id}: {values}, not {operation.values}")
        if operation.is_transaction:
            place = (connection, transaction)
            operation.place = operation.place or place
            if operation.place != place or not transaction:
                self.broke("PINNED", f"{request_id} ran outside its transaction")
        return operation

    def read_from(
        self, operation: Operation, request_id: str, holds: Callable[[str], bool]
    ) -> None:
        """Checks that a read sees what it must.

        :param holds: whether the target's log has a write, or a promotion dropped it.
        """
        known = self.acknowledged.get(operation.service, [])
        for commit in known[-CHECKED_COMMITS:]:
            if commit.at >= operation.began_at or holds(commit.request_id):
                continue
            if self._must_see(operation, commit):
                age_ms = round(1000 * (operation.began_at - commit.at))
                self.broke(
                    "STALE",
                    f"{request_id} ({operation.consistency.value}) misses "
                    f"{commit.request_id}, acknowledged {age_ms} ms before",
                )

    def commits(self, request_ids: list[str], operation: Operation | None) -> None:
        """Checks writes that take effect."""
        for request_id in request_ids:
            self.committed[request_id] = self.committed.get(request_id, 0) + 1
            if self.committed[request_id] > 1:
                self.broke("TWICE", f"{request_id} took effect again")
        if operation is None or not request_ids:
            return
        if operation.is_disowned:
            self.broke("REFUSED", f"{request_ids} committed after it was refused")
        if operation.is_transaction and not operation.wants_commit:
            self.broke("UNASKED", f"{request_ids} committed unasked")

    def check_disowned(self) -> None:
        """Checks at the end that nothing is kept of what was refused."""
        for request_id in self.committed:
            operation, _ = self.statements[request_id]
            if operation.is_disowned:
                self.broke("REFUSED", f"{request_id} is kept though it was refused")

    def _must_see(self, operation: Operation, commit: Acknowledged) -> bool:
        if operation.consistency is Consistency.primary:
            return True
        is_own = commit.session_id == operation.session_id
        if is_own and operation.consistency is Consistency.read_your_writes:
            return True
        return operation.began_at - commit.at > operation.max_staleness_s

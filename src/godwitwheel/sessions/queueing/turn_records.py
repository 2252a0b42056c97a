"""Requests for turns, and the states of a request: queued, then running."""

from .presence import CallerPresence

# Expected durations are compared in steps of this size; requests of the same step are
# served in order of arrival. In seconds.
RANK_STEP_S = 0.005
# A turn is overdue after this many times its expected duration: its answer was probably
# lost, or a VM was paused, so the target most likely has a free slot again.
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.05


class TurnRequest:
    """A statement's request for a turn.

    :ivar kind: class of statements whose durations are averaged together.
    :ivar account: client account that the turn is charged to, or ``NO_ACCOUNT``.
    :ivar priority: lower goes first; negative for transactions that have begun.
    :ivar start_deadline: deadline for the start of the turn, in seconds of the clock.
    :ivar opens_transaction: whether it is the first statement of a transaction; the
        later ones go first once it has run.
    :ivar presence: withdraws the request when its caller leaves; ``None`` if it waits
        for its turn in any case.
    """

    __slots__ = (
        "kind",
        "account",
        "priority",
        "start_deadline",
        "opens_transaction",
        "presence",
    )

    def __init__(
        self,
        kind: str,
        account: str,
        priority: int,
        start_deadline: float,
        opens_transaction: bool = False,
        presence: CallerPresence | None = None,
    ):
        self.kind = kind
        self.account = account
        self.priority = priority
        self.start_deadline = start_deadline
        self.opens_transaction = opens_transaction
        self.presence = presence


class QueuedTurn:
    """A queued request.

    :ivar expected_s: expected duration of its turn; for one that opens a transaction,
        of all turns of the transaction. In seconds.
    :ivar key: its place among the requests of its account; the lowest goes first.
    :ivar available_share: share of the target's capacity left by the statements that
        go first, as of the last :meth:`.turns.TurnQueue.shed_late`.
    :ivar slowdown: factor by which the statements of other accounts that have yet to
        arrive prolong its wait, likewise.
    :ivar is_waiting: whether it is in the queue.
    :ivar running: its turn once granted.
    """

    __slots__ = (
        "request",
        "expected_s",
        "key",
        "available_share",
        "slowdown",
        "is_waiting",
        "running",
    )

    def __init__(self, request: TurnRequest, expected_s: float, number: int):
        self.request = request
        self.expected_s = expected_s
        self.available_share = 1.0
        self.slowdown = 1.0
        self.is_waiting = True
        self.running: RunningTurn | None = None
        self.key = (*rank(request.priority, expected_s), number)


class RunningTurn:
    """A granted turn; see :class:`.turns.TurnQueue`.

    :ivar began_at: when it was granted, in seconds of the clock.
    :ivar overdue_at: when it stops counting against the limit, in seconds of the clock.
    """

    __slots__ = ("kind", "account", "began_at", "overdue_at")

    def __init__(self, kind: str, account: str, expected_s: float, now: float):
        self.kind = kind
        self.account = account
        self.began_at = now
        self.overdue_at = now + max(OVERDUE_FACTOR * expected_s, MIN_OVERDUE_S)


def rank(priority: int, expected_s: float) -> tuple[int, int]:
    """Returns the sort key of a kind or request; the lowest goes first."""
    return (priority, int(expected_s / RANK_STEP_S))

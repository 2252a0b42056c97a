"""One validated request while the proxy executes it."""

from ..decisions.sessions import Session
from ..wire.caller import CallerRequest, Reason
from ..wire.service import Access, RequestRule, Service


class Work:
    """A request whose service, rule, session, key and deadline are validated.

    :ivar session: the caller's acknowledged writes; a write adds to it.
    :ivar key: idempotency key; empty if there is none.
    :ivar started_at: when the request arrived, in seconds of the clock.
    :ivar deadline: when the caller stops waiting, in seconds of the clock.
    :ivar may_have_run: whether one of its statements may have reached a target.
    :ivar unknown_outcome_reason: why the outcome of an earlier attempt is unknown;
        ``None`` if there was no such attempt.
    """

    __slots__ = (
        "request",
        "service",
        "rule",
        "session",
        "key",
        "started_at",
        "deadline",
        "may_have_run",
        "unknown_outcome_reason",
    )

    def __init__(
        self,
        request: CallerRequest,
        service: Service,
        rule: RequestRule,
        session: Session,
        key: str,
        started_at: float,
        deadline: float,
    ):
        self.request = request
        self.service = service
        self.rule = rule
        self.session = session
        self.key = key
        self.started_at = started_at
        self.deadline = deadline
        self.may_have_run = False
        self.unknown_outcome_reason: Reason | None = None

    @property
    def is_read(self) -> bool:
        """Whether the request only reads."""
        return self.rule.access is Access.read

    def remaining_s(self, now: float) -> float:
        """Returns how long the caller will still wait, in seconds."""
        return self.deadline - now

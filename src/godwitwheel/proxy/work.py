"""One validated request on its way through the proxy."""

from ..decisions.sessions import Session
from ..wire.caller import CallerRequest, Reason
from ..wire.service import Access, RequestRule, Service


class Work:
    """A request whose service, rule, session, key and deadline are checked.

    :ivar session: what the caller has written; a write adds to it.
    :ivar key: idempotency key; empty if there is none.
    :ivar started_at: when it arrived, in seconds of the clock.
    :ivar deadline: when the caller stops waiting, in seconds of the clock.
    :ivar may_have_run: whether a statement of it may have reached a target.
    :ivar doubt: why an earlier attempt has an unknown outcome.
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
        "doubt",
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
        self.doubt: Reason | None = None

    @property
    def is_read(self) -> bool:
        """Whether it only reads."""
        return self.rule.access is Access.read

    def remaining_s(self, now: float) -> float:
        """Returns how long the caller will still wait, in seconds."""
        return self.deadline - now

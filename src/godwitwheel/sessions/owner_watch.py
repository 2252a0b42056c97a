"""Asks owners whether they are within reach, as soon as that is in doubt.

A proxy with few callers would learn from their statements alone only after a second
that it is cut off, and the balancer leaves callers with the proxies of a data centre
until all of them say that they are not ready.
"""

from ..directory.records import OwnerEntry
from ..internal.loop import spawn
from .remote import OwnerCalls
from .reporting import Reporter

# An owner that answers nothing for so long is asked, and so is control, in seconds.
DOUBT_S = 0.2
# Time between two questions to one owner, in seconds.
QUESTION_INTERVAL_S = 0.25


class OwnerWatch:
    """Questions to the owners of the present view.

    :ivar asked_at: when each owner was asked last, by address.
    :ivar is_in_doubt: whether an owner was silent at the last check.
    """

    __slots__ = ("calls", "asked_at", "is_in_doubt")

    def __init__(self, calls: OwnerCalls):
        self.calls = calls
        self.asked_at: dict[str, float] = {}
        self.is_in_doubt = False

    def check(self, reporter: Reporter, now: float) -> None:
        """Asks whoever is in doubt."""
        owners = self._owners()
        silence = self.calls.silence
        silent = [owner for owner in owners if silence.lasted_s(owner, now) >= DOUBT_S]
        for owner in owners if reporter.is_lost else silent:
            self._ask(owner, now)
        if silent and not self.is_in_doubt:
            # Control tells whether the owner is lost, or this proxy is cut off.
            self.calls.context.board.changed.notify()
        self.is_in_doubt = bool(silent)

    def is_reached(self, service: str, now: float) -> bool:
        """Whether nothing speaks against reaching the owner of a service."""
        owner = self.calls.owner_of(service)
        return owner is not None and not self.calls.silence.is_proven(owner, now)

    def _owners(self) -> list[OwnerEntry]:
        found = self.calls.context.board.view.owners.values()
        return list({owner.address: owner for owner in found}.values())

    def _ask(self, owner: OwnerEntry, now: float) -> None:
        if now - self.asked_at.get(owner.address, -QUESTION_INTERVAL_S) < (
            QUESTION_INTERVAL_S
        ):
            return
        self.asked_at[owner.address] = now
        spawn(self.calls.ask, owner)

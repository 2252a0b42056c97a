"""Probes owners as soon as they are suspected to be unreachable.

From its callers' statements alone, a proxy with few callers would take a second to
detect that it is isolated. The load balancer goes on sending callers to a data centre
until all of its proxies report that they are not ready.
"""

from ...directory.records import OwnerEntry
from ...internal.loop import spawn
from ..reporting.reporting import Reporter
from .owner_calls import OwnerCalls

# Time without any answer after which an owner is suspected, in seconds: it is probed,
# and a report is sent to control.
SUSPECT_AFTER_S = 0.2
# Shortest time between two probes of one owner, in seconds.
PROBE_INTERVAL_S = 0.25


class OwnerWatch:
    """Probes the owners of the current view.

    :ivar probed_at: when each owner was last probed, by address.
    :ivar has_suspects: whether the last check suspected an owner.
    """

    __slots__ = ("calls", "probed_at", "has_suspects")

    def __init__(self, calls: OwnerCalls):
        self.calls = calls
        self.probed_at: dict[str, float] = {}
        self.has_suspects = False

    def check(self, reporter: Reporter, now: float) -> None:
        """Probes suspected owners, or all of them while control is unreachable."""
        owners = self._owners()
        breakers = self.calls.breakers
        suspects = [
            owner
            for owner in owners
            if breakers.unanswered_s(owner, now) >= SUSPECT_AFTER_S
        ]
        for owner in owners if reporter.is_control_unreachable else suspects:
            self._probe(owner, now)
        for owner in suspects:
            if breakers.should_fail_fast(owner, now):
                self.calls.abort_waiting(owner)
        if suspects and not self.has_suspects:
            # Sends a report at once: whether control answers shows if only the owner is
            # unreachable, or this proxy is isolated.
            self.calls.context.board.changed.notify()
        self.has_suspects = bool(suspects)

    def is_reachable(self, service: str, now: float) -> bool:
        """Whether a service has an owner that answers and is not isolated itself."""
        owner = self.calls.owner_of(service)
        if owner is None or self.calls.breakers.is_unresponsive(owner, now):
            return False
        return not self.calls.breakers.is_isolated(owner, now)

    def _owners(self) -> list[OwnerEntry]:
        found = self.calls.context.board.view.owners.values()
        return list({owner.address: owner for owner in found}.values())

    def _probe(self, owner: OwnerEntry, now: float) -> None:
        if now - self.probed_at.get(owner.address, -PROBE_INTERVAL_S) < (
            PROBE_INTERVAL_S
        ):
            return
        self.probed_at[owner.address] = now
        spawn(self.calls.probe, owner)

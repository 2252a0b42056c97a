"""Targets that are gone and may hold acknowledged commits.

A commit of a service with synchronous replicas is acknowledged once some of them have
received it. One that is gone can't be asked any more what it had received. Neither a
target that answers at its address speaks for it, nor one that starts again under its
id: that one knows nothing of before. So the incarnation is remembered, whatever removed
its entry, until the primary is known to have no commit that too few others hold.
"""

import msgspec

from ..observe.events import EventName, record_event
from .records import Incarnation, RoutingTable, TargetEntry

# Lost targets that are remembered of a service. A promotion is withheld from the first
# few on, so that the oldest of so many may be dropped.
MAX_LOST_PER_SERVICE = 64


class LostTarget(msgspec.Struct, frozen=True):
    """An incarnation that is gone.

    :ivar has_led: whether it was the primary, and no other one was named since.
    """

    incarnation: Incarnation
    has_led: bool = False


class LostTargetsSnapshot(msgspec.Struct, frozen=True):
    """The whole state of :class:`LostTargets`."""

    by_service: dict[str, list[LostTarget]] = {}
    synchronous: list[str] = []


class LostTargets:
    """Part of the replicated directory: the lost targets of synchronous services.

    :ivar by_service: the lost targets, the oldest first.
    :ivar synchronous: services that a table has declared with synchronous replicas,
        also if the active table does not: a commit of that time may be lost later.
    """

    __slots__ = ("by_service", "synchronous")

    def __init__(self):
        self.by_service: dict[str, list[LostTarget]] = {}
        self.synchronous: set[str] = set()

    def of(self, service: str) -> list[LostTarget]:
        """Returns the lost targets of a service."""
        return self.by_service.get(service, [])

    def apply_table(self, table: RoutingTable, targets: dict[str, TargetEntry]) -> None:
        """Records which services have synchronous replicas.

        A service that is gone, with all that may hold its commits, is forgotten.
        """
        used = {target.service for target in targets.values()}
        kept = used | table.services.keys() | self.by_service.keys()
        self.synchronous &= kept
        self.synchronous |= {
            name
            for name, policy in table.services.items()
            if policy.synchronous_replicas > 0
        }

    def record(self, entry: TargetEntry, has_led: bool) -> None:
        """Records that a target is gone."""
        if entry.service not in self.synchronous:
            return
        lost = [*self.of(entry.service), LostTarget(entry.incarnation(), has_led)]
        self.by_service[entry.service] = lost[-MAX_LOST_PER_SERVICE:]
        record_event(
            EventName.target_lost,
            service=entry.service,
            target_id=entry.target_id,
            started_at_ms=entry.started_at_ms,
            has_led=has_led,
            lost=len(lost),
        )

    def forget(self, service: str, incarnations: list[Incarnation]) -> bool:
        """Forgets lost targets.

        :returns: whether there was one of them.
        """
        lost = self.of(service)
        kept = [each for each in lost if each.incarnation not in incarnations]
        if kept:
            self.by_service[service] = kept
        else:
            self.by_service.pop(service, None)
        return len(kept) < len(lost)

    def name_primary(self, service: str) -> None:
        """Records that a primary was named: another one holds all commits now."""
        if service in self.by_service:
            self.by_service[service] = [
                LostTarget(each.incarnation) for each in self.by_service[service]
            ]

    def snapshot(self) -> LostTargetsSnapshot:
        """Returns all that :meth:`restore` needs."""
        return LostTargetsSnapshot(dict(self.by_service), sorted(self.synchronous))

    def restore(self, snapshot: LostTargetsSnapshot) -> None:
        """Replaces the whole state."""
        self.by_service = dict(snapshot.by_service)
        self.synchronous = set(snapshot.synchronous)

"""A model of a group with asynchronous replication and of a control member.

It follows the rules by which views change, with any delay between the steps.
"""

from godwitwheel.wire.control import ClusterView, GroupPhase, GroupView, TargetRecord
from godwitwheel.wire.target import Role, TargetStatus

GROUP = "bays"
LEASE_S = 0.6
CLOCK_DRIFT = 0.01
TOKEN_KEY = "5a" * 16


class ModelTarget:
    """A target whose log holds one write ID per position."""

    def __init__(self, target_id: str):
        self.target_id = target_id
        self.log: list[int] = []
        self.term = 0
        self.term_start = 0
        self.role = Role.replica

    def status(self) -> TargetStatus:
        return TargetStatus(
            target_id=self.target_id,
            group=GROUP,
            data_centre="dc",
            address="127.0.0.1:1",
            role=self.role,
            term=self.term,
            position=len(self.log),
            term_start=self.term_start,
            slots=2,
            connection_cap=15,
        )

    def promote(self, term: int) -> None:
        self.term = term
        self.term_start = len(self.log)
        self.role = Role.primary

    def copy_from(self, primary: "ModelTarget", count: int) -> None:
        """Replicates ``count`` entries from a primary of the same or a later term."""
        if self.term < primary.term:
            # Entries after the start of the primary's term may have diverged.
            self.log = self.log[: primary.term_start]
            if self.log != primary.log[: len(self.log)]:
                self.log = []
            if len(self.log) < primary.term_start:
                self.log = primary.log[: primary.term_start]
            self.term = primary.term
            self.term_start = primary.term_start
            self.role = Role.replica
        end = min(len(self.log) + count, len(primary.log))
        self.log = primary.log[:end]


class ModelControl:
    """Commits views; a proxy receives a view only in a heartbeat reply."""

    def __init__(self, target_ids: list[str]):
        self.targets = {name: ModelTarget(name) for name in target_ids}
        first = target_ids[0]
        in_sync = target_ids[:-1]
        for name in target_ids:
            self.targets[name].term = 1
        self.targets[first].role = Role.primary
        self.holders: dict[str, tuple[int, float]] = {}
        self.view = ClusterView(
            1,
            {
                GROUP: GroupView(
                    GROUP, 1, GroupPhase.serving, first, 0, {}, in_sync, in_sync
                )
            },
            {
                name: TargetRecord(name, GROUP, "dc", "127.0.0.1:1", 2, 15)
                for name in target_ids
            },
            TOKEN_KEY,
        )

    @property
    def group(self) -> GroupView:
        return self.view.groups[GROUP]

    @property
    def primary(self) -> ModelTarget:
        return self.targets[self.group.primary]

    def heartbeat(self, proxy_id: str, view_version: int, now: float) -> ClusterView:
        """Grants a lease that starts when the heartbeat is received."""
        self.holders[proxy_id] = (view_version, now + LEASE_S * (1 + CLOCK_DRIFT))
        return self.view

    def is_known_to_all(self, now: float) -> bool:
        """Whether every proxy with a lease uses the current view."""
        return all(
            version >= self.view.version or expiry <= now
            for version, expiry in self.holders.values()
        )

    def commit(self, **changes: object) -> None:
        fields = {
            name: getattr(self.group, name) for name in GroupView.__struct_fields__
        }
        group = GroupView(**{**fields, **changes})
        self.view = ClusterView(
            self.view.version + 1, {GROUP: group}, self.view.targets, TOKEN_KEY
        )

    def fence(self, lost: str) -> None:
        """Removes the primary, and if possible ``lost``, from the candidates."""
        candidates = [
            name for name in self.group.promotable if name != self.group.primary
        ]
        reachable = [name for name in candidates if name != lost]
        self.commit(phase=GroupPhase.fenced, promotable=reachable or candidates)

    def promote(self) -> None:
        """Promotes the candidate with the longest log."""
        group = self.group
        best = max(
            (self.targets[name] for name in group.promotable),
            key=lambda target: (target.term, len(target.log)),
        )
        best.promote(group.term + 1)
        self.commit(
            term=best.term,
            phase=GroupPhase.serving,
            primary=best.target_id,
            term_start=best.term_start,
            previous={**group.previous, group.term: group.term_start},
            ack_set=group.promotable,
        )

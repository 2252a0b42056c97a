"""The replicated cluster state: targets, group views and the token key."""

import msgspec

from ..wire.control import ClusterView
from .commands import ChangeGroup, Floor, PutTarget, RemoveTarget, SetTokenKey


class ClusterSnapshot(msgspec.Struct, frozen=True):
    """The whole state of :class:`Cluster`."""

    view: ClusterView = ClusterView()
    changed_at: dict[str, int] = {}
    floors: dict[str, dict[str, Floor]] = {}


class Cluster:
    """Applies commands, and builds the view that proxies route by.

    :ivar changed_at: log index of the latest change of each group's view.
    :ivar floors: by group, the known log positions of its targets at that change.
    """

    __slots__ = ("view", "changed_at", "floors")

    def __init__(self):
        self.view = ClusterView()
        self.changed_at: dict[str, int] = {}
        self.floors: dict[str, dict[str, Floor]] = {}

    def set_token_key(self, index: int, command: SetTokenKey) -> bool:
        """Sets the token key if there is none yet."""
        if self.view.token_key:
            return False
        self._update_view(index, token_key=command.token_key)
        return True

    def put_target(self, index: int, command: PutTarget) -> bool:
        """Adds or replaces a target's record."""
        record = command.record
        if self.view.targets.get(record.target_id) == record:
            return False
        targets = {**self.view.targets, record.target_id: record}
        self._update_view(index, targets=targets)
        return True

    def remove_target(self, index: int, command: RemoveTarget) -> bool:
        """Removes a target, unless a group view still refers to it."""
        target_id = command.target_id
        if target_id not in self.view.targets or self._is_in_group_view(target_id):
            return False
        targets = dict(self.view.targets)
        del targets[target_id]
        self._update_view(index, targets=targets)
        return True

    def change_group(self, index: int, command: ChangeGroup) -> bool:
        """Replaces a group's view, unless it has changed since the command's base."""
        group = command.view.group
        if self.changed_at.get(group, 0) != command.based_on:
            return False
        self.changed_at[group] = index
        self.floors[group] = command.floors
        self._update_view(index, groups={**self.view.groups, group: command.view})
        return True

    def snapshot(self) -> ClusterSnapshot:
        """Returns all that :meth:`restore` needs."""
        return ClusterSnapshot(self.view, self.changed_at, self.floors)

    def restore(self, snapshot: ClusterSnapshot) -> None:
        """Replaces the whole state."""
        self.view = snapshot.view
        self.changed_at = dict(snapshot.changed_at)
        self.floors = dict(snapshot.floors)

    def _update_view(self, index: int, **fields: object) -> None:
        self.view = msgspec.structs.replace(self.view, version=index, **fields)

    def _is_in_group_view(self, target_id: str) -> bool:
        return any(
            target_id == view.primary or target_id in view.ack_set
            for view in self.view.groups.values()
        )

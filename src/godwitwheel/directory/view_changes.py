"""Differences of views: a process is sent only what differs from its own view.

Versions are indexes of the replicated log, so views of equal version are equal on every
member. The routing table is not part of a change; processes fetch it themselves.
"""

import msgspec

from ..wire.codec import encode
from .assembly import AssemblyBudget
from .differences import apply_difference, changed_items, removed_keys
from .records import (
    DirectoryView,
    OwnedServices,
    OwnerEntry,
    ProxyReport,
    RoutingTable,
    ViewChange,
)

# Views that a member keeps, so that a process that missed several consecutive changes
# still gets a difference.
MAX_RECENT_VIEWS = 64
# Changes that are kept; the least recently sent one is dropped first.
MAX_KEPT_CHANGES = 64
# Largest complete view with targets that is sent to a proxy of a large fleet: a larger
# one does not arrive within a report's timeout over a slow link.
MAX_PROXY_VIEW_BYTES = 12 * 1024


def view_change(
    base: DirectoryView | None, view: DirectoryView, has_targets: bool
) -> ViewChange:
    """Returns the change from ``base`` to ``view``.

    :param base: ``None`` if the process's view is not known; the change is complete.
    :param has_targets: whether it includes targets, primaries and fences.
    """
    held = base if base is not None else DirectoryView()
    change = ViewChange(
        held.version,
        view.version,
        has_targets,
        owners=group_owners(changed_items(held.owners, view.owners)),
        removed_owners=removed_keys(held.owners, view.owners),
    )
    if not has_targets:
        return change
    return msgspec.structs.replace(
        change,
        targets=changed_items(held.targets, view.targets),
        primaries=changed_items(held.primaries, view.primaries),
        fences=changed_items(held.fences, view.fences),
        removed_targets=removed_keys(held.targets, view.targets),
        removed_primaries=removed_keys(held.primaries, view.primaries),
        removed_fences=removed_keys(held.fences, view.fences),
    )


def apply_view_change(
    held: DirectoryView, has_targets: bool, change: ViewChange
) -> DirectoryView | None:
    """Applies a change to a view, and returns the result with the table of ``held``.

    :param has_targets: whether ``held`` includes targets, primaries and fences.
    :returns: ``None`` if the change is based on another view than ``held``.
    """
    base = DirectoryView()
    if change.base_version:
        if (change.base_version, change.has_targets) != (held.version, has_targets):
            return None
        base = held
    owners = ungroup_owners(change.owners)
    return DirectoryView(
        change.version,
        held.table,
        apply_difference(base.targets, change.targets, change.removed_targets),
        apply_difference(base.primaries, change.primaries, change.removed_primaries),
        apply_difference(base.owners, owners, change.removed_owners),
        apply_difference(base.fences, change.fences, change.removed_fences),
    )


def group_owners(owners: dict[str, OwnerEntry]) -> list[OwnedServices]:
    """Groups services by owner: few owners have hundreds of services."""
    services: dict[OwnerEntry, list[str]] = {}
    for service, owner in owners.items():
        services.setdefault(owner, []).append(service)
    return [
        OwnedServices(owner.proxy_id, owner.address, owned)
        for owner, owned in services.items()
    ]


def ungroup_owners(groups: list[OwnedServices]) -> dict[str, OwnerEntry]:
    """Returns the owners by service."""
    return {
        service: OwnerEntry(group.proxy_id, group.address)
        for group in groups
        for service in group.services
    }


class RecentViews:
    """The views that were active recently, by version, the oldest first."""

    __slots__ = ("views",)

    def __init__(self):
        self.views: dict[int, DirectoryView] = {}

    def add(self, view: DirectoryView) -> None:
        """Records the active view; commands of one log entry share a version."""
        # Tables are large, and no part of a change.
        self.views[view.version] = msgspec.structs.replace(view, table=RoutingTable())
        if len(self.views) > MAX_RECENT_VIEWS:
            del self.views[next(iter(self.views))]

    def find(self, version: int) -> DirectoryView | None:
        """Returns the view of a version, or ``None`` if it is not kept."""
        return self.views.get(version)


class ViewChanges:
    """Computes each change between two recent views once.

    :ivar recent: the views that were active recently.
    :ivar budget: bounds how often a complete view is put together.
    :ivar kept: changes by base version, new version and whether they have targets, the
        least recently sent one first.
    :ivar sizes: size of the newest complete view with targets, in bytes, by version.
    """

    __slots__ = ("recent", "budget", "kept", "sizes")

    def __init__(self, recent: RecentViews, budget: AssemblyBudget):
        self.recent = recent
        self.budget = budget
        self.kept: dict[tuple[int, int, bool], ViewChange] = {}
        self.sizes: dict[int, int] = {}

    def change_for(
        self,
        report: ProxyReport,
        view: DirectoryView,
        is_small_fleet: bool,
        now: float,
    ) -> ViewChange | None:
        """Returns the change from a process's view to the active one.

        :param is_small_fleet: whether proxies connect to targets themselves.
        :returns: ``None`` if a complete view can't be put together now.
        """
        change = self._find(report.view_version, view, report.wants_targets, now)
        if change is None or change.base_version or not report.wants_targets:
            return change
        if report.owner_address or is_small_fleet or not self._is_large(change):
            return change
        # Control will name owners; until then there is no use in so many targets.
        return self._find(report.view_version, view, False, now)

    def _find(
        self, held_version: int, view: DirectoryView, has_targets: bool, now: float
    ) -> ViewChange | None:
        base = self.recent.find(held_version) if held_version else None
        base_version = 0 if base is None else base.version
        key = (base_version, view.version, has_targets)
        change = self.kept.pop(key, None)
        if change is None:
            if base is None and not self.budget.take(now):
                return None
            change = view_change(base, view, has_targets)
        self.kept[key] = change
        if len(self.kept) > MAX_KEPT_CHANGES:
            del self.kept[next(iter(self.kept))]
        return change

    def _is_large(self, change: ViewChange) -> bool:
        size = self.sizes.get(change.version)
        if size is None:
            size = len(encode(change))
            self.sizes = {change.version: size}
        return size > MAX_PROXY_VIEW_BYTES

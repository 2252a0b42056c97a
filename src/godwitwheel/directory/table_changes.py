"""Differences of routing tables: a proxy is sent only what differs from its own table.

A change usually affects a few routes out of many, and is sent to every proxy.
"""

import msgspec

from .differences import apply_difference, changed_items, removed_keys
from .records import RoutingTable, TableChange

# Tables that a control member keeps. New ones may be published every 60 ms, and the one
# that a process has just received must still be known as the base of the next change.
MAX_RECENT_TABLES = 64


def table_change(base: RoutingTable | None, table: RoutingTable) -> TableChange:
    """Returns the change from ``base`` to ``table``.

    :param base: ``None`` if the proxy's table is not known; the whole table is sent.
    """
    if base is None:
        return TableChange(0, table)
    difference = msgspec.structs.replace(
        table,
        routes=changed_items(base.routes, table.routes),
        accounts=changed_items(base.accounts, table.accounts),
    )
    return TableChange(
        base.version,
        difference,
        removed_keys(base.routes, table.routes),
        removed_keys(base.accounts, table.accounts),
    )


def apply_change(base: RoutingTable, change: TableChange) -> RoutingTable | None:
    """Applies a change to a table, and returns the result.

    :returns: ``None`` if the change is based on another version than ``base``.
    """
    if change.base_version == 0:
        return change.table
    if change.base_version != base.version:
        return None
    table = change.table
    return msgspec.structs.replace(
        table,
        routes=apply_difference(base.routes, table.routes, change.removed),
        accounts=apply_difference(
            base.accounts, table.accounts, change.removed_accounts
        ),
    )


class RecentTables:
    """The tables that were active recently, by version, the oldest first."""

    __slots__ = ("tables",)

    def __init__(self):
        self.tables: dict[int, RoutingTable] = {}

    def add(self, table: RoutingTable) -> None:
        """Records the table that has become active."""
        newest = next(reversed(self.tables.values()), RoutingTable())
        if table.version <= newest.version:
            return
        self.tables[table.version] = share_routes(table, newest)
        if len(self.tables) > MAX_RECENT_TABLES:
            del self.tables[next(iter(self.tables))]

    def find(self, version: int) -> RoutingTable | None:
        """Returns the table of a version, or ``None`` if it is not kept."""
        return self.tables.get(version)


def share_routes(table: RoutingTable, other: RoutingTable) -> RoutingTable:
    """Returns an equal table that shares the unchanged routes with another one.

    Tables are decoded separately, so that all would otherwise have their own copies.
    """
    routes = {
        database: known if (known := other.routes.get(database)) == route else route
        for database, route in table.routes.items()
    }
    return msgspec.structs.replace(table, routes=routes)

"""Differences of routing tables: a proxy is sent only what differs from its own table.

A change usually affects a few routes out of many, and is sent to every proxy.
"""

import msgspec

from .records import RoutingTable, TableChange

# Tables that a leader keeps, so that a proxy that missed several consecutive changes
# still gets a difference instead of the whole table.
MAX_RECENT_TABLES = 16


def table_change(base: RoutingTable | None, table: RoutingTable) -> TableChange:
    """Returns the change from ``base`` to ``table``.

    :param base: ``None`` if the proxy's table is not known; the whole table is sent.
    """
    if base is None:
        return TableChange(0, table)
    changed = {
        database: route
        for database, route in table.routes.items()
        if base.routes.get(database) != route
    }
    removed = [database for database in base.routes if database not in table.routes]
    difference = msgspec.structs.replace(table, routes=changed)
    return TableChange(base.version, difference, removed)


def apply_change(base: RoutingTable, change: TableChange) -> RoutingTable | None:
    """Applies a change to a table, and returns the result.

    :returns: ``None`` if the change is based on another version than ``base``.
    """
    if change.base_version == 0:
        return change.table
    if change.base_version != base.version:
        return None
    kept = {
        database: route
        for database, route in base.routes.items()
        if database not in change.removed
    }
    return msgspec.structs.replace(change.table, routes={**kept, **change.table.routes})


class RecentTables:
    """The tables that were active recently, by version, the oldest first."""

    __slots__ = ("tables",)

    def __init__(self):
        self.tables: dict[int, RoutingTable] = {}

    def change_for(self, held_version: int, table: RoutingTable) -> TableChange | None:
        """Returns the change from a proxy's table to the active one.

        :param held_version: version of the proxy's table, 0 if it holds none.
        :param table: the active table.
        :returns: ``None`` if the proxy holds ``table``.
        """
        self._add(table)
        if held_version == table.version:
            return None
        return table_change(self.tables.get(held_version), table)

    def _add(self, table: RoutingTable) -> None:
        if table.version in self.tables:
            return
        self.tables[table.version] = table
        if len(self.tables) > MAX_RECENT_TABLES:
            del self.tables[next(iter(self.tables))]

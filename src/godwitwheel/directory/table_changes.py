"""What a proxy is sent of a routing table: only what differs from the one it holds.

A change touches a few routes of many, and goes to every proxy.
"""

import msgspec

from .records import RoutingTable, TableChange

# Tables that a leader remembers, so that a proxy which missed some changes in a row
# still gets a difference.
REMEMBERED_TABLES = 16


def table_change(base: RoutingTable | None, table: RoutingTable) -> TableChange:
    """Returns what makes ``base`` into ``table``.

    :param base: ``None`` for a proxy of whose table nothing is known.
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
    """Returns the table that a change leads to.

    :returns: ``None`` if the change was made for another table than ``base``.
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
    """The tables that were in force lately, by version, the oldest first."""

    __slots__ = ("tables",)

    def __init__(self):
        self.tables: dict[int, RoutingTable] = {}

    def change_for(self, held_version: int, table: RoutingTable) -> TableChange | None:
        """Returns what a proxy lacks.

        :param held_version: version of the proxy's table, 0 if it holds none.
        :returns: ``None`` if it holds ``table``.
        """
        self._remember(table)
        if held_version == table.version:
            return None
        return table_change(self.tables.get(held_version), table)

    def _remember(self, table: RoutingTable) -> None:
        if table.version in self.tables:
            return
        self.tables[table.version] = table
        if len(self.tables) > REMEMBERED_TABLES:
            del self.tables[next(iter(self.tables))]

"""Commands of the replicated log that change the directory."""

import msgspec

from .records import OwnerEntry, TargetEntry


class PutTable(msgspec.Struct, frozen=True, tag="put_table"):
    """Replaces the routing table, if its version is higher.

    :ivar document: the table as it was published, kept for reading it back.
    """

    document: bytes


class PutEntry(msgspec.Struct, frozen=True, tag="put_entry"):
    """Adds a target or replaces what it said of itself before."""

    entry: TargetEntry


class DropEntry(msgspec.Struct, frozen=True, tag="drop_entry"):
    """Forgets a target.

    :ivar may_return: whether an announcement of the same incarnation brings it back.
    """

    target_id: str
    started_at_ms: int
    may_return: bool = False


class SetPrimary(msgspec.Struct, frozen=True, tag="set_primary"):
    """Names the target that leads a service, or was ordered to.

    :ivar token: fencing token of the order; 0 for a target that was found to lead.
    """

    service: str
    target_id: str
    token: int = 0


class SetOwners(msgspec.Struct, frozen=True, tag="set_owners"):
    """Names the owners of the services that need one."""

    owners: dict[str, OwnerEntry]


class TableResult(msgspec.Struct, frozen=True):
    """What became of a :class:`PutTable`.

    :ivar version: version in force afterwards.
    """

    applied: bool
    version: int


class EntryResult(msgspec.Struct, frozen=True):
    """Whether a command changed the directory."""

    applied: bool

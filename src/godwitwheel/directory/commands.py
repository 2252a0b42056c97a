"""Commands of the replicated log that change the directory."""

import msgspec

from .records import Incarnation, OwnerEntry, TargetEntry


class PutTable(msgspec.Struct, frozen=True, tag="put_table"):
    """Replaces the routing table, if its version is higher.

    :ivar document: the published table, compressed; see
        :func:`.documents.pack_document`.
    """

    document: bytes


class PutEntry(msgspec.Struct, frozen=True, tag="put_entry"):
    """Adds a target or replaces its previous announcement."""

    entry: TargetEntry


class DropEntry(msgspec.Struct, frozen=True, tag="drop_entry"):
    """Removes a target.

    :ivar may_return: whether an announcement of the same incarnation adds it again.
    """

    target_id: str
    started_at_ms: int
    may_return: bool = False


class SetPrimary(msgspec.Struct, frozen=True, tag="set_primary"):
    """Sets a service's primary, or the target that was ordered to become it.

    :ivar token: fencing token of the order; 0 if the target was already primary.
    :ivar term: term in which the target was seen to lead; 0 if it is not known yet.
    """

    service: str
    target_id: str
    token: int = 0
    term: int = 0


class FencePrimary(msgspec.Struct, frozen=True, tag="fence_primary"):
    """Ends the use of a service's primary until the next :class:`SetPrimary`.

    :ivar candidate: target that is about to be ordered to take over; empty if none is
        chosen yet.
    :ivar above_term: the promotion of the candidate has taken effect once it leads in a
        term above this one; read before the first order for it was sent.
    """

    service: str
    candidate: str = ""
    above_term: int = 0


class RecordTerm(msgspec.Struct, frozen=True, tag="record_term"):
    """Records the term in which a primary leads that was named without it."""

    service: str
    target_id: str
    term: int


class PauseReplicas(msgspec.Struct, frozen=True, tag="pause_replicas"):
    """Records that a service's replicas are about to be paused for a promotion.

    :ivar candidate: target that is about to be ordered to take over; empty if none is
        chosen yet.
    """

    service: str
    candidate: str = ""


class ResumeReplicas(msgspec.Struct, frozen=True, tag="resume_replicas"):
    """Records that a service's replicas have been resumed.

    :ivar paused_at: log index of the pause that has ended; a later one goes on.
    """

    service: str
    paused_at: int


class ForgetLost(msgspec.Struct, frozen=True, tag="forget_lost"):
    """Records that lost targets hold nothing that enough others don't hold."""

    service: str
    incarnations: list[Incarnation]


class SetOwners(msgspec.Struct, frozen=True, tag="set_owners"):
    """Replaces the owners of the services that need one."""

    owners: dict[str, OwnerEntry]


class TableResult(msgspec.Struct, frozen=True):
    """The result of a :class:`PutTable`.

    :ivar version: version of the table that is active afterwards.
    """

    applied: bool
    version: int


class EntryResult(msgspec.Struct, frozen=True):
    """Whether a command changed the directory."""

    applied: bool

"""Messages between proxies, publishers and control members.

=======================  ==========================  =====================
request                  body                        reply
=======================  ==========================  =====================
``POST /v1/heartbeat``   :class:`Heartbeat`          :class:`HeartbeatReply`
``POST /v1/watch``       :class:`Watch`              :class:`WatchReply`
``POST /v1/claim``       :class:`Claim`              :class:`ClaimReply`
``POST /v1/outcome``     :class:`RecordOutcome`      :class:`OutcomeRecorded`
``POST /v1/publish``     :class:`Publish`            :class:`PublishReply`
``GET /v1/in-force``     none                        :class:`InForce`
``POST /v1/consensus``   consensus messages          the peer's messages
=======================  ==========================  =====================

A member that is not the leader answers 421 with a :class:`NotLeading`.
Any other refusal is a status of 400 or above with a :class:`ControlProblem`.
"""

import enum

import msgspec

from .caller import CallerAnswer
from .numbers import Age, Count
from .service import Configuration, Service
from .target import TargetStatus


class GroupPhase(enum.StrEnum):
    """Whether a group may serve writes.

    ``fenced``: the primary of ``term`` is being replaced; no write of this term
    may be acknowledged any more.
    """

    serving = "serving"
    fenced = "fenced"


class GroupView(msgspec.Struct, frozen=True):
    """The primary and the acknowledgement set of a group.

    :ivar term: number of the group's latest promotion; 0 before the first.
    :ivar term_start: log position at which the primary of ``term`` began.
    :ivar previous: start positions of earlier terms, ``{term: term_start}``.
    :ivar ack_set: targets that must hold a write before it is acknowledged,
        the primary among them.
    :ivar promotable: members of ``ack_set`` that hold every acknowledged write.
    """

    group: str
    term: Count
    phase: GroupPhase
    primary: str = ""
    term_start: Count = 0
    previous: dict[Count, Count] = {}
    ack_set: list[str] = []
    promotable: list[str] = []


class TargetRecord(msgspec.Struct, frozen=True):
    """A target that is registered with the cell."""

    target_id: str
    group: str
    data_centre: str
    address: str
    slots: Count
    connection_cap: Count
    leaving: bool = False


class ClusterView(msgspec.Struct, frozen=True):
    """The committed state that proxies route by.

    :ivar version: log index of the latest change; it only grows.
    :ivar token_key: hexadecimal key that signs session tokens.
    """

    version: Count = 0
    groups: dict[str, GroupView] = {}
    targets: dict[str, TargetRecord] = {}
    token_key: str = ""


class TargetObservation(msgspec.Struct, frozen=True):
    """A proxy's last observation of a target.

    :ivar answer_age_ms: milliseconds since the last answered probe was sent;
        -1 if none was answered yet.
    :ivar status: the latest status, if any was received.
    """

    target_id: str
    answer_age_ms: Age
    status: TargetStatus | None = None


class Heartbeat(msgspec.Struct, frozen=True):
    """Renews a proxy's lease and carries everything that the proxy reports.

    :ivar incarnation: random number of this start of the process.
    :ivar sequence: grows with every heartbeat of an incarnation. A proxy sends the
        next one only after the last was answered or abandoned, so it never acts on a
        late reply, and a late heartbeat is recognised by its number.
    :ivar view_version: version of the proxy's active view; by sending it the proxy
        promises to acknowledge nothing under an older one.
    :ivar announcements: statuses that targets announced to this proxy since its
        last heartbeat.
    :ivar held: database connections open or being opened, by target.
    :ivar quotas: limits on its connections, by target: those of the last reply or,
        once its lease expired, no more than it holds.
    :ivar demand: connections that it could use now, by target.
    :ivar leaving: the proxy stops; its lease and connections are released.
    """

    proxy_id: str
    incarnation: Count
    data_centre: str
    address: str
    view_version: Count
    revision: Count
    announcements: list[TargetStatus] = []
    observations: list[TargetObservation] = []
    held: dict[str, Count] = {}
    demand: dict[str, Count] = {}
    leaving: bool = False
    sequence: Count = 0
    quotas: dict[str, Count] = {}


class HeartbeatReply(msgspec.Struct, frozen=True):
    """Grants a lease, counted from the moment at which the heartbeat was sent.

    :ivar lease_ms: 0 grants none.
    :ivar view: the current view if it is newer than the proxy's.
    :ivar configuration: the current configuration if it is newer.
    :ivar quotas: connections that the proxy may hold, by target.
    """

    lease_ms: Count
    view_version: Count
    revision: Count
    view: ClusterView | None = None
    configuration: Configuration | None = None
    quotas: dict[str, Count] = {}


class Watch(msgspec.Struct, frozen=True):
    """A long poll, answered once either version is newer, or after the timeout."""

    view_version: Count
    revision: Count
    timeout_ms: Count


class WatchReply(msgspec.Struct, frozen=True):
    """The member's current versions; a watch grants no lease."""

    view_version: Count
    revision: Count


class ClaimStatus(enum.StrEnum):
    """The result of a claim.

    ``granted``: only this attempt may run the request.
    ``pending``: another attempt holds the claim and has not recorded an outcome.
    ``recorded``: the outcome is known and is part of the reply.
    ``mismatch``: the key was used with another request.
    ``expired``: the key is older than its retention.
    ``full``: the limit on stored keys or answers is reached.
    """

    granted = "granted"
    pending = "pending"
    recorded = "recorded"
    mismatch = "mismatch"
    expired = "expired"
    full = "full"


class Claim(msgspec.Struct, frozen=True):
    """Claims the right to run a request that must not be repeated.

    :ivar digest: xxh3_128 of the request, in hexadecimal.
    :ivar attempt: random identity of this attempt.
    :ivar retention_s: how long the key must be kept, in seconds.
    """

    service: str
    key: str
    digest: str
    attempt: str
    retention_s: Count


class ClaimReply(msgspec.Struct, frozen=True):
    """Answers a claim; ``answer`` is set if the status is ``recorded``."""

    status: ClaimStatus
    answer: CallerAnswer | None = None


class RecordOutcome(msgspec.Struct, frozen=True):
    """Records the outcome of a granted attempt.

    An answer of ``not_run`` releases the key for another attempt.
    """

    service: str
    key: str
    attempt: str
    answer: CallerAnswer


class OutcomeRecorded(msgspec.Struct, frozen=True):
    """Whether the attempt still held the claim and its outcome is recorded."""

    recorded: bool


class Publish(msgspec.Struct, frozen=True):
    """Replaces the whole configuration.

    :ivar publish_id: identity of this publish, the same in every resend.
    :ivar expected_revision: revision that it replaces.
    """

    publish_id: str
    expected_revision: Count
    content_hash: str
    services: dict[str, Service]


class PublishStatus(enum.StrEnum):
    """The result of a publish."""

    accepted = "accepted"
    unchanged = "unchanged"
    conflict = "conflict"
    id_reused = "id_reused"


class PublishReply(msgspec.Struct, frozen=True):
    """Answers a publish; a resend gets the first answer again.

    :ivar revision: the published revision or, for a conflict, the conflicting one.
    :ivar winner: ``publish_id`` of the conflicting revision.
    """

    status: PublishStatus
    revision: Count
    winner: str = ""


class InForce(msgspec.Struct, frozen=True):
    """The committed revision, and the active one of each live proxy."""

    revision: Count
    publish_id: str
    content_hash: str
    proxies: dict[str, Count]


class NotLeading(msgspec.Struct, frozen=True):
    """Refers to the leader; the address is empty if none is known."""

    leader_address: str


class ControlProblem(msgspec.Struct, frozen=True):
    """Why a control member refused; nothing was changed."""

    message: str

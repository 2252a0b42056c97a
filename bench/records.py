"""What a load run remembers of every request that it sent."""

import enum

import msgspec


class RequestKind(enum.StrEnum):
    """What a request does.

    ``own_read`` lists the caller's own entries, ``shared_read`` shows how far the
    whole table has come.
    """

    write = "write"
    own_read = "own_read"
    shared_read = "shared_read"


class Ending(enum.StrEnum):
    """How a request ended for the caller.

    ``no_answer``: the connection broke or the caller's patience ended.
    ``not_sent``: no connection to the proxy; it was certainly not run.
    """

    done = "done"
    not_run = "not_run"
    unknown = "unknown"
    no_answer = "no_answer"
    not_sent = "not_sent"


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of one request.

    :ivar sent_at: ``CLOCK_MONOTONIC`` in seconds, as ``answered_at``.
    :ivar arrived_at: when the open loop wanted it sent the first time.
    :ivar keys: entries that a read showed, or that a write answered with.
    :ivar entry_id: id of the written entry, or the highest that a read saw.
    :ivar entries: how many entries a write adds in one transaction.
    :ivar faults: what was wrong with the answer in itself.
    """

    kind: RequestKind
    group: str
    caller: str
    key: str
    proxy: str
    arrived_at: float
    sent_at: float
    answered_at: float
    ending: Ending
    reason: str = ""
    retry_after_ms: int = 0
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False
    max_staleness_ms: int = 0
    keys: list[str] = []
    entry_id: int = 0
    entries: int = 1
    faults: list[str] = []

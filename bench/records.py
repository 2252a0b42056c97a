"""Records of the requests that a load run sent."""

import enum

import msgspec


class RequestKind(enum.StrEnum):
    """What a request does.

    ``own_read`` lists the caller's own entries, ``shared_read`` returns the highest
    entry id of the whole table.
    """

    write = "write"
    own_read = "own_read"
    shared_read = "shared_read"


class Ending(enum.StrEnum):
    """How a request ended for the caller.

    ``no_answer``: the connection broke or the caller timed out.
    ``not_sent``: no connection to the proxy, so the request was certainly not run.
    """

    done = "done"
    not_run = "not_run"
    unknown = "unknown"
    no_answer = "no_answer"
    not_sent = "not_sent"


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to send a request.

    :ivar sent_at: ``CLOCK_MONOTONIC`` in seconds, as ``answered_at``.
    :ivar arrived_at: when the open loop scheduled the first attempt.
    :ivar keys: keys of the entries that a read or a write returned.
    :ivar entry_id: id of the written entry, or the highest id that a read returned.
    :ivar entries: how many entries a write adds in one transaction.
    :ivar faults: errors found in the answer alone.
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

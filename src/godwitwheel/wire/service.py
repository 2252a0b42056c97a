"""The published configuration: what operators declare for each service."""

import enum

import msgspec
import xxhash

from .numbers import Count


class Access(enum.StrEnum):
    """Whether a request may change data."""

    read = "read"
    write = "write"


class RequestRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is declared for one named request of a service.

    :ivar group: database group that it runs on.
    :ivar max_staleness_ms: largest staleness of data that a read may return, in
        milliseconds; 0 sends it to the primary.
    :ivar repeatable: whether a write may run again after its answer was lost.
    """

    group: str
    access: Access
    max_staleness_ms: Count = 0
    repeatable: bool = False


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service, as its file declares it.

    :ivar key_retention_s: how long an idempotency key is kept, in seconds.
    """

    name: str
    requests: dict[str, RequestRule]
    key_retention_s: Count = 86_400


class Configuration(msgspec.Struct, frozen=True):
    """All services, at one revision.

    :ivar revision: 0 before the first publish; it only grows.
    :ivar content_hash: xxh3_128 of the services' JSON, in hexadecimal.
    """

    revision: Count = 0
    content_hash: str = ""
    services: dict[str, Service] = {}


def hash_services(services: dict[str, Service]) -> str:
    """Returns the content hash of a configuration's services, in hexadecimal.

    It does not depend on the order in which services or requests are listed.
    """
    canonical = msgspec.json.encode(services, order="sorted")
    return xxhash.xxh3_128_hexdigest(canonical)

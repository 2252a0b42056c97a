"""Decides which process owns the connections to a service's targets.

Each proxy opens its own connections as long as the targets accept enough of them.
Beyond that, one process, the owner, holds all connections of a service and runs the
statements of all proxies over them.
"""

import xxhash

from .records import DirectoryView, OwnerEntry, ServicePolicy

# From this number of proxies on, separate queues at each proxy cost more, at targets
# with few slots, than the additional hop to an owner.
OWNER_MIN_PROXIES = 16
# A proxy needs one connection for a transaction and one for everything else.
MIN_CONNECTIONS_PER_PROXY = 2
# Connections per target that are not divided among the proxies: control uses some, and
# so do proxies that have just started.
RESERVED_CONNECTIONS = 2


def usable_connections(policy: ServicePolicy) -> int:
    """Returns how many connections to a target the proxies or an owner may hold."""
    return policy.max_connections - RESERVED_CONNECTIONS


def needs_owner(policy: ServicePolicy, proxies: int) -> bool:
    """Whether an owner should hold the connections instead of each proxy."""
    share = usable_connections(policy) // max(proxies, 1)
    return proxies >= OWNER_MIN_PROXIES or share < MIN_CONNECTIONS_PER_PROXY


def assign_owners(
    view: DirectoryView, owners: dict[str, str], proxies: int
) -> dict[str, OwnerEntry]:
    """Returns the owner of each service that needs one.

    An owner that is still available keeps its services, because a handover ends the
    transactions of the service.

    :param owners: addresses of the processes that may own connections, by id.
    """
    assigned: dict[str, OwnerEntry] = {}
    load = dict.fromkeys(owners, 0)
    services = sorted(view.table.services.values(), key=lambda policy: policy.name)
    wanted = [
        policy.name
        for policy in services
        if policy.name in view.owners or needs_owner(policy, proxies)
    ]
    for service in wanted:
        present = view.owners.get(service)
        if present is not None and owners.get(present.proxy_id) == present.address:
            assigned[service] = present
            load[present.proxy_id] += 1
    for service in wanted:
        if service in assigned or not owners:
            continue
        chosen = min(owners, key=lambda owner: (load[owner], _rank(service, owner)))
        assigned[service] = OwnerEntry(chosen, owners[chosen])
        load[chosen] += 1
    return assigned


def replaced_owners(
    before: dict[str, OwnerEntry], after: dict[str, OwnerEntry]
) -> list[str]:
    """Returns the ids of the owners that have lost a service, in order."""
    return sorted(
        {
            entry.proxy_id
            for service, entry in before.items()
            if after.get(service) != entry
        }
    )


def _rank(service: str, owner: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}/{owner}".encode())

"""Decides which process owns the connections of a service's targets.

Each proxy has connections of its own as long as there are enough. Beyond that one
process holds those of a service and runs the statements of all proxies.
"""

import xxhash

from .records import DirectoryView, OwnerEntry, ServicePolicy

# From so many proxies on, queues that each of them keeps by itself lose more at
# targets of a few slots than the way to an owner costs.
OWNED_FROM_PROXIES = 16
# A proxy needs a connection for a transaction and one for all else.
MIN_SHARE = 2
# Connections of a target that nobody counts on: those of control and of proxies that
# started a moment ago.
RESERVED_CONNECTIONS = 2


def shared_connections(policy: ServicePolicy) -> int:
    """Returns how many connections of a target proxies or an owner may hold."""
    return policy.max_connections - RESERVED_CONNECTIONS


def needs_owner(policy: ServicePolicy, proxies: int) -> bool:
    """Whether the proxies can't each hold connections of their own."""
    share = shared_connections(policy) // max(proxies, 1)
    return proxies >= OWNED_FROM_PROXIES or share < MIN_SHARE


def assign_owners(
    view: DirectoryView, owners: dict[str, str], proxies: int
) -> dict[str, OwnerEntry]:
    """Returns the owner of each service that needs one.

    An owner that is there keeps what it has: to hand a service over ends its
    transactions.

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


def _rank(service: str, owner: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}/{owner}".encode())

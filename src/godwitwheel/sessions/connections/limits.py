"""How many connections a process may hold to a target.

The load that it answers: after a loss of power of all VMs, every process opens its
connections at once, while the targets still count those of before.
"""

from ...directory.ownership import usable_connections
from ...directory.records import ServicePolicy

# Connections that a pool may hold even if the proxies outnumber the connection cap.
MIN_POOL_SIZE = 1
# How long targets may keep the connections that this process had before it lost power,
# in seconds. If all VMs lost power, there is no room for the usual number of new ones.
STALE_CONNECTIONS_S = 4.0
# Share of its limit that a proxy opens meanwhile, so that each proxy gets some.
STARTING_SHARE = 0.5
# Share of a target's connections that its owner may hold. A paused owner keeps its
# connections open, and its successor needs some meanwhile.
OWNER_POOL_SHARE = 0.6


def owner_pool_limit(policy: ServicePolicy) -> int:
    """Returns how many connections to a target its owner may hold."""
    return max(int(OWNER_POOL_SHARE * usable_connections(policy)), MIN_POOL_SIZE)


def proxy_pool_limit(policy: ServicePolicy, proxies: int, age_s: float) -> int:
    """Returns how many connections to a target a proxy may hold.

    :param proxies: number of proxies that share the target's connections.
    :param age_s: time since the start of the process, in seconds.
    """
    share = usable_connections(policy) // max(proxies, 1)
    if age_s < STALE_CONNECTIONS_S:
        share = int(STARTING_SHARE * share)
    return max(share, MIN_POOL_SIZE)

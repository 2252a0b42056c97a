"""How often processes report to the leader, and how long the leader waits for reports.

The intervals of senders and the time limits of receivers are defined together, so that
an interval that grows with the fleet can't exceed a limit that does not.

Processes that want targets report at a fixed interval: those that connect to targets,
and all that control may name as owners of connections, whether they own any or not.
Control decides within a second by the silence of these. The interval of all others
grows with their number, and nothing shorter than :data:`PROXY_EXPIRY_S` may depend on
their silence.
"""

# Interval of processes that want targets, in seconds.
REPORT_INTERVAL_S = 0.2
# Reports per second that the leader is to receive from all proxies that want no targets
# and have no change to report.
IDLE_REPORTS_PER_S = 200
# Longest interval of these, so that a new routing table is in force everywhere within
# 4 s although a report may fail. In seconds.
MAX_IDLE_INTERVAL_S = 2.0
# Reports that a process sends within a lease that they renew: one may fail.
REPORTS_PER_LEASE = 3
# Delay before a report, so that changes in quick succession are reported together.
REPORT_SPACING_S = 0.01
# Time that the leader has to answer a report, in seconds.
REPORT_TIMEOUT_S = 0.4
# Longest pause after failed reports of a process that wants targets, in seconds.
MAX_RETRY_PAUSE_S = 0.1

# Limits for processes that want targets, in seconds.

# Older reports are ignored when a primary is assessed.
MAX_REPORT_AGE_S = 3 * REPORT_INTERVAL_S
# An owner that has not reported for this long loses its services.
OWNER_TIMEOUT_S = 4 * REPORT_INTERVAL_S
# Within this time after an election, all of them report to the new leader.
NEW_LEADER_GRACE_S = 4 * REPORT_INTERVAL_S
# A runner that has not reported for this long has no demand for rate shares.
DEMAND_MAX_AGE_S = 5 * REPORT_INTERVAL_S
# Duration of a lease on the primaries, from when the process sent the report that
# control answered. Processes keep their leases over an election among the members.
PRIMARY_LEASE_S = 6 * REPORT_INTERVAL_S

# A process that has not reported for this long no longer counts when connections are
# divided; until then it may still have its share open. In seconds.
PROXY_EXPIRY_S = 3 * MAX_IDLE_INTERVAL_S

# Interval at which a process tells the leader what it runs, and the time after which
# the leader forgets it, in seconds.
BUILD_REPORT_INTERVAL_S = 10.0
BUILD_EXPIRY_S = 3 * BUILD_REPORT_INTERVAL_S


def idle_interval_s(proxies: int, lease_s: float) -> float:
    """Returns the report interval of a process that wants no targets, in seconds.

    :param proxies: number of proxies that serve callers.
    :param lease_s: duration of the shortest lease that its reports renew, in seconds;
        infinite if they renew none.
    """
    longest_s = min(MAX_IDLE_INTERVAL_S, lease_s / REPORTS_PER_LEASE)
    return max(REPORT_INTERVAL_S, min(proxies / IDLE_REPORTS_PER_S, longest_s))

"""How long a leader may act on its confirmation by a quorum.

A leader that was partitioned or paused must not send what only the leader may send:
after a pause, an old confirmation may be the first thing that it receives.
"""

from collections.abc import Callable

from ..internal.clock import Clock
from .report_timing import NEW_LEADER_GRACE_S

# Limit for the answer to a command or an order, in seconds.
COMMAND_TIMEOUT_S = 0.4
# Longest time from the request for a confirmation until a command is sent, in seconds.
# It arrives, or is given up, before a leader that was elected after the confirmation
# sends its first command.
MAX_COMMAND_DELAY_S = NEW_LEADER_GRACE_S - COMMAND_TIMEOUT_S - 0.1


def confirm_leader(confirm: Callable[[], None], clock: Clock) -> float:
    """Returns until when this leader may send a command, in seconds of the clock.

    :param confirm: returns once a quorum has confirmed this leader, or raises.
    :raises ControlError: if this member does not lead.
    """
    send_before = clock.now() + MAX_COMMAND_DELAY_S
    confirm()
    return send_before

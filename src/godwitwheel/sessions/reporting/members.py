"""Addresses of the control members, and which of them to ask."""

import random

from ...directory.report_timing import REPORT_TIMEOUT_S

# Time for which other members are tried before one that did not respond, and before
# one that refused the connection at once, in seconds.
UNRESPONSIVE_PAUSE_S = 1.5
REFUSED_PAUSE_S = 0.15


class ControlMembers:
    """Addresses of control members.

    :ivar seeds: addresses from the settings.
    :ivar members: addresses from the leader's latest reply.
    :ivar leader: address of the known leader, or empty.
    :ivar avoided_until: until when other members are tried first, by address of a
        member that did not answer.
    """

    __slots__ = ("seeds", "members", "leader", "rng", "avoided_until")

    def __init__(self, seeds: list[str], rng: random.Random):
        self.seeds = seeds
        self.members: list[str] = []
        self.leader = ""
        self.rng = rng
        self.avoided_until: dict[str, float] = {}

    def next_address(self, now: float) -> str:
        """Returns the leader's address, or that of any member while none is known.

        :returns: an empty string if no address is known.
        """
        if self.leader:
            return self.leader
        return self.random_address(now)

    def random_address(self, now: float, excluded: str = "") -> str:
        """Returns the address of any member, preferably of one that answers.

        :param excluded: address that is returned only if no other is known.
        :returns: an empty string if no address is known.
        """
        known = sorted({*self.seeds, *self.members} - {excluded})
        preferred = [each for each in known if now >= self.avoided_until.get(each, now)]
        choices = preferred or known
        return self.rng.choice(choices) if choices else excluded

    def mark_unresponsive(self, address: str, waited_s: float, now: float) -> None:
        """Records that a member did not answer.

        A member that refuses at once is reachable and its process is about to start, so
        it is avoided for a shorter time.

        :param waited_s: time from the request to the failure, in seconds.
        """
        self.leader = ""
        is_unresponsive = waited_s >= REPORT_TIMEOUT_S / 2
        pause_s = UNRESPONSIVE_PAUSE_S if is_unresponsive else REFUSED_PAUSE_S
        self.avoided_until[address] = now + pause_s

    def record_leader(self, address: str, now: float) -> None:
        """Sets the leader that another member named.

        A follower keeps naming a leader that has just failed, so a member that did not
        answer this proxy recently is not accepted as leader.
        """
        is_avoided = now < self.avoided_until.get(address, now)
        self.leader = "" if is_avoided else address

"""Addresses of the control members, and which of them to ask."""

import math
import random

from ...directory.report_timing import REPORT_TIMEOUT_S

# Time for which other members are tried before one that did not respond, and before
# one that refused the connection at once, in seconds.
UNRESPONSIVE_PAUSE_S = 1.5
REFUSED_PAUSE_S = 0.15


class Avoidance:
    """A member that did not answer.

    :ivar failed_at: when that was noticed, in seconds of the clock.
    :ivar until: until when other members are tried first, in seconds of the clock.
    """

    __slots__ = ("failed_at", "until")

    def __init__(self, failed_at: float, until: float):
        self.failed_at = failed_at
        self.until = until


class ControlMembers:
    """Addresses of control members.

    :ivar seeds: addresses from the settings.
    :ivar members: addresses from the leader's latest reply.
    :ivar leader: address of the known leader, or empty.
    :ivar avoided: members that did not answer, by address.
    """

    __slots__ = ("seeds", "members", "leader", "rng", "avoided")

    def __init__(self, seeds: list[str], rng: random.Random):
        self.seeds = seeds
        self.members: list[str] = []
        self.leader = ""
        self.rng = rng
        self.avoided: dict[str, Avoidance] = {}

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
        preferred = [each for each in known if not self._is_avoided(each, now)]
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
        self.avoided[address] = Avoidance(now, now + pause_s)

    def record_leader(
        self, address: str, now: float, heard_at: float = -math.inf
    ) -> None:
        """Sets the leader that another member named.

        A follower keeps naming a leader that has just failed, so a member that did not
        answer this process recently is accepted as leader only if the other member has
        heard from it since then.

        :param heard_at: when the other member last heard from the leader, in seconds of
            the clock.
        """
        is_avoided = self._is_avoided(address, now)
        if is_avoided and heard_at <= self.avoided[address].failed_at:
            address = ""
        self.leader = address

    def record_answer(self, address: str) -> None:
        """Records that a member answered as leader."""
        self.leader = address
        self.avoided.pop(address, None)

    def _is_avoided(self, address: str, now: float) -> bool:
        avoidance = self.avoided.get(address)
        return avoidance is not None and now < avoidance.until

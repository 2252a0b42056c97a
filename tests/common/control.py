"""A fake replicated log with one member, which commits immediately."""

from godwitwheel.consensus.errors import NotLeader
from godwitwheel.consensus.replicated import ReplicatedLog

OWN_ADDRESS = "10.0.0.1:7440"


class OneMemberLog(ReplicatedLog):
    """Is leader while ``is_leader`` is true.

    :ivar leader: what ``leader_id()`` and, unless it is empty, ``leader_address()``
        return.
    :ivar proposed: number of entries committed so far.
    """

    def __init__(self):
        self.state_machine = None
        self.is_leader = True
        self.leader = ""
        self.proposed = 0

    def term(self):
        return 1

    def own_address(self):
        return OWN_ADDRESS

    def member_addresses(self):
        return [OWN_ADDRESS]

    def propose(self, command, timeout_s):
        if not self.is_leader:
            raise NotLeader(self.leader)
        self.proposed += 1
        return self.state_machine.apply(self.proposed, command)

    def confirm_leadership(self, timeout_s):
        if not self.is_leader:
            raise NotLeader(self.leader)

    def leader_id(self):
        return self.leader

    def leader_address(self):
        return self.leader or (OWN_ADDRESS if self.is_leader else "")

    def leader_silence_s(self):
        return 0.0

    def leader_since(self):
        return 0.0 if self.is_leader else None

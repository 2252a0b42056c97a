"""Callers that wait for a proposal to be applied or leadership to be confirmed."""

from ..internal.loop import Event
from .errors import OutcomeUnknown
from .messages import Entry
from .work import ReadRequest


class PendingProposal:
    """A caller that waits for its command to be applied."""

    __slots__ = ("term", "event")

    def __init__(self, term: int):
        self.term = term
        self.event = Event()


class Waiters:
    """Wakes each caller once its outcome is known.

    :ivar proposals: waiting proposals by the index of their entry.
    :ivar confirmed_reads: reads that a quorum confirmed, but whose index is not
        applied yet.
    """

    __slots__ = ("proposals", "confirmed_reads")

    def __init__(self):
        self.proposals: dict[int, PendingProposal] = {}
        self.confirmed_reads: list[ReadRequest] = []

    def add_proposal(self, entry: Entry) -> Event:
        """Returns the event that receives the result of an entry."""
        proposal = PendingProposal(entry.term)
        self.proposals[entry.index] = proposal
        return proposal.event

    def answer(self, entry: Entry, result: bytes) -> None:
        """Returns the result of an applied entry to the caller that proposed it.

        If another term's entry took the index, the caller's outcome is unknown.
        """
        proposal = self.proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.event.send(result)
        else:
            _fail_proposal(proposal)

    def fail_proposals(self) -> None:
        """Raises :class:`OutcomeUnknown` at all callers that wait for a proposal."""
        for proposal in self.proposals.values():
            _fail_proposal(proposal)
        self.proposals.clear()

    def finish_reads(self, reads: list[ReadRequest]) -> None:
        """Records the confirmed reads and wakes the callers of the refused ones."""
        for read in reads:
            if read.confirmed:
                self.confirmed_reads.append(read)
            elif read.waiter is not None:
                read.waiter.send()

    def release_reads(self, applied_index: int) -> None:
        """Wakes the callers of confirmed reads whose index is applied."""
        waiting = []
        for read in self.confirmed_reads:
            if read.index > applied_index:
                waiting.append(read)
            elif read.waiter is not None:
                read.waiter.send()
        self.confirmed_reads = waiting


def _fail_proposal(proposal: PendingProposal) -> None:
    proposal.event.send_exception(OutcomeUnknown("the leader lost its term"))

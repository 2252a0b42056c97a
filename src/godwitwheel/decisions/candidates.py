"""Steps that every choice of a primary shares."""

from ..control.commands import ChangeGroup
from ..observe.events import EventName
from ..wire.control import GroupView
from ..wire.target import TargetStatus
from .actions import Note, Propose
from .groups import DirectStatus, GroupFacts, GroupMemory


def is_leaving(facts: GroupFacts, target_id: str) -> bool:
    """Whether a target has announced that it leaves."""
    record = facts.records.get(target_id)
    return record is not None and record.leaving


def sound_statuses(answers: list[DirectStatus | None]) -> list[TargetStatus]:
    """Returns the statuses of targets that answered and did not lose their log."""
    return [
        answer.status
        for answer in answers
        if answer is not None and not answer.lost_log
    ]


def preference(facts: GroupFacts, status: TargetStatus) -> tuple:
    """Orders candidates: those that stay first, then by the length of the log."""
    stays = not is_leaving(facts, status.target_id)
    return stays, status.term, status.position, status.target_id


def propose_view(
    facts: GroupFacts,
    memory: GroupMemory,
    view: GroupView,
    event: EventName,
    cause: Note | None = None,
    **fields: object,
) -> Propose:
    """Proposes a view that follows the committed one.

    :param cause: what is recorded when the view is proposed.
    :param fields: fields of ``event``, recorded when the view is committed.
    """
    command = ChangeGroup(view, facts.changed_at, memory.floors_of(view))
    note = Note(event, group=facts.group, term=view.term, **fields)
    return Propose(command, note, cause)

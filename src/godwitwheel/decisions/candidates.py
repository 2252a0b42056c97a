"""Functions shared by the controllers that choose a primary."""

from ..control.commands import ChangeGroup
from ..observe.events import EventName
from ..wire.control import GroupView
from ..wire.target import TargetStatus
from .actions import Propose, RecordEvent
from .groups import DirectStatus, GroupFacts, GroupTracker


def is_leaving(facts: GroupFacts, target_id: str) -> bool:
    """Whether a target has announced that it is leaving."""
    record = facts.records.get(target_id)
    return record is not None and record.leaving


def intact_statuses(answers: list[DirectStatus | None]) -> list[TargetStatus]:
    """Returns the statuses of targets that answered and lost no log entries."""
    return [
        answer.status
        for answer in answers
        if answer is not None and not answer.lost_log
    ]


def candidate_rank(facts: GroupFacts, status: TargetStatus) -> tuple:
    """Returns the sort key of a candidate; the highest is preferred.

    Targets that are not leaving come before those that are, then the longer log
    (term, position) wins.
    """
    stays = not is_leaving(facts, status.target_id)
    return stays, status.term, status.position, status.target_id


def propose_view(
    facts: GroupFacts,
    tracker: GroupTracker,
    view: GroupView,
    event: EventName,
    proposed_event: RecordEvent | None = None,
    **fields: object,
) -> Propose:
    """Returns the proposal of a view that replaces the committed one.

    :param event: recorded when the view is committed.
    :param proposed_event: event recorded when the view is proposed.
    :param fields: fields of ``event``.
    """
    command = ChangeGroup(view, facts.changed_at, tracker.floors_of(view))
    applied_event = RecordEvent(event, group=facts.group, term=view.term, **fields)
    return Propose(command, applied_event, proposed_event)

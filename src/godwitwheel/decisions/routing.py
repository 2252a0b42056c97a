"""Chooses the target of a read or a write."""

import enum
import random
from collections.abc import Callable, Iterable

from ..blackboard import Blackboard, TargetState
from ..internal.sentinel import Refusal
from ..wire.control import GroupPhase, GroupView
from .sessions import LogPosition, Session, covers
from .staleness import staleness_s

# Several probe intervals; a busy target rarely takes longer to answer.
RESPONSIVE_WINDOW_S = 0.5


class RouteProblem(enum.Enum):
    """Why no target is eligible."""

    unknown_group = "unknown_group"
    no_lease = "no_lease"
    no_primary = "no_primary"
    no_fresh_replica = "no_fresh_replica"


class ReadRequirements:
    """What a read requires of the data of its target.

    :ivar floor: the minimum log position that the read must reflect, which is the
        caller's last acknowledged write; ``None`` if no write is known.
    :ivar is_floor_known: ``False`` if the caller may have written something that its
        token does not contain.
    :ivar max_staleness_s: maximum age of the data, in seconds.
    """

    __slots__ = ("group", "floor", "is_floor_known", "max_staleness_s")

    def __init__(
        self,
        group: str,
        floor: LogPosition | None,
        is_floor_known: bool,
        max_staleness_s: float,
    ):
        self.group = group
        self.floor = floor
        self.is_floor_known = is_floor_known
        self.max_staleness_s = max_staleness_s


def read_requirements(
    group: str, session: Session, max_staleness_ms: int
) -> ReadRequirements:
    """Derives a read's requirements from the session and the staleness bound."""
    return ReadRequirements(
        group,
        session.points.get(group),
        session.knows_last_write(group),
        max_staleness_ms / 1000.0,
    )


def eligible_for_read(
    requirements: ReadRequirements, blackboard: Blackboard, now: float
) -> list[str] | Refusal:
    """Returns the targets that may serve a read, or why there is none.

    The primary is used only if no replica is eligible and responsive, which keeps its
    connections for writes.
    """
    view = blackboard.view.groups.get(requirements.group)
    if view is None:
        return Refusal(RouteProblem.unknown_group, requirements.group)
    replicas = eligible_replicas(requirements, blackboard, view, now)
    responsive = [name for name in replicas if is_responsive(name, blackboard, now)]
    if responsive:
        return responsive
    primary = route_write(requirements.group, blackboard, now)
    if primary and (not replicas or is_responsive(primary, blackboard, now)):
        return [primary]
    if replicas:
        return replicas
    if primary.reason is RouteProblem.no_lease and requirements.is_floor_known:
        return Refusal(RouteProblem.no_fresh_replica, requirements.group)
    return primary


def is_responsive(target_id: str, blackboard: Blackboard, now: float) -> bool:
    """Whether a target has answered a probe recently.

    A read sent to one that is isolated or paused would wait until its deadline.
    """
    state = blackboard.targets.get(target_id)
    return state is not None and now - state.answered_at <= RESPONSIVE_WINDOW_S


def eligible_replicas(
    requirements: ReadRequirements, blackboard: Blackboard, view: GroupView, now: float
) -> list[str]:
    """Returns the targets that may serve a read as replicas.

    Without a lease the view's primary counts as a replica, as another target may have
    replaced it.
    """
    is_leased = blackboard.lease.is_valid(now)
    eligible = []
    for target_id, record in blackboard.view.targets.items():
        if record.group != view.group or record.leaving:
            continue
        if is_leased and is_serving_primary(target_id, view):
            continue
        state = blackboard.targets.get(target_id)
        if state is None or state.status is None or state.status.leaving:
            continue
        if is_leased and target_id in view.promotable:
            is_eligible = _is_eligible_promotable(
                requirements, view, state, blackboard, now
            )
        else:
            is_eligible = _is_eligible_replica(
                requirements, view, state, blackboard, now
            )
        if is_eligible:
            eligible.append(target_id)
    return eligible


def _is_eligible_promotable(
    requirements: ReadRequirements,
    view: GroupView,
    state: TargetState,
    blackboard: Blackboard,
    now: float,
) -> bool:
    """Whether a promotable target may serve a read.

    It holds every acknowledged write, so the floor need not be checked or known.
    """
    if view.phase is GroupPhase.fenced:
        # No proxy can acknowledge a write that this target lacks, so its data is
        # current until the next primary serves.
        return True
    return _is_fresh(requirements, state, blackboard, now)


def _is_eligible_replica(
    requirements: ReadRequirements,
    view: GroupView,
    state: TargetState,
    blackboard: Blackboard,
    now: float,
) -> bool:
    if not requirements.is_floor_known or state.status.term != view.term:
        return False
    if requirements.floor is not None and not covers(
        observed_position(state), requirements.floor, view
    ):
        return False
    return _is_fresh(requirements, state, blackboard, now)


def _is_fresh(
    requirements: ReadRequirements,
    state: TargetState,
    blackboard: Blackboard,
    now: float,
) -> bool:
    if requirements.max_staleness_s <= 0:
        return False
    samples = blackboard.samples.get(requirements.group, ())
    age_s = staleness_s(observed_position(state), samples, now)
    return age_s <= requirements.max_staleness_s


def is_serving_primary(target_id: str, view: GroupView) -> bool:
    """Whether the target is the primary and accepts writes, by this view."""
    return target_id == view.primary and view.phase is GroupPhase.serving


def observed_position(state: TargetState) -> LogPosition:
    """Returns the log position that the target last reported."""
    return LogPosition(state.status.term, state.status.position)


def reply_includes_floor(
    requirements: ReadRequirements, seen: LogPosition, view: GroupView
) -> bool:
    """Whether the data of a reply reflects the caller's own writes."""
    return requirements.floor is None or covers(seen, requirements.floor, view)


def route_write(group: str, blackboard: Blackboard, now: float) -> str | Refusal:
    """Returns the primary to send a write to, or why there is none."""
    view = blackboard.view.groups.get(group)
    if view is None:
        return Refusal(RouteProblem.unknown_group, group)
    if not blackboard.lease.is_valid(now):
        return Refusal(RouteProblem.no_lease, group)
    if view.phase is not GroupPhase.serving or not view.primary:
        return Refusal(RouteProblem.no_primary, group)
    if view.primary not in blackboard.view.targets:
        return Refusal(RouteProblem.no_primary, f"{view.primary} is not known")
    return view.primary


def least_loaded_of_two(
    eligible: Iterable[str],
    load: Callable[[str], float],
    is_near: Callable[[str], bool],
    rng: random.Random,
) -> str:
    """Chooses the less loaded of two random targets.

    If each proxy compared all targets, they would all choose the same one at once.

    :param load: returns the load of a target.
    :param is_near: whether a target is in the proxy's data centre; such a target is
        preferred at equal load.
    """
    choices = list(eligible)
    if len(choices) > 2:
        choices = rng.sample(choices, 2)
    rng.shuffle(choices)
    return min(choices, key=lambda target_id: (load(target_id), not is_near(target_id)))

"""How old a replica's data is, from samples of the primary's position."""

import math
from collections import deque
from collections.abc import Sequence

from ..blackboard import Blackboard, PositionSample
from ..wire.control import ClusterView, GroupPhase
from .sessions import LogPosition

MIN_SAMPLE_SPACING_S = 0.01


def staleness_s(
    seen: LogPosition, samples: Sequence[PositionSample], now: float
) -> float:
    """Returns an upper bound of the age of the data at ``seen``, in seconds.

    A sample's probe was sent at ``taken_at`` and returned ``position``, so nothing
    beyond ``position`` was written before ``taken_at``. A replica at or past
    ``position`` therefore has at least the state of ``taken_at``.

    :param samples: oldest first.
    :returns: infinity if ``seen`` has reached no sample of its term.
    """
    for sample in reversed(samples):
        if sample.term == seen.term and sample.position <= seen.position:
            return now - sample.taken_at
    return math.inf


def add_new_terms(blackboard: Blackboard, before: ClusterView, confirmed_at: float):
    """Adds the starts of new terms in a newer view as position samples.

    Without them, a proxy that is isolated right after a promotion would have no sample
    of the new primary and could serve no read, whatever its staleness bound.

    :param before: the view that was replaced.
    :param confirmed_at: when the last heartbeat that was answered with a lease under
        ``before`` was sent. No write was acknowledged in a new term before that time,
        and a new term begins with every write that was acknowledged before.
    """
    for group, view in blackboard.view.groups.items():
        known = before.groups.get(group)
        if known is None or view.term <= known.term:
            continue
        if view.phase is GroupPhase.serving:
            sample = PositionSample(view.term, view.term_start, confirmed_at)
            blackboard.group_samples(group).append(sample)


def add_sample(samples: deque[PositionSample], sample: PositionSample) -> None:
    """Adds a sample unless it is older than the newest one or too close to it."""
    if samples:
        newest = samples[-1]
        if sample.taken_at < newest.taken_at + MIN_SAMPLE_SPACING_S:
            return
    samples.append(sample)

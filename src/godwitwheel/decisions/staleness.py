"""How old a replica's data is, from samples of the primary's position."""

import math
from collections import deque
from collections.abc import Sequence

from ..blackboard import Blackboard, PositionSample
from ..wire.control import ClusterView, GroupPhase
from .sessions import LogPoint

MIN_SAMPLE_SPACING_S = 0.01


def staleness_s(seen: LogPoint, samples: Sequence[PositionSample], now: float) -> float:
    """Returns an upper bound of the age of the data at ``seen``, in seconds.

    A sample's probe was sent at ``taken_at`` and found ``position``, so nothing
    beyond ``position`` was written before ``taken_at``. A replica at or past
    ``position`` therefore shows at least the state of ``taken_at``.

    :param samples: oldest first.
    :returns: infinity if no sample covers ``seen``.
    """
    for sample in reversed(samples):
        if sample.term == seen.term and sample.position <= seen.position:
            return now - sample.taken_at
    return math.inf


def add_new_terms(blackboard: Blackboard, before: ClusterView, confirmed_at: float):
    """Takes from a newer view where the primaries of new terms began.

    Without this a proxy that is cut off right after a promotion would know no position
    of the new primary, and could serve no read, whatever age is allowed.

    :param before: the view that was replaced.
    :param confirmed_at: when the last heartbeat was sent that was answered with a lease
        under ``before``. No write was acknowledged in a new term before that time, and
        a new term begins with every write that was acknowledged before.
    """
    for group, view in blackboard.view.groups.items():
        known = before.groups.get(group)
        if known is None or view.term <= known.term:
            continue
        if view.phase is GroupPhase.serving:
            sample = PositionSample(view.term, view.term_start, confirmed_at)
            blackboard.group_samples(group).append(sample)


def add_sample(samples: deque[PositionSample], sample: PositionSample) -> None:
    """Adds a sample unless a newer one or one of about the same time is there."""
    if samples:
        newest = samples[-1]
        if sample.taken_at < newest.taken_at + MIN_SAMPLE_SPACING_S:
            return
    samples.append(sample)

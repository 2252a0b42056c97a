"""Builds a promoter for tests, on a record of pauses that commits at once."""

from godwitwheel.directory.commands import PauseReplicas, ResumeReplicas
from godwitwheel.directory.effects import PromotionEffects
from godwitwheel.directory.fencing import LeaseFence, PlatformFence
from godwitwheel.directory.pausing import ReplicaPauses
from godwitwheel.directory.promotion import Promoter
from godwitwheel.directory.state import Directory
from godwitwheel.directory.tables import JsonTableCodec
from godwitwheel.directory.target_queries import TargetQueries


def promoter_of(group, promotion_client, commit, fence=None):
    """Returns a promoter for a group that serves as its connector and its clock.

    :param commit: commits all commands but those that record pauses.
    """
    pauses = Directory(JsonTableCodec())

    def commit_any(command):
        if isinstance(command, PauseReplicas):
            return pauses.pause_replicas(1, command).applied
        if isinstance(command, ResumeReplicas):
            return pauses.resume_replicas(1, command).applied
        return commit(command)

    queries = TargetQueries(group, group.clock, lambda: None)
    return Promoter(
        queries,
        promotion_client,
        group.clock,
        commit_any,
        lambda: None,
        fence or PlatformFence(),
        ReplicaPauses(queries, lambda: pauses.paused, commit_any),
        lambda service: [],
        pauses.terms_of,
    )


def lease_fence_of(group, directory, commit):
    """Returns a fence for a group that serves as its connector and its clock.

    :param directory: state that ``commit`` changes.
    """
    queries = TargetQueries(group, group.clock, lambda: None)
    effects = PromotionEffects(queries, lambda: directory, group.clock)
    return LeaseFence(lambda: directory.view, commit, group.clock, effects)

"""Replaces views and configurations by newer versions only."""

from ..blackboard import Blackboard
from ..wire.control import ClusterView
from ..wire.service import Configuration


def install_newer(
    blackboard: Blackboard,
    view: ClusterView | None,
    configuration: Configuration | None,
) -> bool:
    """Installs a view and a configuration if they are newer than the current ones.

    A member that was isolated for long may still send outdated ones.

    :returns: whether anything was replaced.
    """
    changed = False
    if view is not None and view.version > blackboard.view.version:
        blackboard.view = view
        changed = True
    if (
        configuration is not None
        and configuration.revision > blackboard.configuration.revision
    ):
        blackboard.configuration = configuration
        changed = True
    return changed

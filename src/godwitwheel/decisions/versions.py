"""Views and configurations only move forward."""

from ..blackboard import Blackboard
from ..wire.control import ClusterView
from ..wire.service import Configuration


def take_newer(
    blackboard: Blackboard,
    view: ClusterView | None,
    configuration: Configuration | None,
) -> bool:
    """Takes a view and a configuration if they are newer than the present ones.

    A member that was cut off for long may still send what was true then.

    :returns: whether anything was taken.
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

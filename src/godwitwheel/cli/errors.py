"""Errors of the command line."""

from ..internal.errors import GodwitwheelError


class InvalidSettings(GodwitwheelError):
    """Raised when settings are missing or out of range; nothing was started.

    :ivar problems: one message for each setting at fault.
    """

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems

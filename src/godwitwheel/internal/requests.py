"""What signals ask of a process: to stop, or to read its settings again."""

import signal

from .loop import sleep

# A signal does not wake the loop by itself.
STOP_POLL_S = 0.05


class StopRequest:
    """Becomes true on SIGTERM or SIGINT.

    :ivar requested: whether the process was told to stop.
    """

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def install(self) -> None:
        """Handles the signals from now on."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def wait(self) -> None:
        """Returns once the process was told to stop."""
        while not self.requested:
            sleep(STOP_POLL_S)

    def _handle(self, signal_number: int, frame: object) -> None:
        # A handler runs between any two steps of any task: it only leaves a mark.
        self.requested = True


class ReloadRequest:
    """Becomes true on SIGHUP, until it is taken.

    :ivar requested: whether the settings are to be read again.
    """

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def install(self) -> None:
        """Handles the signal from now on."""
        signal.signal(signal.SIGHUP, self._handle)

    def take(self) -> bool:
        """Returns whether there was a request, and forgets it."""
        requested, self.requested = self.requested, False
        return requested

    def _handle(self, signal_number: int, frame: object) -> None:
        self.requested = True

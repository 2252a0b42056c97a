"""Requests to stop, or to reload the settings, that arrive as signals."""

import signal

from .loop import sleep

# A signal does not wake the event loop by itself, so the flag is polled. In seconds.
STOP_POLL_S = 0.2


class StopRequest:
    """Is set by SIGTERM or SIGINT.

    :ivar requested: whether a signal asked the process to stop.
    """

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def install(self) -> None:
        """Installs the signal handlers."""
        signal.signal(signal.SIGTERM, self._handle)
        signal.signal(signal.SIGINT, self._handle)

    def wait(self) -> None:
        """Returns once a stop is requested."""
        while not self.requested:
            sleep(STOP_POLL_S)

    def _handle(self, signal_number: int, frame: object) -> None:
        # A handler may run between any two instructions of any task, so it only
        # sets a flag.
        self.requested = True


class ReloadRequest:
    """Is set by SIGHUP until :meth:`take` clears it.

    :ivar requested: whether the settings must be read again.
    """

    __slots__ = ("requested",)

    def __init__(self):
        self.requested = False

    def install(self) -> None:
        """Installs the signal handler."""
        signal.signal(signal.SIGHUP, self._handle)

    def take(self) -> bool:
        """Returns whether there was a request, and clears it."""
        requested, self.requested = self.requested, False
        return requested

    def _handle(self, signal_number: int, frame: object) -> None:
        self.requested = True

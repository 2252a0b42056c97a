"""Base class of checks that ask the targets of a service from time to time."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from ..control.errors import ControlError
from ..internal.clock import Clock
from ..internal.loop import spawn
from ..observe.events import EventName, record_event, record_failure


class ServiceChecks(ABC):
    """Runs one check of a service at a time, each in its own task.

    :cvar interval_s: time between two checks of a service, in seconds.
    :cvar failure_event: recorded if control could not commit the result.
    :ivar in_progress: services that are being checked.
    :ivar next_at: by service, when it is checked next, in seconds of the clock.
    """

    __slots__ = ("clock", "in_progress", "next_at")

    interval_s: float
    failure_event: EventName

    def __init__(self, clock: Clock):
        self.clock = clock
        self.in_progress: set[str] = set()
        self.next_at: dict[str, float] = {}

    @abstractmethod
    def services(self) -> Iterable[str]:
        """Returns the services that need a check."""

    @abstractmethod
    def check(self, service: str) -> None:
        """Checks a service.

        :raises ControlError: if the result could not be committed.
        """

    def decide(self, now: float) -> None:
        """Begins the checks that are due; called on the leader."""
        for service in self.services():
            is_due = now >= self.next_at.get(service, now)
            if is_due and service not in self.in_progress:
                self.in_progress.add(service)
                spawn(self._check, service)

    def _check(self, service: str) -> None:
        try:
            self.check(service)
        except ControlError as error:
            record_event(self.failure_event, service=service, reason=str(error))
        except Exception as error:
            record_failure(error)
        finally:
            self.next_at[service] = self.clock.now() + self.interval_s
            self.in_progress.discard(service)

"""The abstract base of what carries messages to other members."""

from abc import ABC, abstractmethod

from .messages import AnyMessage


class Transport(ABC):
    """Carries messages; it may lose, repeat and reorder them."""

    @abstractmethod
    def send(self, member_id: str, address: str, messages: list[AnyMessage]) -> None:
        """Sends without waiting; what can't be queued is dropped.

        :param address: ``IP:PORT`` of the member.
        """

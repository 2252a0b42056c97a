"""Abstract base of the transport between members."""

from abc import ABC, abstractmethod

from .messages import AnyMessage


class Transport(ABC):
    """Sends messages to members; may lose, duplicate and reorder them."""

    @abstractmethod
    def send(self, member_id: str, address: str, messages: list[AnyMessage]) -> None:
        """Sends without blocking; drops messages that can't be queued.

        :param address: ``IP:PORT`` of the member.
        """

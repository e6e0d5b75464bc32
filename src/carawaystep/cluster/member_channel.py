"""Port to one other scheduler process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message


class MemberChannel(ABC):
    """Messages to and from one process; each may be lost."""

    @abstractmethod
    async def send(self, message: Message) -> bool:
        """Queue a message.

        :returns: False when it certainly does not arrive
        """

    @abstractmethod
    async def receive(self) -> Message:
        """Wait for the next message."""

    @abstractmethod
    async def reconnect(self) -> None:
        """Replace a connection that has gone silent."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""

"""Port of the leader to one member."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message


class MemberChannel(ABC):
    """Connection to one member; any message on it may be lost."""

    @abstractmethod
    async def send(self, message: Message) -> bool:
        """Queue a message for sending.

        :returns: False if it certainly does not arrive
        """

    @abstractmethod
    async def receive(self) -> Message:
        """Wait for the next message."""

    @abstractmethod
    async def reconnect(self) -> None:
        """Replace the connection after the member stopped answering."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""

"""Port of a member to the processes that lead or have led."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember


class LeaderPort(ABC):
    """Socket on which leaders reach this process; messages may be lost."""

    @abstractmethod
    async def receive(self) -> tuple[bytes, FromLeader]:
        """Wait for the next message.

        :returns: identity of the sender's connection, and the message
        """

    @abstractmethod
    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message to a leader.

        :param leader: identity that :meth:`receive` returned with a message
            of that leader
        :param message: message to send
        :returns: False if it certainly does not arrive
        """

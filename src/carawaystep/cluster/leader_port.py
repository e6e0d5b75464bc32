"""Port through which a member answers leaders."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember


class LeaderPort(ABC):
    """The socket on which leaders reach this process."""

    @abstractmethod
    async def receive(self) -> tuple[bytes, FromLeader]:
        """Wait for a message; return the sender's identity with it."""

    @abstractmethod
    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message to a leader.

        :param leader: identity that came with one of its messages
        :returns: False when it certainly does not arrive
        """

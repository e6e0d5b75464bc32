"""Connection of a simulated leader to one member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.cluster.member_channel import MemberChannel

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message
    from tests.scheduler.simulation.simulated_connections import (
        SimulatedConnections,
    )
    from tests.scheduler.simulation.simulated_process import SimulatedProcess


class SimulatedMemberChannel(MemberChannel):
    """Keeps its socket when the member's process is restarted."""

    def __init__(
        self,
        process: SimulatedProcess,
        address: str,
        connections: SimulatedConnections,
    ) -> None:
        """Create a channel.

        :param process: the leader's process
        :param address: address of the member
        :param connections: connections of all leaders
        """
        self.process = process
        self.address = address
        self._connections = connections
        self._inbox: asyncio.Queue[Message] = asyncio.Queue()
        self._socket = connections.open_socket(self)

    def put(self, message: Message) -> None:
        """Add a message that has arrived."""
        self._inbox.put_nowait(message)

    async def send(self, message: Message) -> bool:
        """Queue a message for sending."""
        return self._connections.send_to_member(self._socket, message)

    async def receive(self) -> Message:
        """Wait for the next message."""
        return await self._inbox.get()

    async def reconnect(self) -> None:
        """Replace the socket."""
        self._connections.close_socket(self._socket)
        self._socket = self._connections.open_socket(self)

    async def close(self) -> None:
        """Close the socket."""
        self._connections.close_socket(self._socket)

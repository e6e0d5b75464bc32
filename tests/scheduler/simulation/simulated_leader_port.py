"""Socket on which leaders reach a simulated process."""

from __future__ import annotations

import asyncio
from typing import cast
from typing import TYPE_CHECKING

from carawaystep.cluster.leader_port import LeaderPort

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember
    from carawaystep.cluster.messages import Message
    from tests.scheduler.simulation.simulated_connections import (
        SimulatedConnections,
    )
    from tests.scheduler.simulation.simulated_process import SimulatedProcess


class SimulatedLeaderPort(LeaderPort):
    """Receives the messages of all connections to one address."""

    def __init__(
        self, process: SimulatedProcess, connections: SimulatedConnections
    ) -> None:
        """Create the port of a process.

        :param process: the member's process
        :param connections: connections of all leaders
        """
        self._process = process
        self._connections = connections
        self._inbox: asyncio.Queue[tuple[bytes, Message]] = asyncio.Queue()

    @property
    def process(self) -> SimulatedProcess:
        """Return the process that owns the port."""
        return self._process

    def put(self, identity: bytes, message: Message) -> None:
        """Add a message that has arrived."""
        self._inbox.put_nowait((identity, message))

    async def receive(self) -> tuple[bytes, FromLeader]:
        """Wait for the next message."""
        identity, message = await self._inbox.get()
        return identity, cast("FromLeader", message)

    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message to a leader."""
        return self._connections.send_to_leader(self._process, leader, message)

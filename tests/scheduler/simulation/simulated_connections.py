"""Connections between leaders and members."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message
    from tests.scheduler.simulation.simulated_leader_port import (
        SimulatedLeaderPort,
    )
    from tests.scheduler.simulation.simulated_member_channel import (
        SimulatedMemberChannel,
    )
    from tests.scheduler.simulation.simulated_network import SimulatedNetwork
    from tests.scheduler.simulation.simulated_process import SimulatedProcess


class SimulatedConnections:
    """Passes messages between the sockets of leaders and members.

    A message goes to the process that has the address when it arrives, which
    may be a later one than when it was sent.
    """

    def __init__(self, network: SimulatedNetwork) -> None:
        """Create an object without sockets.

        :param network: carries the messages
        """
        self._network = network
        self._ports: dict[str, SimulatedLeaderPort] = {}
        self._channels: dict[int, SimulatedMemberChannel] = {}
        self._numbers = count(1)

    def bind(self, address: str, port: SimulatedLeaderPort) -> None:
        """Let a port receive the messages to an address."""
        self._ports[address] = port

    def unbind(self, address: str) -> None:
        """Let nobody receive the messages to an address."""
        self._ports.pop(address, None)

    def open_socket(self, channel: SimulatedMemberChannel) -> int:
        """Return the number of a new socket of a channel."""
        number = next(self._numbers)
        self._channels[number] = channel
        return number

    def close_socket(self, socket: int) -> None:
        """Close a socket: what arrives for it later is lost."""
        self._channels.pop(socket, None)

    def send_to_member(self, socket: int, message: Message) -> bool:
        """Send a message of a leader.

        :returns: False if there is no connection
        """
        channel = self._channels.get(socket)
        if channel is None or channel.address not in self._ports:
            return False
        address = channel.address
        receiver = self._ports[address].process

        def deliver() -> None:
            port = self._ports.get(address)
            if port is None:
                return
            # A later process gets what the socket still has in its queue.
            if port.process is receiver or socket in self._channels:
                identity = f"{socket}/{port.process.name}".encode()
                port.put(identity, message)

        self._network.transmit(
            channel.process.node,
            receiver.node,
            (socket, "to-member"),
            deliver,
        )
        return True

    def send_to_leader(
        self, process: SimulatedProcess, identity: bytes, message: Message
    ) -> bool:
        """Send a message of a member.

        :param identity: identity that came with a message of the leader
        :returns: False if there is no connection
        """
        number, _, member = identity.decode().partition("/")
        if member != process.name or int(number) not in self._channels:
            return False
        channel = self._channels[int(number)]

        def deliver() -> None:
            if int(number) in self._channels and channel.process.alive:
                channel.put(message)

        self._network.transmit(
            process.node, channel.process.node, (number, "to-leader"), deliver
        )
        return True

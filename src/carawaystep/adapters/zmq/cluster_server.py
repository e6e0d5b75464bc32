"""ZeroMQ socket on which leaders reach a member."""

from __future__ import annotations

from typing import cast
from typing import TYPE_CHECKING

from zmq import Context
from zmq import LAST_ENDPOINT
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import ROUTER
from zmq import ROUTER_MANDATORY
from zmq import SNDHWM

from carawaystep.adapters.zmq.cluster_codec import ClusterCodec
from carawaystep.adapters.zmq.cluster_codec import MAX_MESSAGE_BYTES
from carawaystep.adapters.zmq.message_socket import MessageSocket
from carawaystep.cluster.leader_port import LeaderPort

if TYPE_CHECKING:
    from zmq import Socket

    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember

_MAX_QUEUED_MESSAGES = 2000


class ClusterServer(LeaderPort):
    """ROUTER socket that accepts the connections of leaders."""

    def __init__(self, address: str) -> None:
        """Bind the socket.

        :param address: ZeroMQ address to bind; port 0 for one that is free
        :raises ZMQError: the address cannot be bound
        """
        self._codec = ClusterCodec()
        socket: Socket[bytes] = Context.instance().socket(ROUTER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, _MAX_QUEUED_MESSAGES)
        socket.setsockopt(MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(ROUTER_MANDATORY, 1)
        socket.bind(address)
        self._address = str(socket.get_string(LAST_ENDPOINT))
        self._socket = MessageSocket(socket)

    @property
    def address(self) -> str:
        """Return the ZeroMQ address that is bound."""
        return self._address

    async def receive(self) -> tuple[bytes, FromLeader]:
        """Wait for a message; malformed ones are dropped.

        :raises ConnectionError: the socket was closed
        """
        while True:
            frames = await self._socket.receive()
            if frames is None:
                raise ConnectionError(f"{self._address} was closed")
            message = self._codec.decode(frames[-1])
            if message is not None and len(frames) == 2:
                return frames[0], cast("FromLeader", message)

    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message; False when it cannot be queued at once.

        That is the case for a leader that is not connected or whose queue is
        full.
        """
        return self._socket.send([leader, self._codec.encode(message)])

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

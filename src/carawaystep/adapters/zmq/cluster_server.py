"""ZeroMQ socket on which leaders reach a member."""

from __future__ import annotations

from typing import cast
from typing import TYPE_CHECKING

from zmq import LAST_ENDPOINT
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import NOBLOCK
from zmq import ROUTER
from zmq import ROUTER_MANDATORY
from zmq import SNDHWM
from zmq import ZMQError
from zmq.asyncio import Context

from carawaystep.adapters.zmq.cluster_codec import ClusterCodec
from carawaystep.adapters.zmq.cluster_codec import MAX_MESSAGE_BYTES
from carawaystep.cluster.leader_port import LeaderPort

if TYPE_CHECKING:
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
        self._socket = Context.instance().socket(ROUTER)
        self._socket.setsockopt(LINGER, 0)
        self._socket.setsockopt(SNDHWM, _MAX_QUEUED_MESSAGES)
        self._socket.setsockopt(MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(ROUTER_MANDATORY, 1)
        self._socket.bind(address)

    @property
    def address(self) -> str:
        """Return the ZeroMQ address that is bound."""
        return self._socket.get_string(LAST_ENDPOINT)

    async def receive(self) -> tuple[bytes, FromLeader]:
        """Wait for a message; malformed ones are dropped."""
        while True:
            frames = await self._socket.recv_multipart()
            message = self._codec.decode(frames[-1])
            if message is not None and len(frames) == 2:
                return frames[0], cast("FromLeader", message)

    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message; False when it cannot be queued at once.

        That is the case for a leader that is not connected or whose queue is
        full.
        """
        data = self._codec.encode(message)
        try:
            await self._socket.send_multipart([leader, data], NOBLOCK)
        except ZMQError:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

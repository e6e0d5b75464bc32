"""ZeroMQ connection of the leader to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from zmq import Context
from zmq import DEALER
from zmq import IMMEDIATE
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import RECONNECT_IVL
from zmq import SNDHWM

from carawaystep.adapters.zmq.cluster_codec import ClusterCodec
from carawaystep.adapters.zmq.message_fragments import MAX_FRAME_BYTES
from carawaystep.adapters.zmq.message_socket import MessageSocket
from carawaystep.cluster.member_channel import MemberChannel

if TYPE_CHECKING:
    from zmq import Socket

    from carawaystep.cluster.messages import Message

_MAX_QUEUED_MESSAGES = 2000
_RECONNECT_INTERVAL_MS = 100


class ClusterChannel(MemberChannel):
    """DEALER socket that is connected to the member's ROUTER socket."""

    def __init__(self, address: str) -> None:
        """Create the socket; it connects in the background.

        :param address: ZeroMQ address of the member
        """
        self._address = address
        self._codec = ClusterCodec()
        self._socket = self._connect()

    async def send(self, message: Message) -> bool:
        """Queue a message; False when it cannot be queued at once.

        That is the case without a connection or with a full queue.
        """
        return all(
            self._socket.send([frame]) for frame in self._codec.encode(message)
        )

    async def receive(self) -> Message:
        """Wait for the next message; malformed ones are dropped.

        :raises ConnectionError: the channel was closed
        """
        while True:
            socket = self._socket
            frames = await socket.receive()
            if frames is not None:
                message = self._codec.decode(frames[-1])
                if message is not None:
                    return message
            elif socket is self._socket:
                raise ConnectionError(f"{self._address} was closed")

    async def reconnect(self) -> None:
        """Replace the socket, which drops its queued messages."""
        old, self._socket = self._socket, self._connect()
        old.close()

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _connect(self) -> MessageSocket:
        socket: Socket[bytes] = Context.instance().socket(DEALER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, _MAX_QUEUED_MESSAGES)
        socket.setsockopt(IMMEDIATE, 1)
        socket.setsockopt(MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.setsockopt(RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        socket.connect(self._address)
        return MessageSocket(socket)

"""ZeroMQ connection of the leader to one member."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from zmq import DEALER
from zmq import IMMEDIATE
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import NOBLOCK
from zmq import RECONNECT_IVL
from zmq import SNDHWM
from zmq import ZMQError
from zmq.asyncio import Context

from carawaystep.adapters.zmq.cluster_codec import ClusterCodec
from carawaystep.adapters.zmq.cluster_codec import MAX_MESSAGE_BYTES
from carawaystep.cluster.member_channel import MemberChannel

if TYPE_CHECKING:
    from zmq.asyncio import Socket

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
        try:
            await self._socket.send(self._codec.encode(message), NOBLOCK)
        except ZMQError:
            return False
        return True

    async def receive(self) -> Message:
        """Wait for the next message; malformed ones are dropped."""
        while True:
            socket = self._socket
            try:
                frames = await socket.recv_multipart()
            except (ZMQError, asyncio.CancelledError):
                # reconnect() closes the old socket, which cancels the call;
                # go on with the new one.
                if socket is self._socket or _is_task_cancelled():
                    raise
                continue
            message = self._codec.decode(frames[-1])
            if message is not None:
                return message

    async def reconnect(self) -> None:
        """Replace the socket, which drops its queued messages."""
        old, self._socket = self._socket, self._connect()
        old.close()

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _connect(self) -> Socket:
        socket = Context.instance().socket(DEALER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, _MAX_QUEUED_MESSAGES)
        socket.setsockopt(IMMEDIATE, 1)
        socket.setsockopt(MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        socket.connect(self._address)
        return socket


def _is_task_cancelled() -> bool:
    """Tell whether the current task itself was asked to end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0

"""ZeroMQ socket on which other entry processes reach this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec.structs import replace
from zmq import LAST_ENDPOINT
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import NOBLOCK
from zmq import ROUTER
from zmq import ROUTER_MANDATORY
from zmq import SNDHWM
from zmq import ZMQError
from zmq.asyncio import Context

from carawaystep.adapters.zmq.peer_codec import MAX_BUFFERED_BYTES
from carawaystep.adapters.zmq.peer_codec import PeerCodec
from carawaystep.peer.messages import FetchDocuments
from carawaystep.peer.messages import ForwardRequest
from carawaystep.peer.messages import Heartbeat
from carawaystep.peer.messages import HeartbeatReply

if TYPE_CHECKING:
    from zmq.asyncio import Socket

    from carawaystep.peer.messages import PeerMessage
    from carawaystep.peer.peer_handler import PeerHandler

# Replies that libzmq queues for a slow peer. With 200, one request of a
# burst of 200 forwarded requests failed.
MAX_QUEUED_MESSAGES = 1000


class PeerServer:
    """ROUTER socket, one receiving task and one task per forwarded request."""

    def __init__(self, address: str, handler: PeerHandler) -> None:
        """Create a server that is not started.

        :param address: ZeroMQ address to bind; port 0 for one that is free
        :param handler: produces the replies to messages
        """
        self._address = address
        self._handler = handler
        self._codec = PeerCodec()
        self._socket: Socket | None = None
        self._serve_task: asyncio.Task[None] | None = None
        self._malformed_messages = 0
        self._undelivered_replies = 0

    @property
    def address(self) -> str:
        """Return the ZeroMQ address, the bound one after :meth:`start`."""
        return self._address

    @property
    def malformed_messages(self) -> int:
        """Return the number of dropped messages that violate the protocol."""
        return self._malformed_messages

    @property
    def undelivered_replies(self) -> int:
        """Return the number of replies that could not be queued.

        The reply was too large, or the peer was disconnected or too slow.
        Other replies may be lost as well, because libzmq does not report
        whether a queued message reached the peer.
        """
        return self._undelivered_replies

    async def start(self) -> None:
        """Bind the socket and start to serve.

        :raises ZMQError: the address cannot be bound
        """
        socket = Context.instance().socket(ROUTER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(MAXMSGSIZE, MAX_BUFFERED_BYTES)
        # Makes sending to a disconnected peer an error, so that the reply is
        # counted as undelivered.
        socket.setsockopt(ROUTER_MANDATORY, 1)
        try:
            socket.bind(self._address)
        except ZMQError:
            socket.close()
            raise
        self._address = socket.get_string(LAST_ENDPOINT)
        self._socket = socket
        self._serve_task = asyncio.create_task(self._serve(socket))

    async def wait(self) -> None:
        """Wait until the server ends.

        :raises ExceptionGroup: exceptions that the handler raised
        """
        serve_task = self._serve_task
        if serve_task is None:
            return
        await asyncio.wait([serve_task])
        if not serve_task.cancelled():
            serve_task.result()

    async def stop(self) -> None:
        """Close the socket and cancel requests in progress."""
        serve_task, self._serve_task = self._serve_task, None
        if serve_task is not None:
            serve_task.cancel()
            await asyncio.gather(serve_task, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _serve(self, socket: Socket) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                frames = await socket.recv_multipart()
                message = None
                if len(frames) == 2:
                    message = self._codec.decode(frames[1])
                await self._handle_message(socket, group, frames[0], message)

    async def _handle_message(
        self,
        socket: Socket,
        group: asyncio.TaskGroup,
        peer: bytes,
        message: PeerMessage | None,
    ) -> None:
        if isinstance(message, Heartbeat):
            load = self._handler.exchange_load(message.load)
            reply = HeartbeatReply(message.sequence, load)
            await self._reply(socket, peer, reply)
            return
        if isinstance(message, ForwardRequest):
            group.create_task(self._run_forwarded(socket, peer, message))
            return
        if isinstance(message, FetchDocuments):
            documents = self._handler.documents(message.sequence)
            await self._reply(socket, peer, documents)
            return
        self._malformed_messages += 1

    async def _run_forwarded(
        self, socket: Socket, peer: bytes, request: ForwardRequest
    ) -> None:
        reply = await self._handler.run_forwarded(request)
        await self._reply(
            socket, peer, replace(reply, sequence=request.sequence)
        )

    async def _reply(
        self, socket: Socket, peer: bytes, message: PeerMessage
    ) -> None:
        """Queue a reply; drop and count one that cannot be queued at once."""
        data = self._codec.encode(message)
        if data is None:
            self._undelivered_replies += 1
            return
        try:
            await socket.send_multipart([peer, data], NOBLOCK)
        except ZMQError:
            self._undelivered_replies += 1

"""Socket on which other entry processes reach this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec.structs import replace
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

# Replies to one slow peer that may wait in this process. With 200, one of a
# burst of 200 forwarded requests failed.
MAX_QUEUED_MESSAGES = 1000


class PeerServer:
    """One ROUTER socket, one receiving task and a task for each request."""

    def __init__(self, address: str, handler: PeerHandler) -> None:
        """Open nothing yet.

        :param address: zmq address to bind
        :param handler: answers the messages
        """
        self._address = address
        self._handler = handler
        self._codec = PeerCodec()
        self._socket: Socket | None = None
        self._server: asyncio.Task[None] | None = None
        self._malformed_messages = 0
        self._undelivered_replies = 0

    @property
    def malformed_messages(self) -> int:
        """Messages dropped because they break the protocol."""
        return self._malformed_messages

    @property
    def undelivered_replies(self) -> int:
        """Replies dropped because the peer was gone or too slow.

        Other replies may be lost as well, because libzmq does not tell
        whether a queued message reached the peer.
        """
        return self._undelivered_replies

    async def start(self) -> None:
        """Bind and serve.

        :raises ZMQError: the address cannot be bound
        """
        socket = Context.instance().socket(ROUTER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(MAXMSGSIZE, MAX_BUFFERED_BYTES)
        # Without it, replies to a peer that is gone vanish uncounted.
        socket.setsockopt(ROUTER_MANDATORY, 1)
        try:
            socket.bind(self._address)
        except ZMQError:
            socket.close()
            raise
        self._socket = socket
        self._server = asyncio.create_task(self._serve(socket))

    async def wait(self) -> None:
        """Wait until the server ends.

        :raises ExceptionGroup: what the handler raised
        """
        server = self._server
        if server is None:
            return
        await asyncio.wait([server])
        if not server.cancelled():
            server.result()

    async def stop(self) -> None:
        """Stop serving; requests under way are cancelled."""
        server, self._server = self._server, None
        if server is not None:
            server.cancel()
            await asyncio.gather(server, return_exceptions=True)
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
                await self._take(socket, group, frames[0], message)

    async def _take(
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
        """Queue a reply; one that cannot be queued at once is dropped."""
        data = self._codec.encode(message)
        if data is None:
            self._undelivered_replies += 1
            return
        try:
            await socket.send_multipart([peer, data], NOBLOCK)
        except ZMQError:
            self._undelivered_replies += 1

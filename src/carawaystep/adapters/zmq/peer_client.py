"""ZeroMQ client of one other entry process."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec.structs import replace
from result import Err
from result import Ok
from zmq import DEALER
from zmq import IMMEDIATE
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import NOBLOCK
from zmq import RECONNECT_IVL
from zmq import RECONNECT_IVL_MAX
from zmq import SNDHWM
from zmq import ZMQError
from zmq.asyncio import Context

from carawaystep.adapters.zmq.peer_codec import MAX_BUFFERED_BYTES
from carawaystep.adapters.zmq.peer_codec import PeerCodec
from carawaystep.peer.messages import DocumentsReply
from carawaystep.peer.messages import FetchDocuments
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.messages import Heartbeat
from carawaystep.peer.messages import HeartbeatReply
from carawaystep.peer.peer_failure import PeerFailure
from carawaystep.peer.peer_port import PeerPort

if TYPE_CHECKING:
    from result import Result
    from zmq.asyncio import Socket

    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardRequest
    from carawaystep.peer.messages import PeerMessage

# Messages that libzmq queues for a slow peer. With 200, one request of a
# burst of 200 forwarded requests failed.
MAX_QUEUED_MESSAGES = 1000

_RECONNECT_INTERVAL_MS = 100
_MAX_RECONNECT_INTERVAL_MS = 1000

Reply = TypeVar("Reply", HeartbeatReply, ForwardReply, DocumentsReply)
PendingReply = asyncio.Future[
    HeartbeatReply | ForwardReply | DocumentsReply | None
]


class PeerClient(PeerPort):
    """DEALER socket and the calls that wait for a reply on it.

    A queued message is delivered at most once, and libzmq does not report
    whether it was: the message is lost if the connection breaks before it is
    written, and its reply is lost if the connection breaks later. Such calls
    fail with ``sent=True``.
    """

    # Shared by all clients of the process, so that a reply cannot match a
    # call of another or an earlier client.
    _sequences = count(1)

    def __init__(self, address: str) -> None:
        """Create a client that is not started.

        :param address: ZeroMQ address on which the other entry listens
        """
        self._address = address
        self._codec = PeerCodec()
        self._pending: dict[int, tuple[type, PendingReply]] = {}
        self._socket: Socket | None = None
        self._receive_task: asyncio.Task[None] | None = None
        self._unavailable_reason = "the client is not started"
        self._late_replies = 0
        self._malformed_messages = 0

    @property
    def late_replies(self) -> int:
        """Return the number of replies for which no call was waiting."""
        return self._late_replies

    @property
    def malformed_messages(self) -> int:
        """Return the number of dropped messages that violate the protocol."""
        return self._malformed_messages

    async def start(self) -> None:
        """Connect in the background and start to receive replies.

        An invalid address is not raised but makes all calls fail, because
        addresses come from other processes.
        """
        socket = Context.instance().socket(DEALER)
        socket.setsockopt(LINGER, 0)
        socket.setsockopt(SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(IMMEDIATE, 1)
        socket.setsockopt(MAXMSGSIZE, MAX_BUFFERED_BYTES)
        socket.setsockopt(RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        socket.setsockopt(RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        try:
            socket.connect(self._address)
        except ZMQError as error:
            socket.close()
            self._unavailable_reason = (
                f"cannot connect to {self._address}: {error}"
            )
            return
        self._socket = socket
        self._receive_task = asyncio.create_task(self._receive(socket))

    async def heartbeat(
        self, load: EntryLoad, timeout_s: float
    ) -> Result[EntryLoad, PeerFailure]:
        """Send this entry's load and return that of the other entry."""
        message = Heartbeat(next(self._sequences), load)
        result = await self._call(message, HeartbeatReply, timeout_s)
        return result.map(lambda reply: reply.load)

    async def forward(
        self, request: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Forward a request to run on a worker of the other entry."""
        message = replace(request, sequence=next(self._sequences))
        result = await self._call(message, ForwardReply, timeout_s)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        if reply.request_id != request.request_id:
            self._malformed_messages += 1
            detail = f"the reply is for another request: {reply.request_id}"
            return Err(PeerFailure(detail, sent=True))
        return Ok(reply)

    async def fetch_documents(
        self, timeout_s: float
    ) -> Result[DocumentsReply, PeerFailure]:
        """Read the other entry's documents, VM list and live entries."""
        message = FetchDocuments(next(self._sequences))
        return await self._call(message, DocumentsReply, timeout_s)

    async def close(self) -> None:
        """Close the connection; pending calls fail with ``sent`` set."""
        socket, self._socket = self._socket, None
        self._unavailable_reason = "the client is closed"
        if self._receive_task is not None:
            self._receive_task.cancel()
            await asyncio.gather(self._receive_task, return_exceptions=True)
            self._receive_task = None
        if socket is not None:
            socket.close()
        for _, future in self._pending.values():
            if not future.done():
                future.set_result(None)

    async def _call(
        self,
        message: Heartbeat | ForwardRequest | FetchDocuments,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Result[Reply, PeerFailure]:
        data = self._codec.encode(message)
        if data is None:
            return Err(
                PeerFailure("the message exceeds the size limit", sent=False)
            )
        if self._socket is None:
            return Err(PeerFailure(self._unavailable_reason, sent=False))
        future: PendingReply = asyncio.get_running_loop().create_future()
        self._pending[message.sequence] = (reply_type, future)
        try:
            async with asyncio.timeout(timeout_s):
                try:
                    await self._socket.send(data, NOBLOCK)
                except ZMQError as error:
                    detail = f"cannot send to {self._address}: {error}"
                    return Err(PeerFailure(detail, sent=False))
                reply = await future
        except TimeoutError:
            detail = f"no reply from {self._address} within {timeout_s:.3f} s"
            return Err(PeerFailure(detail, sent=True))
        finally:
            del self._pending[message.sequence]
        if not isinstance(reply, reply_type):
            return Err(
                PeerFailure("the client was closed during the call", sent=True)
            )
        return Ok(reply)

    async def _receive(self, socket: Socket) -> None:
        while True:
            frames = await socket.recv_multipart()
            message = self._codec.decode(frames[0])
            if len(frames) != 1 or message is None:
                self._malformed_messages += 1
                continue
            self._complete_call(message)

    def _complete_call(self, message: PeerMessage) -> None:
        if not isinstance(
            message, HeartbeatReply | ForwardReply | DocumentsReply
        ):
            self._malformed_messages += 1
            return
        reply_type, future = self._pending.get(message.sequence, (None, None))
        if reply_type is None or future is None or future.done():
            self._late_replies += 1
            return
        if not isinstance(message, reply_type):
            self._malformed_messages += 1
            return
        future.set_result(message)

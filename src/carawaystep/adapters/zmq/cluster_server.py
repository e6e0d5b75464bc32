"""ZeroMQ socket on which leaders reach a member."""

from __future__ import annotations

from typing import cast
from typing import TYPE_CHECKING

from zmq import BACKLOG
from zmq import Context
from zmq import LAST_ENDPOINT
from zmq import LINGER
from zmq import MAXMSGSIZE
from zmq import NOBLOCK
from zmq import RCVBUF
from zmq import RCVHWM
from zmq import ROUTER
from zmq import ROUTER_MANDATORY
from zmq import SNDHWM
from zmq import SRCFD
from zmq import ZAP_DOMAIN

from carawaystep.adapters.zmq.cluster_codec import ClusterCodec
from carawaystep.adapters.zmq.connection_guard import ConnectionGuard
from carawaystep.adapters.zmq.message_fragments import MAX_FRAME_BYTES
from carawaystep.adapters.zmq.message_socket import MessageSocket
from carawaystep.cluster.leader_port import LeaderPort

if TYPE_CHECKING:
    from zmq import Socket

    from carawaystep.cluster.messages import FromLeader
    from carawaystep.cluster.messages import FromMember

_MAX_QUEUED_MESSAGES = 2000
# Messages of one connection that were received and not read; more wait at
# their sender.
_MAX_UNREAD_MESSAGES = 64
_RECEIVE_BUFFER_BYTES = 32_768
# libzmq accepts waiting connections before the guard can close them.
_LISTEN_BACKLOG = 32


class _GuardedSocket(MessageSocket):
    """Socket that recognizes the connections of the messages it receives.

    Looking up the connection of a message costs time, so that it is done only
    while there is an unrecognized one.
    """

    def __init__(self, socket: Socket[bytes], guard: ConnectionGuard) -> None:
        """Watch a socket within a running event loop.

        :param socket: bound socket, which this object closes
        :param guard: guard of its connections, which this object closes
        """
        self._guard = guard
        self._descriptors: dict[bytes, int] = {}
        super().__init__(socket)

    def recognize(self, peer: bytes) -> None:
        """Record that a valid message of a peer has arrived."""
        if self._descriptors:
            self._guard.recognize(self._descriptors.pop(peer, -1))

    def forget(self, peer: bytes) -> None:
        """Record that an invalid message of a peer has arrived."""
        self._descriptors.pop(peer, None)

    def close(self) -> None:
        """Close the guard and the socket."""
        self._guard.close()
        super().close()

    def _receive_frames(self) -> list[bytes]:
        if not self._guard.has_strangers:
            self._descriptors.clear()
            return super()._receive_frames()
        frames = self._socket.recv_multipart(NOBLOCK, copy=False)
        peer = frames[0].bytes
        self._descriptors[peer] = int(frames[-1].get(SRCFD))
        return [frame.bytes for frame in frames]


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
        socket.setsockopt(MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.setsockopt(RCVHWM, _MAX_UNREAD_MESSAGES)
        socket.setsockopt(RCVBUF, _RECEIVE_BUFFER_BYTES)
        socket.setsockopt(BACKLOG, _LISTEN_BACKLOG)
        # With a domain, libzmq refuses peers that speak the protocol before
        # version 3, which begins without a greeting: any bytes are a message.
        socket.setsockopt(ZAP_DOMAIN, b"cluster")
        socket.setsockopt(ROUTER_MANDATORY, 1)
        guard = ConnectionGuard(socket)
        socket.bind(address)
        self._address = str(socket.get_string(LAST_ENDPOINT))
        guard.set_port(int(self._address.rpartition(":")[2]))
        self._socket = _GuardedSocket(socket, guard)

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
            message = self._codec.decode(frames[-1], frames[0])
            if message is not None and len(frames) == 2:
                self._socket.recognize(frames[0])
                return frames[0], cast("FromLeader", message)
            self._socket.forget(frames[0])

    async def send(self, leader: bytes, message: FromMember) -> bool:
        """Queue a message; False when it cannot be queued at once.

        That is the case for a leader that is not connected or whose queue is
        full.
        """
        return all(
            self._socket.send([leader, frame])
            for frame in self._codec.encode(message)
        )

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

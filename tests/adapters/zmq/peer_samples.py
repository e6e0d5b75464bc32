"""Messages and sockets for the tests of PeerClient and PeerServer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from zmq import LINGER
from zmq.asyncio import Context

from carawaystep.peer.messages import EntryLoad
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.messages import ForwardRequest

if TYPE_CHECKING:
    from zmq.asyncio import Socket

LOAD = EntryLoad("e1", "i1", "arima", 3, 0, 7, True, False)
REQUEST = ForwardRequest(0, "r1", "bookings", 2, None, 1.5, b"seat")


def forward_reply(sequence: int, request_id: str = "r1") -> ForwardReply:
    return ForwardReply(sequence, request_id, "answered", "ok", "", b"done")


def open_socket(kind: int) -> Socket:
    socket = Context.instance().socket(kind)
    socket.setsockopt(LINGER, 0)
    return socket

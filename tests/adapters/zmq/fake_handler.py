"""Fake handler of the messages from peers."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.peer.messages import DocumentInfo
from carawaystep.peer.messages import DocumentsReply
from carawaystep.peer.messages import EntryLoad
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.messages import ForwardRequest
from carawaystep.peer.peer_handler import PeerHandler
from tests.adapters.zmq.peer_samples import forward_reply


class FakeHandler(PeerHandler):
    """Records forwarded requests; their service selects the behaviour.

    ``broken`` raises an exception, ``slow`` waits until ``release`` is set,
    and any other service is answered at once.
    """

    def __init__(self) -> None:
        """Create a handler that has received no requests."""
        self.received_ids: list[str] = []
        self.cancelled_requests = 0
        self.release = asyncio.Event()

    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Return the same load with the name of another entry."""
        return replace(load, entry="e2")

    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Record the request and behave as its service requires."""
        self.received_ids.append(request.request_id)
        if request.service == "broken":
            raise BrokenInvariant("test")
        if request.service == "slow":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled_requests += 1
                raise
        # The server replaces the sequence number.
        return forward_reply(0, request.request_id)

    def documents(self, sequence: int) -> DocumentsReply:
        """Return one document."""
        row = DocumentInfo("bookings", 2, "text")
        return DocumentsReply(sequence, 7, (row,), ())

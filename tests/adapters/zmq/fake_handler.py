"""Stand-in for what an entry does for its peers."""

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
    """Records requests; ``service`` tells what to do with each."""

    def __init__(self) -> None:
        """Start without requests."""
        self.ran: list[str] = []
        self.cancelled = 0
        self.hold = asyncio.Event()

    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Return another entry's load."""
        return replace(load, entry="e2")

    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Answer at once, or wait, or fail."""
        self.ran.append(request.request_id)
        if request.service == "broken":
            raise BrokenInvariant("test")
        if request.service == "slow":
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        # The server restores the sequence.
        return forward_reply(0, request.request_id)

    def documents(self, sequence: int) -> DocumentsReply:
        """Return one document."""
        row = DocumentInfo("bookings", 2, "text")
        return DocumentsReply(sequence, 7, (row,), ())

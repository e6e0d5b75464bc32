"""Fake port of an entry to a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec.structs import replace
from result import Err
from result import Ok

from carawaystep.peer.peer_failure import PeerFailure
from carawaystep.peer.peer_port import PeerPort
from tests.fakes.fake_network import NoAnswer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from result import Result

    from carawaystep.peer.messages import DocumentsReply
    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardReply
    from carawaystep.peer.messages import ForwardRequest
    from carawaystep.peer.peer_handler import PeerHandler
    from tests.fakes.fake_network import FakeNetwork

Value = TypeVar("Value")


class FakePeerPort(PeerPort):
    """Calls the handler of another entry over the fake network."""

    def __init__(
        self,
        handler: Callable[[], PeerHandler | None],
        target: tuple[str, ...],
        network: FakeNetwork,
        source: tuple[str, ...],
    ) -> None:
        """Create a port.

        :param handler: returns the peer's handler, None while the peer does
            not run
        :param target: network names of the peer: process, entry and
            availability zone
        :param network: network that carries the calls
        :param source: network names of the calling process
        """
        self._handler = handler
        self._target = target
        self._network = network
        self._source = source
        self._sequence = 0

    async def heartbeat(
        self, load: EntryLoad, timeout_s: float
    ) -> Result[EntryLoad, PeerFailure]:
        """Send this entry's load and return the peer's load."""

        async def handle(handler: PeerHandler) -> EntryLoad:
            return handler.exchange_load(load)

        return await self._call(handle, timeout_s)

    async def forward(
        self, request: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Forward a request to run on a worker of the peer."""
        self._sequence += 1
        message = replace(request, sequence=self._sequence)

        async def handle(handler: PeerHandler) -> ForwardReply:
            return await handler.run_forwarded(message)

        return await self._call(handle, timeout_s)

    async def fetch_documents(
        self, timeout_s: float
    ) -> Result[DocumentsReply, PeerFailure]:
        """Read the peer's documents, VM list and live entries."""

        async def handle(handler: PeerHandler) -> DocumentsReply:
            return handler.documents(1)

        return await self._call(handle, timeout_s)

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _call(
        self,
        handle: Callable[[PeerHandler], Awaitable[Value]],
        timeout_s: float,
    ) -> Result[Value, PeerFailure]:
        async def deliver() -> Value | NoAnswer:
            handler = self._handler()
            if handler is None:
                return NoAnswer.UNKNOWN
            return await handle(handler)

        answer = await self._network.call(
            self._source, self._target, deliver, timeout_s
        )
        if isinstance(answer, NoAnswer):
            sent = answer is not NoAnswer.NOT_SENT
            return Err(PeerFailure("no reply", sent))
        return Ok(answer)

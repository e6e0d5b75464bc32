"""A link from one entry to another."""

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
        """Create a link.

        :param handler: returns the other process's handler, None when it is
            not running
        :param target: names of the other process, entry and availability zone
        :param network: carries the calls
        :param source: names of the process, its entry and availability zone
        """
        self._handler = handler
        self._target = target
        self._network = network
        self._source = source
        self._sequence = 0

    async def heartbeat(
        self, load: EntryLoad, timeout_s: float
    ) -> Result[EntryLoad, PeerFailure]:
        """Exchange loads."""

        async def handle(handler: PeerHandler) -> EntryLoad:
            return handler.exchange_load(load)

        return await self._call(handle, timeout_s)

    async def forward(
        self, request: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Have a request run on a worker of the other entry."""
        self._sequence += 1
        message = replace(request, sequence=self._sequence)

        async def handle(handler: PeerHandler) -> ForwardReply:
            return await handler.run_forwarded(message)

        return await self._call(handle, timeout_s)

    async def fetch_documents(
        self, timeout_s: float
    ) -> Result[DocumentsReply, PeerFailure]:
        """Read documents in force and the VM list."""

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

"""Port to one other entry process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.peer.messages import DocumentsReply
    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardReply
    from carawaystep.peer.messages import ForwardRequest
    from carawaystep.peer.peer_failure import PeerFailure


class PeerPort(ABC):
    """Calls to one other entry; each message is sent at most once."""

    @abstractmethod
    async def heartbeat(
        self, load: EntryLoad, timeout_s: float
    ) -> Result[EntryLoad, PeerFailure]:
        """Exchange loads."""

    @abstractmethod
    async def forward(
        self, request: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Have a request run on a worker of the other entry.

        The sequence of the given request is replaced by the link's own.
        """

    @abstractmethod
    async def fetch_documents(
        self, timeout_s: float
    ) -> Result[DocumentsReply, PeerFailure]:
        """Read documents in force and the VM list."""

    @abstractmethod
    async def close(self) -> None:
        """Close the link; every pending call fails as sent."""

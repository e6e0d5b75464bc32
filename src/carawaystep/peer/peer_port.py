"""Interface to one other entry process."""

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
    """Calls to one other entry.

    Each message is sent at most once. Timeouts are in seconds.
    """

    @abstractmethod
    async def heartbeat(
        self, load: EntryLoad, timeout_s: float
    ) -> Result[EntryLoad, PeerFailure]:
        """Send this entry's load and return that of the other entry."""

    @abstractmethod
    async def forward(
        self, request: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Forward a request to run on a worker of the other entry.

        The port replaces the request's sequence number by its own.
        """

    @abstractmethod
    async def fetch_documents(
        self, timeout_s: float
    ) -> Result[DocumentsReply, PeerFailure]:
        """Read the other entry's documents, VM list and live entries."""

    @abstractmethod
    async def close(self) -> None:
        """Close the link.

        Pending calls fail with ``sent`` set, because their messages may have
        arrived.
        """

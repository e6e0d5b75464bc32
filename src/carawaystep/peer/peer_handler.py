"""What an entry process does for its peers."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.peer.messages import DocumentsReply
    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardReply
    from carawaystep.peer.messages import ForwardRequest


class PeerHandler(ABC):
    """Answers messages of other entries."""

    @abstractmethod
    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Take a peer's load and return the own one."""

    @abstractmethod
    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Run a forwarded request on an own worker, or tell it not run."""

    @abstractmethod
    def documents(self, sequence: int) -> DocumentsReply:
        """Return documents in force and the VM list."""

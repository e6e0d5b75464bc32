"""Interface of an entry process to its peers."""

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
    """Handles the messages of other entries."""

    @abstractmethod
    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Store the load of a peer and return this entry's load.

        :param load: load of the peer
        """

    @abstractmethod
    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Run a forwarded request on an owned worker.

        :param request: the forwarded request
        :returns: the reply, with outcome ``NOT_RUN`` if no worker may run it
        """

    @abstractmethod
    def documents(self, sequence: int) -> DocumentsReply:
        """Return the documents in force, the VM list and the live entries.

        :param sequence: sequence number for the reply
        """

"""Answers messages from other entry processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.peer.messages import DocumentInfo
from carawaystep.peer.messages import DocumentsReply
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.messages import PeerInfo
from carawaystep.peer.messages import VmInfo
from carawaystep.peer.peer_handler import PeerHandler
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.request_dispatcher import RequestDispatcher
    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardRequest


class PeerService(PeerHandler):
    """Exchanges loads, runs forwarded requests and returns documents."""

    def __init__(
        self, state: EntryState, dispatcher: RequestDispatcher
    ) -> None:
        """Create the service.

        :param state: shared state of the entry process
        :param dispatcher: runs requests on owned workers
        """
        self._state = state
        self._dispatcher = dispatcher

    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Record a peer's load and return the load of this process."""
        self._state.record_peer_load(load)
        return self._state.own_load()

    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Run a forwarded request on an owned worker, or reply "not run"."""
        spec = self._state.spec(request.service)
        if spec is None:
            # There is no OutcomeReason for an unknown service.
            reply = Reply.not_run(
                OutcomeReason.NO_ROOM,
                "The peer does not know the service yet.",
            )
        else:
            reply = await self._dispatcher.run_forwarded(
                request.request_id,
                spec,
                request.key,
                request.body,
                request.deadline_s,
            )
        return ForwardReply(
            request.sequence,
            request.request_id,
            reply.outcome.value,
            reply.reason.value,
            reply.detail,
            reply.body,
        )

    def documents(self, sequence: int) -> DocumentsReply:
        """Return documents in force, the VM list and live entries.

        A peer that starts while the platform is not available loads them.
        """
        state = self._state
        return DocumentsReply(
            sequence,
            state.documents.revision,
            tuple(
                DocumentInfo(document.service, document.version, document.text)
                for document in state.documents.documents
            ),
            tuple(
                VmInfo(
                    vm.name,
                    vm.availability_zone,
                    vm.rack,
                    vm.url,
                    vm.state.value,
                )
                for vm in state.fleet_view.vms
            ),
            tuple(
                PeerInfo(
                    record.name,
                    record.incarnation,
                    record.availability_zone,
                    record.http_url,
                    record.peer_address,
                )
                for record in state.directory.records
                if state.directory.is_alive(record.name, state.now)
            ),
        )

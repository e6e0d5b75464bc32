"""Loads documents and the VM list into a starting process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_state import VmState
from carawaystep.membership.entry_record import EntryRecord

if TYPE_CHECKING:
    from carawaystep.entry.document_follower import DocumentFollower
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.vm_follower import VmFollower
    from carawaystep.peer.messages import DocumentsReply

_RETRY_DELAY_S = 0.5
_PEER_TIMEOUT_S = 2.0


class Bootstrap:
    """Loads from the platform, or from a seed peer while it is unavailable."""

    def __init__(
        self,
        state: EntryState,
        document_follower: DocumentFollower,
        vm_follower: VmFollower,
    ) -> None:
        """Create a loader.

        :param state: shared state of the entry process
        :param document_follower: follows the documents
        :param vm_follower: follows the VM list
        """
        self._state = state
        self._document_follower = document_follower
        self._vm_follower = vm_follower

    async def run(self) -> None:
        """Retry until documents and the VM list are loaded."""
        while True:
            if await self._load_once():
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _load_once(self) -> bool:
        if (
            await self._document_follower.read_all()
            and await self._vm_follower.read_once()
        ):
            return True
        for address in self._state.settings.seed_peers:
            if await self._load_from_peer(address):
                return True
        return False

    async def _load_from_peer(self, address: str) -> bool:
        port = await self._state.ports.peer(address)
        try:
            answer = await port.fetch_documents(_PEER_TIMEOUT_S)
        finally:
            await port.close()
        if not isinstance(answer, Ok) or not answer.ok_value.vms:
            return False
        self._apply_reply(answer.ok_value)
        self._state.record_event("entry.started-from-peer", address)
        return True

    def _apply_reply(self, reply: DocumentsReply) -> None:
        now = self._state.now
        for document in reply.documents:
            self._document_follower.put_in_force(
                document.service, document.version, document.text, now
            )
        self._state.documents.advance_revision(reply.revision)
        for peer in reply.entries:
            self._state.directory.observe(
                EntryRecord(
                    peer.name,
                    peer.incarnation,
                    peer.availability_zone,
                    peer.http_url,
                    peer.peer_address,
                    documents_revision=0,
                    draining=False,
                    beat=0,
                ),
                now,
            )
        self._state.fleet_view.replace_vms(
            Vm(
                vm.name,
                vm.availability_zone,
                vm.rack,
                vm.url,
                VmState(vm.state),
            )
            for vm in reply.vms
        )

"""Follows the platform's VM list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState


class VmFollower:
    """Polls the VM list and records when each VM was last listed."""

    def __init__(self, state: EntryState) -> None:
        """Create a follower.

        :param state: shared state of the entry process
        """
        self._state = state

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(self._state.settings.platform.poll_s)

    async def read_once(self) -> bool:
        """Read the list once.

        :returns: False when the read failed
        """
        read = await self._state.ports.vm_directory.vms()
        state = self._state
        if not isinstance(read, Ok):
            state.counters.count("platform_reads_failed")
            # A VM counts as gone only after a period without failed reads.
            state.vm_list_readable_since = None
            return False
        now = state.now
        if state.vm_list_readable_since is None:
            state.vm_list_readable_since = now
        state.fleet_view.replace_vms(read.ok_value)
        for vm in read.ok_value:
            state.vm_last_seen_at[vm.name] = now
        return True

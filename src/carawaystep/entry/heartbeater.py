"""Writes the heartbeat row of the process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.entries_follower import ENTRIES_TABLE
from carawaystep.entry.entries_follower import entry_key
from carawaystep.membership.entry_record import EntryRecord
from carawaystep.membership.entry_row import EntryRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState


class Heartbeater:
    """Writes the entry's row and detects that another process replaced it.

    A process is replaced when another one with the same entry name writes
    the row.
    """

    def __init__(self, state: EntryState) -> None:
        """Create a heartbeater.

        :param state: shared state of the entry process
        """
        self._state = state
        self._beat = 0
        self._version: int | None = None
        self._replaced = asyncio.Event()

    async def run(self) -> None:
        """Write heartbeats until cancelled or replaced."""
        while not self._replaced.is_set():
            await self.write_heartbeat()
            await asyncio.sleep(self._state.settings.platform.heartbeat_s)

    async def wait_replaced(self) -> None:
        """Wait until another process has taken this entry's name."""
        await self._replaced.wait()

    async def write_heartbeat(self) -> bool:
        """Write one heartbeat.

        :returns: False when it was not stored
        """
        if self._version is None and not await self._read_version():
            return False
        self._beat += 1
        record = self.current_record()
        written = await self._state.ports.store.transact(
            [
                PutRow(
                    ENTRIES_TABLE,
                    self._key(),
                    self._version,
                    EntryRow.from_record(record).to_value(),
                )
            ]
        )
        if isinstance(written, Ok):
            self._version = written.ok_value.versions[0]
            self._state.directory.observe(record, self._state.now)
            return True
        if isinstance(written.err_value, TableConflict):
            await self._resolve_conflict()
        return False

    async def delete_row(self) -> None:
        """Delete the row after the workers were handed over."""
        if self._replaced.is_set() or self._version is None:
            return
        await self._state.ports.store.transact(
            [DeleteRow(ENTRIES_TABLE, self._key(), self._version)]
        )

    def current_record(self) -> EntryRecord:
        """Return the current content of the row."""
        settings = self._state.settings
        return EntryRecord(
            settings.name,
            self._state.incarnation,
            settings.availability_zone,
            settings.advertised_url,
            settings.peer_advertised_address or settings.peer_address,
            self._state.documents.revision,
            self._state.draining,
            self._beat,
        )

    def _key(self) -> str:
        settings = self._state.settings
        return entry_key(settings.availability_zone, settings.name)

    async def _read_version(self) -> bool:
        read = await self._state.ports.store.get(ENTRIES_TABLE, self._key())
        if not isinstance(read, Ok):
            return False
        self._version = 0 if read.ok_value is None else read.ok_value.version
        return True

    async def _resolve_conflict(self) -> None:
        """Find out why the row does not have the expected version.

        Either the answer to a write of this process was lost, or another
        process has written the row. The first heartbeat takes over the row of
        an earlier process.
        """
        read = await self._state.ports.store.get(ENTRIES_TABLE, self._key())
        if not isinstance(read, Ok):
            return
        row = read.ok_value
        if row is None or row.value is None:
            self._version = None
            return
        parsed = EntryRow.parse(row.value)
        is_own = (
            isinstance(parsed, Ok)
            and parsed.ok_value.incarnation == self._state.incarnation
        )
        if is_own or self._beat == 1:
            self._version = row.version
            return
        self._state.record_event("entry.replaced", self._state.settings.name)
        self._replaced.set()

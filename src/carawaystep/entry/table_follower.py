"""Base class of the tasks that follow a table of the platform."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row


class TableFollower(ABC):
    """Polls a table for rows that changed since the last read."""

    def __init__(
        self,
        state: EntryState,
        table: str,
        read_requested: asyncio.Event | None = None,
    ) -> None:
        """Create a follower that reads all rows first.

        :param state: shared state of the entry process
        :param table: name of the table
        :param read_requested: event that starts the next read before its
            interval has passed
        """
        self._state = state
        self._table = table
        self._revision = 0
        self._read_requested = read_requested or asyncio.Event()
        self._has_caught_up = False

    @property
    def poll_interval_s(self) -> float:
        """Return the interval between two reads in seconds."""
        return self._state.settings.platform.poll_s

    @property
    def has_caught_up(self) -> bool:
        """Return whether the table was read to its end at least once."""
        return self._has_caught_up

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self.read_all()
            try:
                async with asyncio.timeout(self.poll_interval_s):
                    await self._read_requested.wait()
            except TimeoutError:
                pass
            self._read_requested.clear()

    async def read_all(self) -> bool:
        """Read and apply all pages of changes.

        :returns: False when a read failed
        """
        while True:
            read = await self._state.ports.store.changes(
                self._table, self._revision, self.prefixes()
            )
            if not isinstance(read, Ok):
                self._state.counters.count("platform_reads_failed")
                self._state.platform_reachable = False
                return False
            self._state.platform_reachable = True
            changes = read.ok_value
            for row in changes.rows:
                self.apply(row, self._state.now)
            self._revision = changes.revision
            self.on_page_applied(changes.revision, self._state.now)
            if not changes.more:
                self._has_caught_up = True
                return True

    def prefixes(self) -> Sequence[str]:
        """Return the key prefixes to read; empty reads all keys."""
        return ()

    def on_page_applied(self, revision: int, now: float) -> None:
        """Handle the end of a page; does nothing by default.

        It is called after all changes of a page were applied.

        :param revision: revision up to which all changes were applied
        :param now: current monotonic time in seconds
        """
        return

    @abstractmethod
    def apply(self, row: Row, now: float) -> None:
        """Apply one changed row.

        :param row: the row; its value is None when it was deleted
        :param now: current monotonic time in seconds
        """

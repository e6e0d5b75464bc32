"""Changes of a table as they come."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.store.table_failure import TableHistoryGone

if TYPE_CHECKING:
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_pulse import StorePulse
    from carawaystep.store.row import Row

_RETRY_S = 0.2


class Feed:
    """Follows one table; reads it whole when its history is gone."""

    def __init__(
        self,
        ports: SchedulerPorts,
        pulse: StorePulse,
        table: str,
        wait_s: float,
        since: int = 0,
    ) -> None:
        """Create a feed.

        :param table: name of the table
        :param wait_s: how long the store may wait for a change
        :param since: revision up to which the rows are known, 0 for none
        """
        self._ports = ports
        self._pulse = pulse
        self._table = table
        self._wait_s = wait_s
        self._since = since
        self._complete = False

    @property
    def complete(self) -> bool:
        """Tell whether the last read brought all rows of the table."""
        return self._complete

    async def read(self) -> tuple[Row, ...]:
        """Wait for the next rows, which may be none."""
        while True:
            since = self._since
            # While the store is away, short calls notice its return sooner.
            wait_s = 0.0 if self._pulse.lost else self._wait_s
            result = await self._ports.table.changes(
                self._table, since, wait_s=wait_s
            )
            now = self._ports.clock.now()
            if isinstance(result, Ok):
                self._pulse.answered(now)
                self._since = result.ok_value.revision
                self._complete = since == 0
                return result.ok_value.rows
            if isinstance(result.err_value, TableHistoryGone):
                self._pulse.answered(now)
                self._since = 0
                continue
            self._pulse.failed(result.err_value.detail, now)
            await asyncio.sleep(_RETRY_S)

"""Reads of whole tables at the start of a term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.row import Row
    from carawaystep.store.table_service import TableService

_RETRY_INTERVAL_S = 0.1


async def read_table(
    store: TableService, clock: Clock, store_health: StoreHealth, table: str
) -> tuple[list[Row], int]:
    """Read all rows of a table, repeating failed reads.

    :param store: the store
    :param clock: clock of the process
    :param store_health: records the answers and failures of the store
    :param table: name of the table
    :returns: the rows and the revision from which its feed continues
    """
    while True:
        result = await store.changes(table, 0)
        if isinstance(result, Ok):
            store_health.record_answer(clock.now())
            page = result.ok_value
            rows = [row for row in page.rows if row.value is not None]
            return rows, page.revision
        store_health.record_failure(result.err_value.detail, clock.now())
        await asyncio.sleep(_RETRY_INTERVAL_S)

"""Follows the platform's list of workers during a term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.worker_list import WorkerList
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.table_feed import TableFeed

_MIN_INTERVAL_S = 0.3


class WorkerListFollower:
    """Tells the planner which workers are listed.

    Invariant: a worker is listed only if the last row that was read under its
    id describes one, and the last full read of the table had that row.
    """

    def __init__(
        self,
        worker_list: WorkerList,
        feed: TableFeed,
        planner: Planner,
        plan_requested: asyncio.Event,
        clock: Clock,
    ) -> None:
        """Create a follower that has read nothing.

        :param worker_list: decodes the rows
        :param feed: feed of the table of the workers
        :param planner: gets the list after each read
        :param plan_requested: set when the planner has to plan again
        :param clock: clock of the process
        """
        self._worker_list = worker_list
        self._feed = feed
        self._planner = planner
        self._plan_requested = plan_requested
        self._clock = clock
        self._records: dict[str, WorkerRecord] = {}

    async def run(self) -> None:
        """Follow the list until the task is cancelled."""
        while True:
            rows = await self._feed.read()
            if self._feed.is_full_read:
                self._records.clear()
            for row in rows:
                record = None
                if row.value is not None:
                    record = self._worker_list.record_from_row(row)
                if record is None:
                    self._records.pop(row.key, None)
                else:
                    self._records[row.key] = record
            self._planner.update_worker_list(
                self._records.values(), self._clock.now()
            )
            self._plan_requested.set()
            await asyncio.sleep(_MIN_INTERVAL_S)

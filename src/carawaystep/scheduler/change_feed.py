"""Feed of every change of one table of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.scheduler.feed_position import EveryChangePosition
from carawaystep.scheduler.table_feed import TableFeed

if TYPE_CHECKING:
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth


class ChangeFeed(TableFeed):
    """Feed for tables with many small rows, which reads every change."""

    def __init__(
        self,
        ports: SchedulerPorts,
        store_health: StoreHealth,
        table: str,
        wait_s: float,
        since: int = 0,
    ) -> None:
        """Create a feed; nothing is read yet.

        :param ports: clock, store and log
        :param store_health: records the answers and failures of the store
        :param table: name of the table
        :param wait_s: how long the store may wait for a change, seconds
        :param since: revision after which changes are read, 0 to start with
            a full read
        """
        super().__init__(
            ports, store_health, table, wait_s, EveryChangePosition(since)
        )

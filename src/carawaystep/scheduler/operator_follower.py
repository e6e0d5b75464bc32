"""Follows the table in which the operator writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.scheduler.feed_position import NewestRowsPosition
from carawaystep.scheduler.table_feed import TableFeed

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.routing.current_routes import CurrentRoutes
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.row import Row

_LONG_POLL_S = 1.0


class OperatorFollower:
    """Keeps the routes and the evacuated availability zones up to date.

    Both come from one feed, so that a read of one is a read of the other.
    """

    def __init__(
        self,
        ports: SchedulerPorts,
        store_health: StoreHealth,
        routes: CurrentRoutes,
        evacuated_zones: EvacuatedZones,
    ) -> None:
        """Create a follower that has read nothing.

        :param ports: clock, store, decoders of the rows and log
        :param store_health: records the answers and failures of the store
        :param routes: gets each version of the routes
        :param evacuated_zones: gets the result of each read
        """
        self._ports = ports
        self._store_health = store_health
        self._routes = routes
        self._evacuated_zones = evacuated_zones

    async def run(self) -> None:
        """Follow the table until the task is cancelled."""
        source = self._ports.route_source
        feed = TableFeed(
            self._ports,
            self._store_health,
            source.table,
            _LONG_POLL_S,
            NewestRowsPosition(),
        )
        while True:
            rows = await feed.read()
            self._adopt_evacuations(rows, feed)
            for row in rows:
                if row.key == source.key and row.value is not None:
                    self._apply_routes(row)

    def _adopt_evacuations(
        self, rows: tuple[Row, ...], feed: TableFeed
    ) -> None:
        decoder = self._ports.evacuation_source
        decoded = (decoder.request_from_row(row) for row in rows)
        requests = [request for request in decoded if request is not None]
        now = self._ports.clock.now()
        age_s = self._evacuated_zones.age_s(now)
        changes = self._evacuated_zones.adopt(
            requests, feed.revision, feed.is_full_read, now
        )
        for change in changes:
            if change.evacuated:
                self._ports.log.line(
                    "zone.evacuated",
                    change.availability_zone,
                    version=change.revision,
                    age_s=age_s,
                )
            else:
                self._ports.log.line(
                    "zone.returned",
                    change.availability_zone,
                    version=change.revision,
                    age_s=age_s,
                    seconds=change.lasted_s,
                )

    def _apply_routes(self, row: Row) -> None:
        table = self._ports.route_source.route_table_from_row(row)
        if table is None:
            self._ports.log.line(
                "routes.unreadable", row.key, version=row.version
            )
        elif self._routes.apply(table):
            self._ports.log.line(
                "routes.applied",
                row.key,
                version=table.version,
                routes=len(table.routes),
            )

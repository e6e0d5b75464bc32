"""Routes of a simulation, which never change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.routing.route_source import RouteSource
from carawaystep.routing.route_table import RouteTable

if TYPE_CHECKING:
    from carawaystep.store.row import Row


class SimulatedRouteSource(RouteSource):
    """Decodes any row as a table without routes."""

    table = "operator"
    key = "routes"

    def route_table_from_row(self, row: Row) -> RouteTable | None:
        """Return a table without routes."""
        return RouteTable(row.version, (), 1000, 1.0)

"""Port to the row that holds the routes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.route_table import RouteTable
    from carawaystep.store.row import Row


class RouteSource(ABC):
    """A row of the store that holds one version of all routes."""

    table: str
    key: str

    @abstractmethod
    def routes(self, row: Row) -> RouteTable | None:
        """Return the routes of a row, None when it cannot be read."""

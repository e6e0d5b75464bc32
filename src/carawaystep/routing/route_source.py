"""Port for decoding the row that holds the routes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.route_table import RouteTable
    from carawaystep.store.row import Row


class RouteSource(ABC):
    """Location and decoding of the row that holds all routes.

    :cvar table: name of the row's table
    :cvar key: key of the row
    """

    table: str
    key: str

    @abstractmethod
    def route_table_from_row(self, row: Row) -> RouteTable | None:
        """Decode the row.

        :param row: current version of the row
        :returns: the routes, None when the value is not valid
        """

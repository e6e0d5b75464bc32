"""The routes that a process follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.route_table import RouteTable


class CurrentRoutes:
    """The highest version seen; it never goes back in one process."""

    def __init__(self) -> None:
        """Create a process without routes."""
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """Return the routes, None before any version was read."""
        return self._table

    def apply(self, table: RouteTable) -> bool:
        """Put a version in force unless a higher or equal one is.

        :returns: True when the version in force changed
        """
        if self._table is not None and self._table.version >= table.version:
            return False
        self._table = table
        return True

"""The route table that a process currently uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.routing.route_table import RouteTable
    from carawaystep.routing.ticket_terms import TicketTerms


class CurrentRoutes:
    """Holds the route table with the highest version read so far.

    A process never returns to a lower version.
    """

    def __init__(self) -> None:
        """Create a holder without a route table."""
        self._table: RouteTable | None = None
        self._ticket_terms: dict[str, TicketTerms | None] = {}

    @property
    def table(self) -> RouteTable | None:
        """Return the current table, None before one has been read."""
        return self._table

    @property
    def ticket_terms(self) -> Mapping[str, TicketTerms | None]:
        """Return the terms of tickets by queue, None where none is needed."""
        return self._ticket_terms

    def apply(self, table: RouteTable) -> bool:
        """Use a table if its version is higher than the current one.

        :param table: table that was read
        :returns: True when the current table was replaced
        """
        if self._table is not None and self._table.version >= table.version:
            return False
        self._table = table
        self._ticket_terms = {
            route.name: route.ticket_terms for route in table.routes
        }
        return True

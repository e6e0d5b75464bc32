"""Requests of a simulation to evacuate zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.availability_zone.evacuation_request import EvacuationRequest
from carawaystep.availability_zone.evacuation_source import EvacuationSource
from tests.scheduler.simulation.simulated_route_source import (
    SimulatedRouteSource,
)

if TYPE_CHECKING:
    from carawaystep.store.row import Row


class SimulatedEvacuationSource(EvacuationSource):
    """Decodes each row but that of the routes; its key is the zone."""

    def request_from_row(self, row: Row) -> EvacuationRequest | None:
        """Return the request of a row."""
        if row.key == SimulatedRouteSource.key:
            return None
        return EvacuationRequest(row.key, row.revision, row.value is None)

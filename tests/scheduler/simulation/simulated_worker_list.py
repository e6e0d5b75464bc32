"""List of the simulated workers."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from carawaystep.fleet.worker_list import WorkerList
from tests.planner.planners import worker_record

if TYPE_CHECKING:
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.store.row import Row


class SimulatedWorkerList(WorkerList):
    """Decodes the rows that :class:`SimulatedFleet` writes."""

    table = "workers"

    def record_from_row(self, row: Row) -> WorkerRecord | None:
        """Return the record of a worker."""
        record = worker_record(
            row.key, started_at_ms=row.value["started_at_ms"]
        )
        return replace(record, availability_zone=row.value["zone"])

"""Log of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.planner.decision_log import DecisionLog

if TYPE_CHECKING:
    from tests.scheduler.simulation.simulation_record import SimulationRecord


class SimulatedLog(DecisionLog):
    """Adds the lines of one process to the history of the simulation."""

    def __init__(self, source: str, record: SimulationRecord) -> None:
        """Create the log of a process.

        :param source: name of the process
        :param record: record of the simulation
        """
        self._source = source
        self._record = record

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Add a line."""
        fields = " ".join(f"{name}={value}" for name, value in inputs.items())
        self._record.add(f"{self._source} {event} {subject} {fields}")

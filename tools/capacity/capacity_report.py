"""Generates the tables of the capacity page from measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.capacity_figures import CapacityFigures
from tools.capacity.entry_costs_section import EntryCostsSection
from tools.capacity.link_traffic_section import LinkTrafficSection
from tools.capacity.machine_section import MachineSection
from tools.capacity.processor_time_section import ProcessorTimeSection
from tools.capacity.table_service_section import TableServiceSection

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from tools.capacity.report_section import ReportSection


class CapacityReport:
    """Turns measurements into the blocks of the capacity page."""

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Create a report.

        :param measurements: JSON value that ``MeasurementRun`` writes
        """
        figures = CapacityFigures(measurements)
        self._sections: tuple[ReportSection, ...] = (
            MachineSection(measurements),
            EntryCostsSection(figures),
            TableServiceSection(figures),
            LinkTrafficSection(figures),
            ProcessorTimeSection(measurements),
        )

    def blocks(self) -> dict[str, str]:
        """Return the Markdown of each block of the page by its name."""
        return {
            name: text
            for section in self._sections
            for name, text in section.blocks().items()
        }

"""The machine that the measurements were made on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.report_section import ReportSection

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


class MachineSection(ReportSection):
    """Cores and Python version of the machine."""

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Create the section.

        :param measurements: JSON value that ``MeasurementRun`` writes
        """
        self._measurements = measurements

    def blocks(self) -> dict[str, str]:
        """Return the block of the machine."""
        machine = self._measurements["machine"]
        return {
            "machine": (
                f"Measured on {machine['cores']} cores with Python"
                f" {machine['python']}."
            )
        }

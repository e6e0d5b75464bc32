"""Processor time of single operations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.linear_fit import LinearFit
from tools.capacity.markdown import format_table
from tools.capacity.markdown import to_cell
from tools.capacity.report_section import ReportSection

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


class ProcessorTimeSection(ReportSection):
    """Processor time of decisions and of the start of an entry."""

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Create the section.

        :param measurements: JSON value that ``MeasurementRun`` writes
        """
        self._measurements = measurements

    def blocks(self) -> dict[str, str]:
        """Return the blocks of decisions and of the start."""
        return {
            "decisions": self._decisions_table(),
            "start": self._startup_table(),
        }

    def _decisions_table(self) -> str:
        titles = {
            "placement": "one placement decision, for each worker",
            "claim_round": "one claim round, for each queued job",
            "shards": "ranking of the shards after a change, for each zone",
        }
        rows = []
        for name, title in titles.items():
            points = self._measurements["decisions_us"][name]
            sizes = [float(size) for size in points]
            fit = LinearFit.fit(sizes, list(points.values()))
            measured = ", ".join(
                f"{to_cell(float(size))}: {to_cell(cost)}"
                for size, cost in points.items()
            )
            rows.append([title, to_cell(fit.per_unit), measured])
        document = self._measurements["decisions_us"]["document"]["1"]
        rows.append(["loading one document", to_cell(document), ""])
        return format_table(["decision", "µs", "measured (size: µs)"], rows)

    def _startup_table(self) -> str:
        rows = []
        for point in self._measurements["slopes"]["documents"]:
            sample = point["sample"]
            rows.append(
                [
                    f"{point['size']} documents",
                    to_cell(sample["start_cpu_s"]),
                ]
            )
        for name, sample in self._measurements["combined"].items():
            rows.append(
                [f"whole sizes, {name}", to_cell(sample["start_cpu_s"])]
            )
        return format_table(
            ["start with", "processor time until ready, s"], rows
        )

"""Costs of one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.limits import BUDGETS
from tools.capacity.limits import describe_limit_result
from tools.capacity.markdown import format_table
from tools.capacity.markdown import to_cell
from tools.capacity.report_section import ReportSection

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.capacity.capacity_figures import CapacityFigures

_COST_TITLES = {
    "cpu_percent": "processor, % of a core",
    "resident_mb": "memory, MB",
    "platform": "platform, B/s",
    "workers": "workers, B/s",
    "peers": "peers, B/s",
}
_SIZE_LABELS = {
    "workers": ("own workers", "session task and long poll for each"),
    "zone_entries": (
        "entries of its zone",
        "peer link and heartbeat row for each",
    ),
    "availability_zones": (
        "availability zones, 9 entries each",
        "two peer links for each zone, rows read each 5 s",
    ),
    "jobs": ("queued jobs of its shards", "job board, in memory"),
    "running": ("running tasks", "lease renewal each 10 s, report list"),
    "starts_per_s": (
        "starts of tasks a second",
        "claim, row, dispatch, report and end of each job",
    ),
    "documents": ("documents", "document set, in memory"),
    "document_changes_per_s": (
        "changes of documents a second",
        "poll of the table, YAML loaded",
    ),
    "vms": ("VMs in the list", "whole list read and parsed each second"),
    "zone_vms": (
        "VMs of its zone",
        "ownership rules for each, twice a second",
    ),
}
_NOT_SIGNIFICANT = "none seen: within the variation of the number of polls"


class EntryCostsSection(ReportSection):
    """Costs that each size of a deployment adds to an entry."""

    def __init__(self, figures: CapacityFigures) -> None:
        """Create the section.

        :param figures: figures to show
        """
        self._figures = figures

    def blocks(self) -> dict[str, str]:
        """Return the blocks of costs by size, of bytes, and of all costs."""
        return {
            "entry": self._size_costs_table(),
            "entry-bytes": self._size_traffic_table(),
            "entry-total": self._total_costs_table(),
        }

    def _size_costs_table(self) -> str:
        rows = [
            [
                title,
                to_cell(self._figures.today.sizes[name]),
                to_cell(self._figures.target.sizes[name]),
                to_cell(self._figures.target_70.sizes[name]),
                *self._slope_cells(name, "cpu_percent"),
                *self._slope_cells(name, "resident_mb"),
                mechanism,
            ]
            for name, (title, mechanism) in _SIZE_LABELS.items()
        ]
        return format_table(
            [
                "size",
                "today",
                "target",
                "target, 70 workers",
                "% of a core for each",
                "adds at target",
                "adds at 70",
                "MB for each",
                "adds at target",
                "adds at 70",
                "mechanism",
            ],
            rows,
        )

    def _size_traffic_table(self) -> str:
        rows = []
        for name, (title, mechanism) in _SIZE_LABELS.items():
            for cost in ("platform", "workers", "peers"):
                fit = self._figures.model.fit(name, cost)
                added = self._figures.model.growth(
                    name, cost, self._figures.target.sizes[name]
                )
                # Less than 1 B/s is within the variation of the measurements.
                if abs(added) < 1:
                    continue
                rows.append(
                    [
                        title,
                        cost,
                        *self._slope_cells(name, cost),
                        to_cell(fit.residual),
                        mechanism if fit.is_significant else _NOT_SIGNIFICANT,
                    ]
                )
        return format_table(
            [
                "size",
                "to",
                "B/s for each",
                "adds at target",
                "adds at 70",
                "largest residual",
                "mechanism",
            ],
            rows,
        )

    def _slope_cells(self, name: str, cost: str) -> list[str]:
        fit = self._figures.model.fit(name, cost)
        cells = [to_cell(fit.per_unit)]
        for deployment in (self._figures.target, self._figures.target_70):
            size = deployment.sizes[name]
            added = to_cell(self._figures.model.growth(name, cost, size))
            extrapolated = fit.extrapolates(size)
            cells.append(f"{added} (e)" if extrapolated else added)
        return cells

    def _total_costs_table(self) -> str:
        rows = [
            self._total_row(
                title,
                [cost],
                BUDGETS.get(cost),
            )
            for cost, title in _COST_TITLES.items()
        ]
        rows.append(
            self._total_row(
                "all bytes, B/s",
                ["platform", "workers", "peers"],
                BUDGETS["bytes_per_s"],
            )
        )
        return format_table(
            [
                "cost",
                "small, measured",
                "target, sum of slopes",
                "target, measured whole",
                "at 70, sum of slopes",
                "at 70, measured whole",
                "budget",
                "holds (measured whole)",
            ],
            rows,
        )

    def _total_row(
        self, title: str, costs: Sequence[str], budget: float | None
    ) -> list[str]:
        measured = [
            sum(self._figures.combined[name].cost(cost) for cost in costs)
            for name in ("target", "target_70")
        ]
        summed = [
            sum(
                self._figures.model.total(cost, deployment.sizes)
                for cost in costs
            )
            for deployment in (self._figures.target, self._figures.target_70)
        ]
        return [
            title,
            to_cell(
                sum(self._figures.model.small.cost(cost) for cost in costs)
            ),
            to_cell(summed[0]),
            to_cell(measured[0]),
            to_cell(summed[1]),
            to_cell(measured[1]),
            "" if budget is None else to_cell(budget),
            "" if budget is None else describe_limit_result(measured, budget),
        ]

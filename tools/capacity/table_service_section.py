"""Load of the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.limits import READ_LIMIT_PER_S
from tools.capacity.limits import WRITE_LIMIT_PER_S
from tools.capacity.markdown import to_cell
from tools.capacity.rate_table import rate_row
from tools.capacity.rate_table import rate_table
from tools.capacity.report_section import ReportSection

if TYPE_CHECKING:
    from tools.capacity.capacity_figures import CapacityFigures

_PEAK_STARTS_PER_S = 200.0
_JOBS_PER_DAY = 21_000
_DAY_S = 86_400
_DOCUMENT_CHANGES_PER_DAY = 7_100
_POLL_MECHANISMS = {
    "entries": "own zone each second, all zones each 5 s",
    "owners": "each second",
    "jobs": "each second, with one prefix for each shard of the zone",
    "documents": "each second",
    "vms": "each second, the whole list",
}


class TableServiceSection(ReportSection):
    """Reads and writes of all entries at the platform's table service."""

    def __init__(self, figures: CapacityFigures) -> None:
        """Create the section.

        :param figures: figures to show
        """
        self._figures = figures

    @property
    def _heartbeat_rate(self) -> float:
        return self._figures.model.small.calls_per_s("platform/transactions")

    def blocks(self) -> dict[str, str]:
        """Return the block of the table service."""
        return {"table": self._table()}

    def _table(self) -> str:
        rows = [
            *self._read_rows(),
            *self._peak_write_rows(),
            *self._average_write_rows(),
        ]
        rows.append(
            rate_row(
                "bytes to all entries, B/s",
                self._figures.rates_of_all_entries(
                    lambda sample: sample.total(
                        "platform", "received_bytes_per_s"
                    )
                ),
                mechanism="sum over all entries, most of it the VM list",
            )
        )
        return rate_table(rows)

    def _read_rows(self) -> list[list[str]]:
        rows = []
        total = [0.0, 0.0, 0.0]
        for name, mechanism in _POLL_MECHANISMS.items():
            rates = self._figures.rates_of_all_entries(
                lambda sample, name=name: sample.calls_per_s(
                    f"platform/{name}"
                )
            )
            total = [a + b for a, b in zip(total, rates, strict=True)]
            slope = (
                f"{to_cell(rates[1] / self._figures.target.entries)} an entry"
            )
            rows.append(
                rate_row(f"reads of {name}/s", rates, slope, mechanism)
            )
        rows.append(
            rate_row(
                "all reads/s",
                total,
                f"{to_cell(total[1] / self._figures.target.entries)} an entry",
                "polls of each follower",
                READ_LIMIT_PER_S,
            )
        )
        return rows

    def _peak_write_rows(self) -> list[list[str]]:
        writes_per_start = self._figures.writes_per_start
        heartbeats = self._heartbeat_rates()
        inserts = [0.0] + [_PEAK_STARTS_PER_S] * 2
        changes = [rate * writes_per_start for rate in inserts]
        total = [
            sum(rates)
            for rates in zip(heartbeats, inserts, changes, strict=True)
        ]
        return [
            rate_row(
                "writes of heartbeats/s",
                heartbeats,
                f"{to_cell(self._heartbeat_rate)} an entry",
                "own row, each 2 s",
            ),
            rate_row(
                "writes of new jobs at the peak/s",
                inserts,
                "1 a job, not measured",
                "insert before 202",
            ),
            rate_row(
                "writes of job changes at the peak/s",
                changes,
                f"{to_cell(writes_per_start)} a start",
                "assignment and end, a transaction each",
            ),
            rate_row(
                "all writes at the peak/s", total, "", "", WRITE_LIMIT_PER_S
            ),
        ]

    def _average_write_rows(self) -> list[list[str]]:
        heartbeats = self._heartbeat_rates()
        writes_per_job = 1 + self._figures.writes_per_start
        jobs = [0.0] + [_JOBS_PER_DAY / _DAY_S * writes_per_job] * 2
        documents = [0.0] + [_DOCUMENT_CHANGES_PER_DAY / _DAY_S] * 2
        total = [
            sum(rates)
            for rates in zip(heartbeats, jobs, documents, strict=True)
        ]
        return [
            rate_row(
                "writes of jobs on average/s",
                jobs,
                f"{to_cell(writes_per_job)} a job",
                "insert, assignment and end",
            ),
            rate_row(
                "writes of documents on average/s",
                documents,
                "1 a change, not measured",
                "compare-and-set",
            ),
            rate_row(
                "all writes on average/s", total, "", "", WRITE_LIMIT_PER_S
            ),
        ]

    def _heartbeat_rates(self) -> list[float]:
        return self._figures.rates_of_all_entries(
            lambda _: self._heartbeat_rate
        )
